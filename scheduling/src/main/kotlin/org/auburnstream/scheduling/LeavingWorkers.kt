package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the lasting runs of workers that shut down which are stopped so that their tasks start on other workers.
 *
 * A worker may end as soon as it has drained, and the task of a run that it takes with it is down until the lease has
 * expired. The runs of a step are stopped within its [DisruptionBudget] at first; after [PACED_TIME] all that are left.
 */
internal class LeavingWorkers(
    private val state: SchedulerState,
    private val contacts: WorkerContacts,
    private val disruptionBudget: DisruptionBudget,
    private val isStopping: (RunId, WorkerIncarnation) -> Boolean,
) {
    private val leavingSince = HashMap<WorkerIncarnation, MonotonicTime>()

    /**
     * Returns the runs to stop, with their workers.
     *
     * @param places number of tasks of each step that other workers have room for.
     */
    fun decide(places: Map<StepId, Int>, now: MonotonicTime): Map<RunId, WorkerIncarnation> {
        val leaving = state.workers.values.filter { it.isLeaving }.map { it.profile.incarnation }
        leavingSince.keys.retainAll(leaving.toSet())
        leaving.forEach { leavingSince.getOrPut(it) { now } }
        val stops = LinkedHashMap<RunId, WorkerIncarnation>()
        if (places.isEmpty()) return stops
        val candidates = leaving.flatMap { incarnation -> runsAt(incarnation).map { it to incarnation } }
        for ((id, runs) in candidates.groupBy { (run, _) -> run.task.step }) {
            val (stopping, others) = runs.partition { (run, incarnation) -> isStopping(run, incarnation) }
            var room = (places[id] ?: 0) - stopping.size
            for ((run, incarnation) in others) {
                if (room <= 0) break
                val isPaced = now - leavingSince.getValue(incarnation) < PACED_TIME
                if (isPaced && !disruptionBudget.canRelocate(run, stops.keys)) continue
                stops[run] = incarnation
                room -= 1
            }
        }
        return stops
    }

    /** Returns the lasting runs that [incarnation] is known to have; none if it does not answer. */
    private fun runsAt(incarnation: WorkerIncarnation): List<RunId> {
        val contact = contacts.find(incarnation)?.takeIf { it.failedQueries == 0 } ?: return emptyList()
        return state.claimsAt(incarnation)
            .filter { (run, step) -> step.lasting && !step.gang && contact.orders[run]?.startedAt != null }
            .map { (run, _) -> run }
    }

    private companion object {
        /** Time for which the limit of unavailable tasks holds; workers usually drain for longer. */
        val PACED_TIME: Duration = 2.seconds
    }
}
