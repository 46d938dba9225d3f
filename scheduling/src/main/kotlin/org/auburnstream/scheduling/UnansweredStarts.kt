package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks start orders that were not answered and may still be carried out.
 *
 * An order names the worker and not its incarnation, so the incarnation that is running when the order arrives carries
 * it out. A later incarnation does not know of a stop that an earlier one answered, and needs a stop of its own to
 * refuse the run.
 *
 * @property orderDelay longest time until an unanswered order is carried out.
 */
internal class UnansweredStarts(private val orderDelay: Duration) {
    private val byWorker = HashMap<WorkerId, HashMap<RunId, UnansweredStart>>()

    /** Workers for which such an order may be in flight. */
    val workers: Set<WorkerId>
        get() = byWorker.keys

    /** Adds a start order that is sent to the worker of [incarnation]. */
    fun add(run: RunId, incarnation: WorkerIncarnation, now: MonotonicTime) {
        byWorker.getOrPut(incarnation.worker) { HashMap() }[run] = UnansweredStart(run, incarnation, now)
    }

    /** Removes the order, which was carried out or refused. */
    fun remove(run: RunId, worker: WorkerId) {
        val starts = byWorker[worker] ?: return
        starts.remove(run)
        if (starts.isEmpty()) byWorker.remove(worker)
    }

    /** Marks [incarnation] as having answered a stop of [run], so that it refuses the start. */
    fun markRefused(run: RunId, incarnation: WorkerIncarnation) {
        byWorker[incarnation.worker]?.get(run)?.refusedBy = incarnation
    }

    /** Returns the orders sent for earlier incarnations of the worker that [incarnation] would not refuse yet. */
    fun notRefusedBy(incarnation: WorkerIncarnation): List<UnansweredStart> = byWorker[incarnation.worker]?.values
        ?.filter { it.incarnation.startedMs < incarnation.startedMs && it.refusedBy != incarnation }
        .orEmpty()

    /** Removes the orders that can no longer be carried out. */
    fun prune(now: MonotonicTime) {
        byWorker.values.forEach { starts -> starts.values.removeAll { now - it.sentAt > orderDelay } }
        byWorker.values.removeAll { it.isEmpty() }
    }
}

/** Unanswered order to start [run] that was sent for [incarnation]. */
internal class UnansweredStart(val run: RunId, val incarnation: WorkerIncarnation, val sentAt: MonotonicTime) {
    /** Later incarnation that has answered a stop of the run, or null. */
    var refusedBy: WorkerIncarnation? = null

    /** Time at which the last stop was sent to a later incarnation, or null. */
    var stopSentAt: MonotonicTime? = null
}
