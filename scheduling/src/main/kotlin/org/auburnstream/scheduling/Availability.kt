package org.auburnstream.scheduling

/**
 * Tells whether planned work may end the lasting tasks of a worker.
 *
 * Counts what is away for any cause, so that planned work never adds to a loss beyond what a step may miss.
 */
internal class Availability(private val state: SchedulerState, private val contacts: Contacts) {
    /**
     * Whether the lasting tasks of [worker] may end now without a step missing more than it may.
     *
     * @param lost lives whose tasks end as well.
     */
    fun canLose(worker: Worker, lost: Set<WorkerLife>): Boolean {
        val life = worker.profile.life
        val contact = contacts.find(life)
        // An order that is not answered may bring a task there after the count.
        if (contact?.orders?.values?.any { it.startedAt == null } == true) return false
        val steps = state.claimsAt(life).entries
            .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
            .groupBy { it.key.task.step }
        return steps.all { (id, runs) -> away(id, lost + life) <= runs.first().value.mayMiss }
    }

    /** Tasks of the step that are not at work, or are at one of the [lost] lives. */
    private fun away(id: StepId, lost: Set<WorkerLife>): Int {
        val job = state.active[id.job] ?: return 0
        val count = job.description.steps[id.step].count
        val progress = job.occurrences[id.occurrence]?.steps?.get(id.step) ?: return count
        return progress.tasks.withIndex().count { (index, task) ->
            val claim = task.claims.firstOrNull()
            claim == null || claim.life in lost || !isAtWork(RunId(TaskId(id, index), claim.number), claim.life)
        }
    }

    private fun isAtWork(run: RunId, life: WorkerLife): Boolean {
        val contact = contacts.find(life) ?: return false
        if (contact.failedLooks > 0 || state.worker(life)?.isLeaving != false) return false
        return contact.running.any { it.run == run && it.percent >= AT_WORK_PERCENT }
    }

    private companion object {
        /** A lasting task is at work from this progress on. */
        const val AT_WORK_PERCENT = 100
    }
}
