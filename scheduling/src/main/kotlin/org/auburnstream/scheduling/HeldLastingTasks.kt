package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs how long lasting tasks have been down: those held by the claims of silent workers, and each that starts again.
 *
 * The time counts from the last answer of the worker that had the run, or from the start of this leadership if it has
 * had none. One line covers all workers, however many are silent.
 */
internal class HeldLastingTasks(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val emit: (Action) -> Unit,
) {
    private val downSince = HashMap<TaskId, MonotonicTime>()
    private var nextLogAt = MonotonicTime.Zero

    /** Remembers that the lasting task of [run] has been down since [since], the last time that it was known to run. */
    fun runLost(run: RunId, since: MonotonicTime) {
        if (state.stepOf(run.task)?.lasting == true) downSince.putIfAbsent(run.task, since)
    }

    /** Returns for how long the task of [run], which starts at [now], was down, for the log; empty if not known. */
    fun startFields(run: RunId, now: MonotonicTime): Array<Pair<String, Any?>> {
        val since = downSince.remove(run.task) ?: return emptyArray()
        return arrayOf("down_ms" to (now - since).inWholeMilliseconds)
    }

    /** Logs the tasks that are held at [now] by what holds them, and forgets those of ended jobs. */
    fun tick(now: MonotonicTime) {
        if (now < nextLogAt) return
        nextLogAt = now + LOG_INTERVAL
        downSince.keys.removeAll { state.active[it.step.job] == null }
        val held = state.claimedIncarnations.mapNotNull { hold(it, now) }
        val longest = held.maxByOrNull { it.silence } ?: return
        val fields = listOf(
            "tasks" to held.sumOf { it.runs.size },
            "workers" to held.size,
            "longest_ms" to longest.silence.inWholeMilliseconds,
            "run" to longest.runs.first(),
            "worker" to longest.incarnation,
            "lease_left_ms" to longest.left.inWholeMilliseconds,
        )
        val causes = held.groupingBy { it.cause }.fold(0) { sum, hold -> sum + hold.runs.size }
        emit(Action.Note("lasting_tasks_held", fields + causes.toSortedMap().map { (cause, runs) -> cause to runs }))
    }

    private fun hold(incarnation: WorkerIncarnation, now: MonotonicTime): Hold? {
        val contact = contacts.find(incarnation)?.takeIf { it.failedQueries > 0 } ?: return null
        val silence = now - contact.lastKnownAt
        val runs = state.claimsAt(incarnation).filterValues { it.lasting }.keys
        if (silence < MIN_SILENCE || runs.isEmpty()) return null
        val cause = when {
            contacts.mayRunLateOrders(contact, now) -> "late_orders"
            contact.answeredQueryAt == null -> "earlier_leader"
            else -> "lease"
        }
        return Hold(incarnation, runs, silence, contact.timeUntilExpiry(now, settings), cause)
    }

    private class Hold(
        val incarnation: WorkerIncarnation,
        val runs: Set<RunId>,
        val silence: Duration,
        val left: Duration,
        val cause: String,
    )

    private companion object {
        val LOG_INTERVAL: Duration = 1.seconds

        /** Longer than a lost answer and its repetition take. */
        val MIN_SILENCE: Duration = 3.seconds
    }
}
