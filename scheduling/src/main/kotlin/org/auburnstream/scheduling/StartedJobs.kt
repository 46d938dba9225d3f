package org.auburnstream.scheduling

import org.auburnstream.model.JobId

/** Records once for each job that a worker has started one of its runs, which a claim alone does not prove. */
internal class StartedJobs(private val state: SchedulerState, private val record: (Record) -> Unit) {
    private val pending = HashSet<JobId>()

    /** Handles the confirmed start of [run]. */
    fun recordStart(run: RunId) {
        val job = state.jobs[run.task.step.job] ?: return
        if (!job.hasStarted && pending.add(job.id)) record(Record.JobStarted(job.id))
    }

    /** Handles the commit or rejection of a batch; jobs whose records were rejected are recorded again. */
    fun batchSettled() {
        pending.clear()
    }
}
