package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds one leader's [WorkerContact] for each worker life, and decides which workers accept new tasks. */
internal class WorkerContacts(private val state: SchedulerState, private val settings: SchedulingSettings) {
    private val byLife = HashMap<WorkerLife, WorkerContact>()
    val unansweredStarts = UnansweredStarts(settings.orderDelay)

    val all: Collection<WorkerContact>
        get() = byLife.values

    fun of(life: WorkerLife, now: MonotonicTime): WorkerContact =
        byLife.getOrPut(life) { WorkerContact(life, now, settings.clockSlowness) }

    fun find(life: WorkerLife): WorkerContact? = byLife[life]

    fun remove(life: WorkerLife) {
        byLife.remove(life)
    }

    /** Whether [worker] may still carry out orders that earlier leaders sent for its earlier life. */
    fun isUnfenced(worker: Worker): Boolean =
        worker.earlier != null && byLife[worker.profile.life]?.answeredQueryAt == null

    /** Whether runs ordered for an earlier life may run at [contact], even if its leases have expired. */
    fun mayRunLateOrders(contact: WorkerContact, now: MonotonicTime): Boolean {
        val isUnfenced = state.worker(contact.life)?.let(::isUnfenced) ?: false
        val until = contact.earlierOrdersUntil
            ?: if (isUnfenced) contact.since + settings.lateOrderLifetime else return false
        return now < until
    }

    /** Removes the contacts of ended lives that have no claims. */
    fun prune(now: MonotonicTime) {
        unansweredStarts.prune(now)
        byLife.keys.removeAll { state.worker(it) == null && state.claimsAt(it).isEmpty() }
    }

    /** Whether [worker] accepts new tasks: it reported recently, is reachable and healthy, and does not shut down. */
    fun isUsable(worker: Worker, now: MonotonicTime): Boolean {
        if (worker.isLeaving) return false
        val contact = byLife[worker.profile.life] ?: return false
        val lastContactAt = contact.lastContactAt ?: return false
        if (!contact.clock.isKnown || now - lastContactAt > settings.reportInterval * MISSED_REPORTS) return false
        if (contact.failedQueries > 0 || contact.isUnreachable || contact.health.isQuarantined(now)) return false
        if (isExcluded(worker, contact)) return false
        if (contact.atCapacityUntil?.let { now < it } == true) return false
        // Until the worker has answered a status query under this leadership, only the log shows its free capacity.
        return state.claimsAt(worker.profile.life).isEmpty() ||
            contact.answeredQueryAt != null ||
            contact.orders.isNotEmpty()
    }

    /** Whether the worker is closed to new runs, or may still carry out orders sent for an earlier life. */
    private fun isExcluded(worker: Worker, contact: WorkerContact): Boolean =
        contact.isClosed || isUnfenced(worker) || unansweredStarts.notRefusedBy(contact.life).isNotEmpty()

    private companion object {
        // A report may be late, and one may be sent to a daemon that is down.
        const val MISSED_REPORTS = 2.2
    }
}

/** Pause after a worker refused a run for lack of capacity; a little longer than stopping a task takes. */
internal val NO_ROOM_PAUSE: Duration = 1_000.milliseconds
