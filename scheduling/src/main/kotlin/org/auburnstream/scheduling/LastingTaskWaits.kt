package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs why lasting tasks wait although they should always run.
 *
 * A step is logged once its tasks have waited for [MIN_WAIT], and again after each [LOG_INTERVAL], with the number of
 * workers of its service by the reason that excludes them.
 *
 * @property exclusionOf returns the name of the reason why a worker accepts no task of a step, or null if it does.
 */
internal class LastingTaskWaits(
    private val state: SchedulerState,
    private val exclusionOf: (WaitingStep, Worker, MonotonicTime) -> String?,
    private val emit: (Action) -> Unit,
) {
    private val waits = HashMap<StepId, Wait>()

    /** Updates the waits after a plan that placed [claims] of the steps [waiting]. */
    fun update(waiting: List<WaitingStep>, claims: List<Record.RunClaimed>, now: MonotonicTime) {
        val placed = claims.groupingBy { it.run.task.step }.eachCount()
        val unplaced = waiting.filter { it.description.lasting && (placed[it.id] ?: 0) < it.tasks.size }
        waits.keys.retainAll(unplaced.map { it.id }.toSet())
        for (step in unplaced) {
            val wait = waits.getOrPut(step.id) { Wait(now) }
            val isDue = wait.loggedAt?.let { now - it >= LOG_INTERVAL } ?: (now - wait.since >= MIN_WAIT)
            if (!isDue) continue
            wait.loggedAt = now
            logWait(step, step.tasks.size - (placed[step.id] ?: 0), now - wait.since, now)
        }
    }

    private fun logWait(step: WaitingStep, tasks: Int, waited: Duration, now: MonotonicTime) {
        val workers = state.workers.values.filter { it.profile.service == step.queue.service }
        val counts = workers.groupingBy { exclusionOf(step, it, now) ?: "no_room" }.eachCount()
        val fields = listOf(
            "step" to step.id,
            "tasks" to tasks,
            "waited_ms" to waited.inWholeMilliseconds,
            "service" to step.queue.service,
            "workers" to workers.size,
            "vms_coming" to state.moves.values.count { it.to == step.queue.service },
        )
        emit(Action.Note("lasting_task_waits", fields + counts.toSortedMap().toList()))
    }

    private class Wait(val since: MonotonicTime) {
        var loggedAt: MonotonicTime? = null
    }

    private companion object {
        /** Several times the time that placing a task takes when a worker has room. */
        val MIN_WAIT: Duration = 1.seconds
        val LOG_INTERVAL: Duration = 2.seconds
    }
}
