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
     * @param planned incarnations and runs that the same pass has already planned to end.
     */
    fun canDisrupt(worker: Worker, planned: PlannedDisruptions): Boolean {
        val incarnation = worker.profile.incarnation
        val contact = contacts.find(incarnation)
        // A start order that is not answered yet may start a task there after the tasks were counted.
        if (contact?.orders?.values?.any { it.startedAt == null } == true) return false
        return stepsAt(incarnation).all { (id, runs) ->
            countUnavailable(id, planned, incarnation) <= runs.first().value.mayMiss
        }
    }

    /** Whether [worker] runs more lasting tasks of one step than may be unavailable at a time. */
    fun exceedsDisruptionLimit(worker: Worker): Boolean = stepsAt(worker.profile.incarnation).values.any(::exceedsLimit)

    private fun exceedsLimit(runs: List<Map.Entry<RunId, StepDescription>>): Boolean =
        runs.size > runs.first().value.mayMiss

    /**
     * Returns a lasting run of [worker] that may be stopped now and can start on another worker, or null.
     *
     * Considers only runs of steps that exceed their limit on [worker], see [exceedsDisruptionLimit].
     *
     * @param planned incarnations and runs that the same pass has already planned to end.
     * @param isTarget whether a worker may take the run.
     */
    fun findEvacuableRun(worker: Worker, planned: PlannedDisruptions, isTarget: (Worker) -> Boolean): RunId? {
        for ((id, runs) in stepsAt(worker.profile.incarnation)) {
            val description = runs.first().value
            val mayStop = exceedsLimit(runs) && countUnavailable(id, planned) + 1 <= description.mayMiss
            if (!mayStop) continue
            val hasTarget = state.workers.values.any { other ->
                isTarget(other) && other.profile.service == worker.profile.service && !other.isLeaving &&
                    contacts.find(other.profile.incarnation)?.failedQueries == 0 &&
                    canTake(other.profile, id, description)
            }
            if (hasTarget) return runs.first().key
        }
        return null
    }

    /**
     * Whether [run] of a worker that shuts down may be stopped now so that its task starts elsewhere.
     *
     * At least one task of a step may always be on its way, as it ends with its worker otherwise.
     *
     * @param planned runs that the same pass has already planned to stop.
     */
    fun canRelocate(run: RunId, planned: Set<RunId>): Boolean {
        val limit = state.stepOf(run.task)?.mayMiss ?: return false
        val isAway = { other: RunId, incarnation: WorkerIncarnation ->
            other in planned || !isListedAsWorking(other, incarnation)
        }
        return countUnavailable(run.task.step, isAway) < maxOf(1, limit)
    }

    /** Whether a task of the step can start on the worker without exceeding the step's limit there. */
    private fun canTake(profile: WorkerProfile, id: StepId, description: StepDescription): Boolean {
        val others = state.claimsAt(profile.incarnation).keys.count { it.task.step == id }
        return others < description.mayMiss && WorkerCapacity(profile).fitsWhenIdle(description)
    }

    private fun stepsAt(incarnation: WorkerIncarnation): Map<StepId, List<Map.Entry<RunId, StepDescription>>> =
        state.claimsAt(incarnation).entries
            .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
            .groupBy { it.key.task.step }

    /** Number of tasks of the step that are not working, are [planned] to end, or run on [incarnation]. */
    private fun countUnavailable(id: StepId, planned: PlannedDisruptions, incarnation: WorkerIncarnation? = null): Int =
        countUnavailable(id) { run, worker ->
            worker == incarnation || planned.ends(run, worker) || !isWorking(run, worker)
        }

    /** Number of tasks of the step that have no run, or whose run [isAway]. */
    private fun countUnavailable(id: StepId, isAway: (RunId, WorkerIncarnation) -> Boolean): Int {
        val job = state.active[id.job] ?: return 0
        val count = job.stepOf(TaskId(id, index = 0))?.count ?: return 0
        val progress = job.occurrences[id.occurrence]?.steps?.get(id.step) ?: return count
        return progress.tasks.withIndex().count { (index, task) ->
            val claim = task.claims.firstOrNull()
            claim == null || isAway(RunId(TaskId(id, index), claim.number), claim.incarnation)
        }
    }

    private fun isWorking(run: RunId, incarnation: WorkerIncarnation): Boolean =
        state.worker(incarnation)?.isLeaving == false && isListedAsWorking(run, incarnation)

    private fun isListedAsWorking(run: RunId, incarnation: WorkerIncarnation): Boolean {
        val contact = contacts.find(incarnation) ?: return false
        if (contact.failedQueries > 0) return false
        if (contact.orders[run]?.isStopRequested == true) return false
        return contact.running.any { it.run == run && it.percent >= WORKING_PERCENT }
    }

    private companion object {
        /** Progress from which on a lasting task counts as working. */
        const val WORKING_PERCENT = 100
    }
}

/** Worker incarnations and runs whose end is planned but which may still be reported as working. */
internal class PlannedDisruptions(private val incarnations: Set<WorkerIncarnation>, private val runs: Set<RunId>) {
    fun ends(run: RunId, incarnation: WorkerIncarnation): Boolean = incarnation in incarnations || run in runs
}
