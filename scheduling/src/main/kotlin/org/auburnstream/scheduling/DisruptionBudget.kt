package org.auburnstream.scheduling

/**
 * Tells whether planned work may end the lasting tasks of a worker.
 *
 * Counts what is away for any cause, so that planned work never adds to a loss beyond what a step may miss.
 */
internal class DisruptionBudget(private val state: SchedulerState, private val contacts: WorkerContacts) {
    /**
     * Whether the lasting tasks of [worker] may end now without a step missing more than it may.
     *
     * @param planned what was planned to end before in the same pass.
     */
    fun canDisrupt(worker: Worker, planned: PlannedDisruptions): Boolean {
        val life = worker.profile.life
        val contact = contacts.find(life)
        // An order that is not answered may bring a task there after the count.
        if (contact?.orders?.values?.any { it.startedAt == null } == true) return false
        return stepsAt(life).all { (id, runs) -> away(id, planned, life) <= runs.first().value.mayMiss }
    }

    /** Whether [worker] runs more lasting tasks of one step than the step may miss. */
    fun exceedsDisruptionLimit(worker: Worker): Boolean = stepsAt(worker.profile.life).values.any(::isCrowd)

    private fun isCrowd(runs: List<Map.Entry<RunId, StepDescription>>): Boolean = runs.size > runs.first().value.mayMiss

    /**
     * Returns a lasting run of a crowded [worker] that may be stopped now and can start at a worker that [isTarget].
     *
     * @param planned what was planned to end before in the same pass.
     */
    fun findEvacuableRun(worker: Worker, planned: PlannedDisruptions, isTarget: (Worker) -> Boolean): RunId? {
        for ((id, runs) in stepsAt(worker.profile.life)) {
            val description = runs.first().value
            val mayStop = isCrowd(runs) && away(id, planned) + 1 <= description.mayMiss
            if (!mayStop) continue
            val hasTarget = state.workers.values.any { other ->
                isTarget(other) && other.profile.service == worker.profile.service && !other.isLeaving &&
                    contacts.find(other.profile.life)?.failedQueries == 0 && canTake(other.profile, id, description)
            }
            if (hasTarget) return runs.first().key
        }
        return null
    }

    /** Whether a task of the step can start there without making that worker crowded. */
    private fun canTake(profile: WorkerProfile, id: StepId, description: StepDescription): Boolean {
        val others = state.claimsAt(profile.life).keys.count { it.task.step == id }
        return others < description.mayMiss && WorkerCapacity(profile).fitsWhenIdle(description)
    }

    private fun stepsAt(life: WorkerLife): Map<StepId, List<Map.Entry<RunId, StepDescription>>> =
        state.claimsAt(life).entries
            .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
            .groupBy { it.key.task.step }

    /** Tasks of the step that are not at work, or were [planned] to end, or are at [life]. */
    private fun away(id: StepId, planned: PlannedDisruptions, life: WorkerLife? = null): Int {
        val job = state.active[id.job] ?: return 0
        val count = job.description.steps[id.step].count
        val progress = job.occurrences[id.occurrence]?.steps?.get(id.step) ?: return count
        return progress.tasks.withIndex().count { (index, task) ->
            val claim = task.claims.firstOrNull()
            val run = claim?.let { RunId(TaskId(id, index), it.number) }
            run == null || claim.life == life || planned.ends(run, claim.life) || !isAtWork(run, claim.life)
        }
    }

    private fun isAtWork(run: RunId, life: WorkerLife): Boolean {
        val contact = contacts.find(life) ?: return false
        if (contact.failedQueries > 0 || state.worker(life)?.isLeaving != false) return false
        if (contact.orders[run]?.isStopRequested == true) return false
        return contact.running.any { it.run == run && it.percent >= AT_WORK_PERCENT }
    }

    private companion object {
        /** A lasting task is at work from this progress on. */
        const val AT_WORK_PERCENT = 100
    }
}

/** Lives and runs whose end was planned and which still look at work. */
internal class PlannedDisruptions(private val lives: Set<WorkerLife>, private val runs: Set<RunId>) {
    fun ends(run: RunId, life: WorkerLife): Boolean = life in lives || run in runs
}
