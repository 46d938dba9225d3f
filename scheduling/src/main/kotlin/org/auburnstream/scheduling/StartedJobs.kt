package org.auburnstream.scheduling

import org.auburnstream.model.JobId

/** Records once for each job that a run of it is known to be at work, which a claim alone does not show. */
internal class StartedJobs(private val state: SchedulerState, private val record: (Record) -> Unit) {
    private val pending = HashSet<JobId>()

    /** Notes that a worker has carried out the start of [run]. */
    fun started(run: RunId) {
        val job = state.jobs[run.task.step.job] ?: return
        if (!job.hasStarted && pending.add(job.id)) record(Record.JobStarted(job.id))
    }

    /** Notes that the batch in progress was committed or rejected; what it did not bring is recorded again. */
    fun batchSettled() {
        pending.clear()
    }
}
