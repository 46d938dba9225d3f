package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Orders to start that were not answered and may still be carried out.
 *
 * An order names the worker and not its life, so any life that is up when it arrives carries it out. A later life
 * knows nothing of a stop that the earlier one answered, and has to refuse the run by a stop of its own.
 *
 * @property orderDelay longest time until an order that was not answered is carried out.
 */
internal class UnansweredStarts(private val orderDelay: Duration) {
    private val byWorker = HashMap<WorkerId, HashMap<RunId, UnansweredStart>>()

    /** Workers for which such an order may be on its way. */
    val workers: Set<WorkerId>
        get() = byWorker.keys

    fun sent(run: RunId, life: WorkerLife, now: MonotonicTime) {
        byWorker.getOrPut(life.worker) { HashMap() }[run] = UnansweredStart(run, life, now)
    }

    /** Notes that the order was carried out or refused. */
    fun resolved(run: RunId, worker: WorkerId) {
        val starts = byWorker[worker] ?: return
        starts.remove(run)
        if (starts.isEmpty()) byWorker.remove(worker)
    }

    /** Notes that [life] has answered a stop of [run], and so refuses its start. */
    fun refused(run: RunId, life: WorkerLife) {
        byWorker[life.worker]?.get(run)?.refusedBy = life
    }

    /** Returns what was sent for an earlier life of the worker and [life] does not refuse yet. */
    fun notRefusedBy(life: WorkerLife): List<UnansweredStart> =
        byWorker[life.worker]?.values?.filter { it.life.startedMs < life.startedMs && it.refusedBy != life }.orEmpty()

    /** Drops the orders that can not be carried out any more. */
    fun prune(now: MonotonicTime) {
        byWorker.values.forEach { starts -> starts.values.removeAll { now - it.sentAt > orderDelay } }
        byWorker.values.removeAll { it.isEmpty() }
    }
}

/** Order to start [run] that was sent for [life] and not answered. */
internal class UnansweredStart(val run: RunId, val life: WorkerLife, val sentAt: MonotonicTime) {
    /** Later life that has answered a stop of the run, or null. */
    var refusedBy: WorkerLife? = null

    /** When the last stop was sent to a later life, or null. */
    var stopSentAt: MonotonicTime? = null
}
