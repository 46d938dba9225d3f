package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Contacts of one leader with the workers, and which of them may be given tasks. */
internal class WorkerContacts(private val state: SchedulerState, private val settings: SchedulingSettings) {
    private val byLife = HashMap<WorkerLife, WorkerContact>()
    val unansweredStarts = UnansweredStarts(settings.orderDelay)

    val all: Collection<WorkerContact>
        get() = byLife.values

    fun of(life: WorkerLife, now: MonotonicTime): WorkerContact =
        byLife.getOrPut(life) { WorkerContact(life, now, settings.clockSlowness) }

    fun find(life: WorkerLife): WorkerContact? = byLife[life]

    fun forget(life: WorkerLife) {
        byLife.remove(life)
    }

    /** Whether [worker] may still carry out orders that earlier leaders sent for its earlier life. */
    fun isUnfenced(worker: Worker): Boolean = worker.earlier != null && byLife[worker.profile.life]?.answeredQueryAt == null

    /** Whether orders for an earlier life may keep runs at work at [contact], whatever was granted there. */
    fun mayRunLateOrders(contact: WorkerContact, now: MonotonicTime): Boolean {
        val isUnfenced = state.worker(contact.life)?.let(::isUnfenced) ?: false
        val until = contact.earlierOrdersUntil ?: if (isUnfenced) contact.since + settings.lateOrderLifetime else return false
        return now < until
    }

    /** Drops the contacts of lives that have ended and have no claims. */
    fun prune(now: MonotonicTime) {
        unansweredStarts.prune(now)
        byLife.keys.removeAll { state.worker(it) == null && state.claimsAt(it).isEmpty() }
    }

    /** Whether [worker] was heard lately, stays, and does not fail what it starts. */
    fun isUsable(worker: Worker, now: MonotonicTime): Boolean {
        if (worker.isLeaving) return false
        val contact = byLife[worker.profile.life] ?: return false
        val lastContactAt = contact.lastContactAt ?: return false
        if (!contact.clock.isKnown || now - lastContactAt > settings.reportInterval * MISSED_REPORTS) return false
        if (contact.failedQueries > 0 || contact.isUnreachable || contact.health.isQuarantined(now)) return false
        if (isExcluded(worker, contact)) return false
        if (contact.atCapacityUntil?.let { now < it } == true) return false
        // Until the worker has said under this leadership what it runs, its room is known from the log only.
        return state.claimsAt(worker.profile.life).isEmpty() || contact.answeredQueryAt != null || contact.orders.isNotEmpty()
    }

    /** Whether the worker has left, or may still carry out what was ordered for an earlier life. */
    private fun isExcluded(worker: Worker, contact: WorkerContact): Boolean =
        contact.isClosed || isUnfenced(worker) || unansweredStarts.notRefusedBy(contact.life).isNotEmpty()

    private companion object {
        // A report may be late, and one may go to a daemon that is down.
        const val MISSED_REPORTS = 2.2
    }
}

/** How long a worker that said it has no room is passed over, a little longer than a task that is being stopped. */
internal val NO_ROOM_PAUSE: Duration = 1_000.milliseconds
