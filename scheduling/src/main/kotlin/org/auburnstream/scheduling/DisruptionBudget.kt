package org.auburnstream.scheduling

/**
 * Decides whether planned work, such as maintenance, may end the lasting tasks of a worker.
 *
 * Counts tasks that are unavailable for any cause, so that planned work never makes more tasks of a step unavailable
 * than [StepDescription.mayMiss].
 */
internal class DisruptionBudget(private val state: SchedulerState, private val contacts: WorkerContacts) {
    /**
     * Whether the lasting tasks of [worker] may end now without exceeding the limit of unavailable tasks of any step.
     *
     * @param planned lives and runs that the same pass has already planned to end.
     */
    fun canDisrupt(worker: Worker, planned: PlannedDisruptions): Boolean {
        val life = worker.profile.life
        val contact = contacts.find(life)
        // A start order that is not answered yet may start a task there after the tasks were counted.
        if (contact?.orders?.values?.any { it.startedAt == null } == true) return false
        return stepsAt(life).all { (id, runs) -> countUnavailable(id, planned, life) <= runs.first().value.mayMiss }
    }

    /** Whether [worker] runs more lasting tasks of one step than may be unavailable at a time. */
    fun exceedsDisruptionLimit(worker: Worker): Boolean = stepsAt(worker.profile.life).values.any(::exceedsLimit)

    private fun exceedsLimit(runs: List<Map.Entry<RunId, StepDescription>>): Boolean =
        runs.size > runs.first().value.mayMiss

    /**
     * Returns a lasting run of [worker] that may be stopped now and can start on another worker, or null.
     *
     * Considers only runs of steps that exceed their limit on [worker], see [exceedsDisruptionLimit].
     *
     * @param planned lives and runs that the same pass has already planned to end.
     * @param isTarget whether a worker may take the run.
     */
    fun findEvacuableRun(worker: Worker, planned: PlannedDisruptions, isTarget: (Worker) -> Boolean): RunId? {
        for ((id, runs) in stepsAt(worker.profile.life)) {
            val description = runs.first().value
            val mayStop = exceedsLimit(runs) && countUnavailable(id, planned) + 1 <= description.mayMiss
            if (!mayStop) continue
            val hasTarget = state.workers.values.any { other ->
                isTarget(other) && other.profile.service == worker.profile.service && !other.isLeaving &&
                    contacts.find(other.profile.life)?.failedQueries == 0 && canTake(other.profile, id, description)
            }
            if (hasTarget) return runs.first().key
        }
        return null
    }

    /** Whether a task of the step can start on the worker without exceeding the step's limit there. */
    private fun canTake(profile: WorkerProfile, id: StepId, description: StepDescription): Boolean {
        val others = state.claimsAt(profile.life).keys.count { it.task.step == id }
        return others < description.mayMiss && WorkerCapacity(profile).fitsWhenIdle(description)
    }

    private fun stepsAt(life: WorkerLife): Map<StepId, List<Map.Entry<RunId, StepDescription>>> =
        state.claimsAt(life).entries
            .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
            .groupBy { it.key.task.step }

    /** Number of tasks of the step that are not working, are [planned] to end, or run on [life]. */
    private fun countUnavailable(id: StepId, planned: PlannedDisruptions, life: WorkerLife? = null): Int {
        val job = state.active[id.job] ?: return 0
        val count = job.description.steps[id.step].count
        val progress = job.occurrences[id.occurrence]?.steps?.get(id.step) ?: return count
        return progress.tasks.withIndex().count { (index, task) ->
            val claim = task.claims.firstOrNull()
            val run = claim?.let { RunId(TaskId(id, index), it.number) }
            run == null || claim.life == life || planned.ends(run, claim.life) || !isWorking(run, claim.life)
        }
    }

    private fun isWorking(run: RunId, life: WorkerLife): Boolean {
        val contact = contacts.find(life) ?: return false
        if (contact.failedQueries > 0 || state.worker(life)?.isLeaving != false) return false
        if (contact.orders[run]?.isStopRequested == true) return false
        return contact.running.any { it.run == run && it.percent >= WORKING_PERCENT }
    }

    private companion object {
        /** Progress from which on a lasting task counts as working. */
        const val WORKING_PERCENT = 100
    }
}

/** Worker lives and runs whose end is planned but which may still be reported as working. */
internal class PlannedDisruptions(private val lives: Set<WorkerLife>, private val runs: Set<RunId>) {
    fun ends(run: RunId, life: WorkerLife): Boolean = life in lives || run in runs
}
