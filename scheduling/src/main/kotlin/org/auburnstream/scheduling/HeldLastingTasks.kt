package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs how long lasting tasks have been down: those held by the claims of silent workers, and each that starts again.
 *
 * The time counts from the last answer of the worker that had the run, or from the start of this leadership if it has
 * had none; for a run that has ended, from the commit of its end. One line covers all workers, however many are silent.
 */
internal class HeldLastingTasks(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val emit: (Action) -> Unit,
) {
    private val downSince = HashMap<TaskId, MonotonicTime>()
    private var nextLogAt = MonotonicTime.Zero

    /** Notes that [run] was lost or did not start, and is not known to have run after [since]. */
    fun runLost(run: RunId, since: MonotonicTime) {
        if (state.stepOf(run.task)?.lasting == true) downSince.putIfAbsent(run.task, since)
    }

    /** Notes that all runs at [incarnation] are lost with it. */
    fun workerEnds(incarnation: WorkerIncarnation) {
        val since = contacts.find(incarnation)?.runsKnownAt ?: return
        state.claimsAt(incarnation).keys.forEach { runLost(it, since) }
    }

    /** Notes that [run] has started. */
    fun runStarted(run: RunId) {
        downSince.remove(run.task)
    }

    /** Returns for how long [task] has been down at [now], for the log; empty if not known. */
    fun downFields(task: TaskId, now: MonotonicTime): Array<Pair<String, Any?>> {
        val since = downSince[task] ?: return emptyArray()
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
            "leaving" to held.count { state.worker(it.incarnation)?.isLeaving == true },
        )
        val causes = held.groupingBy { it.cause }.fold(0) { sum, hold -> sum + hold.runs.size }
        emit(Action.Note("lasting_tasks_held", fields + causes.toSortedMap().map { (cause, runs) -> cause to runs }))
    }

    private fun hold(incarnation: WorkerIncarnation, now: MonotonicTime): Hold? {
        val contact = contacts.find(incarnation)?.takeIf { it.failedQueries > 0 || it.isSuperseded } ?: return null
        val silence = now - contact.runsKnownAt
        val runs = state.claimsAt(incarnation).filterValues { it.lasting }.keys
        if (silence < MIN_SILENCE || runs.isEmpty()) return null
        val lateOrders = contacts.timeUntilLateOrdersExpire(contact, now)
        val lease = leaseLeft(contact, now)
        val cause = when {
            lateOrders > lease -> "late_orders"
            contact.answeredQueryAt == null -> "earlier_leader"
            else -> "lease"
        }
        return Hold(incarnation, runs, silence, maxOf(lease, lateOrders), cause)
    }

    private fun leaseLeft(contact: WorkerContact, now: MonotonicTime): Duration {
        val closed = state.worker(contact.incarnation)?.timeUntilClosedLeaseExpires(now)
        return when {
            contact.answeredQueryAt != null || closed == null -> contact.timeUntilExpiry(now, settings)
            else -> maxOf(closed, contact.clock.timeUntilExpiry(now))
        }
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
