package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks start orders that were not answered and may still be carried out.
 *
 * An order names the worker and not its life, so the life that is running when the order arrives carries it out. A
 * later life does not know of a stop that an earlier life answered, and needs a stop of its own to refuse the run.
 *
 * @property orderDelay longest time until an unanswered order is carried out.
 */
internal class UnansweredStarts(private val orderDelay: Duration) {
    private val byWorker = HashMap<WorkerId, HashMap<RunId, UnansweredStart>>()

    /** Workers for which such an order may be in flight. */
    val workers: Set<WorkerId>
        get() = byWorker.keys

    /** Adds a start order that is sent to the worker of [life]. */
    fun add(run: RunId, life: WorkerLife, now: MonotonicTime) {
        byWorker.getOrPut(life.worker) { HashMap() }[run] = UnansweredStart(run, life, now)
    }

    /** Removes the order, which was carried out or refused. */
    fun remove(run: RunId, worker: WorkerId) {
        val starts = byWorker[worker] ?: return
        starts.remove(run)
        if (starts.isEmpty()) byWorker.remove(worker)
    }

    /** Marks [life] as having answered a stop of [run], so that it refuses the start. */
    fun markRefused(run: RunId, life: WorkerLife) {
        byWorker[life.worker]?.get(run)?.refusedBy = life
    }

    /** Returns the orders sent for earlier lives of the worker that [life] would not refuse yet. */
    fun notRefusedBy(life: WorkerLife): List<UnansweredStart> =
        byWorker[life.worker]?.values?.filter { it.life.startedMs < life.startedMs && it.refusedBy != life }.orEmpty()

    /** Removes the orders that can no longer be carried out. */
    fun prune(now: MonotonicTime) {
        byWorker.values.forEach { starts -> starts.values.removeAll { now - it.sentAt > orderDelay } }
        byWorker.values.removeAll { it.isEmpty() }
    }
}

/** Unanswered order to start [run] that was sent for [life]. */
internal class UnansweredStart(val run: RunId, val life: WorkerLife, val sentAt: MonotonicTime) {
    /** Later life that has answered a stop of the run, or null. */
    var refusedBy: WorkerLife? = null

    /** Time at which the last stop was sent to a later life, or null. */
    var stopSentAt: MonotonicTime? = null
}
