package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Finds the lasting tasks that will need another worker, because theirs shuts down or does not answer.
 *
 * They are claimed until their run has ended or its lease has expired. Room for them is sought before that, so that the
 * wait for a VM does not follow the wait for the lease. Members of a gang are left out, because they start together.
 */
internal class DisplacedTasks(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
) {
    /** Returns the tasks by step, of active jobs only. */
    fun find(now: MonotonicTime): List<WaitingStep> {
        val tasks = HashMap<StepId, ArrayList<Int>>()
        for (incarnation in state.claimedIncarnations) {
            if (!isDeparting(incarnation, now)) continue
            for ((run, step) in state.claimsAt(incarnation)) {
                if (step.lasting && !step.gang) tasks.getOrPut(run.task.step) { ArrayList() }.add(run.task.index)
            }
        }
        return tasks.mapNotNull { (id, indexes) -> stepOf(id, indexes) }
    }

    private fun isDeparting(incarnation: WorkerIncarnation, now: MonotonicTime): Boolean {
        val contact = contacts.find(incarnation) ?: return false
        val isLeaving = state.worker(incarnation)?.isLeaving != false || contact.isClosed
        return isLeaving || (contact.failedQueries > 0 && now - contact.runsKnownAt >= settings.searchDelay)
    }

    private fun stepOf(id: StepId, indexes: List<Int>): WaitingStep? {
        val job = state.active[id.job] ?: return null
        val description = job.stepOf(TaskId(id, indexes.first())) ?: return null
        return WaitingStep(
            job = job,
            id = id,
            description = description,
            progress = job.occurrences[id.occurrence]?.steps?.get(id.step) ?: return null,
            queue = state.catalog?.queue(job.queue.name) ?: job.queue,
            tasks = indexes,
            dueMs = job.acceptedMs,
            workMs = 0,
            remainingMs = 0,
        )
    }
}
