package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds one leader's [WorkerContact] for each worker incarnation, and decides which workers accept new tasks. */
internal class WorkerContacts(private val state: SchedulerState, private val settings: SchedulingSettings) {
    private val byIncarnation = HashMap<WorkerIncarnation, WorkerContact>()
    private var lastEpoch = 0
    val answerTimeout = AnswerTimeout(settings.shortestOrderTimeout, settings.orderTimeout)

    val all: Collection<WorkerContact>
        get() = byIncarnation.values

    fun of(incarnation: WorkerIncarnation, now: MonotonicTime): WorkerContact = byIncarnation.getOrPut(incarnation) {
        WorkerContact(incarnation, now, settings.clockSlowness, nextEpoch())
    }

    fun find(incarnation: WorkerIncarnation): WorkerContact? = byIncarnation[incarnation]

    fun remove(incarnation: WorkerIncarnation) {
        byIncarnation.remove(incarnation)
    }

    /** Raises the fence of the worker of [contact] above all orders that this leader has sent. */
    fun raiseFence(contact: WorkerContact) = contact.beginEpoch(nextEpoch())

    private fun nextEpoch(): Int {
        check(lastEpoch < OrderFence.MAX_EPOCH) { "all $lastEpoch epochs of the term are used; lead in a new term" }
        lastEpoch += 1
        return lastEpoch
    }

    /** Whether [worker] may still carry out orders that were sent for its earlier incarnation. */
    fun isUnfenced(worker: Worker): Boolean =
        worker.earlier != null && byIncarnation[worker.profile.incarnation]?.answeredQueryAt == null

    /** Whether runs ordered for an earlier incarnation may run at the worker, even if its leases have expired. */
    fun mayRunLateOrders(contact: WorkerContact, now: MonotonicTime): Boolean =
        timeUntilLateOrdersExpire(contact, now) > Duration.ZERO

    /**
     * Returns the time until no run ordered for an earlier incarnation can run at the worker; zero or less if none can.
     *
     * For a superseded [contact], the runs are those at its successor.
     */
    fun timeUntilLateOrdersExpire(contact: WorkerContact, now: MonotonicTime): Duration {
        val successor = contact.successor
        val fencedAt = successor?.fencedAt
        val until = when {
            // Its leases are not renewed. While it answers, the claims wait for its report.
            fencedAt != null && contact.failedQueries > 0 -> fencedAt + settings.longestLease
            successor != null -> successor.seenAt + settings.lateOrderLifetime
            else ->
                state.worker(contact.incarnation)?.takeIf(::isUnfenced)?.let {
                    it.registeredAt + settings.lateOrderLifetime
                }
        }
        return if (until == null) Duration.ZERO else until - now
    }

    /** Whether a late order for an earlier incarnation may have given [incarnation] a lease of the worker's maximum. */
    fun mayHaveLateLease(incarnation: WorkerIncarnation, now: MonotonicTime): Boolean {
        val worker = state.worker(incarnation) ?: return false
        return worker.earlier != null && now - worker.registeredAt < settings.lateOrderLifetime
    }

    /** Removes the contacts of ended incarnations that have no claims. */
    fun prune() {
        byIncarnation.keys.removeAll { state.worker(it) == null && state.claimsAt(it).isEmpty() }
    }

    /** Whether [worker] shuts down, or has not reported or not answered lately, so that its VM may be lost. */
    fun isAbsent(worker: Worker, now: MonotonicTime): Boolean = exclusionOf(worker, now) in ABSENT

    /** Whether [worker] accepts new tasks: it reported recently, is reachable and healthy, and does not shut down. */
    fun isUsable(worker: Worker, now: MonotonicTime): Boolean = exclusionOf(worker, now) == null

    /** Whether only its quarantine keeps [worker] from being usable, and it may be probed. */
    fun mayProbe(worker: Worker, now: MonotonicTime): Boolean = exclusionOf(worker, now) == Exclusion.QUARANTINED &&
        find(worker.profile.incarnation)?.health?.mayProbe(now) == true

    /** Returns why [worker] accepts no new tasks, or null if it does; quarantine only if nothing else excludes it. */
    fun exclusionOf(worker: Worker, now: MonotonicTime): Exclusion? {
        val contact = byIncarnation[worker.profile.incarnation]
        val lastContactAt = contact?.lastContactAt
        return when {
            worker.isLeaving -> Exclusion.LEAVING
            lastContactAt == null || !contact.clock.isKnown -> Exclusion.NOT_MET
            now - lastContactAt > settings.reportInterval * MISSED_REPORTS -> Exclusion.REPORTS_MISSING
            contact.failedQueries > 0 -> Exclusion.SILENT
            contact.isUnreachable -> Exclusion.UNREACHABLE
            isLeaseClosed(worker, contact) -> Exclusion.LEASE_CLOSED
            contact.isClosed -> Exclusion.CLOSED
            isUnfenced(worker) -> Exclusion.EARLIER_ORDERS
            contact.atCapacityUntil?.let { now < it } == true -> Exclusion.AT_CAPACITY
            !isCapacityKnown(worker, contact) -> Exclusion.CAPACITY_UNKNOWN
            contact.health.isQuarantined(now) -> Exclusion.QUARANTINED
            else -> null
        }
    }

    /** Whether no lease may be granted to [worker] until it has answered a status query and that is committed. */
    fun isLeaseClosed(worker: Worker, contact: WorkerContact): Boolean = worker.isLeaseClosed || contact.isLeaseClosed

    /**
     * Whether the state shows the free capacity of [worker].
     *
     * Until the worker has answered a status query under this leadership, only the log shows its free capacity.
     */
    private fun isCapacityKnown(worker: Worker, contact: WorkerContact): Boolean =
        state.claimsAt(worker.profile.incarnation).isEmpty() ||
            contact.answeredQueryAt != null ||
            contact.orders.isNotEmpty()

    private companion object {
        // A report may be late, and one may be sent to a daemon that is down.
        const val MISSED_REPORTS = 2.2
        val ABSENT = setOf(
            Exclusion.LEAVING,
            Exclusion.NOT_MET,
            Exclusion.REPORTS_MISSING,
            Exclusion.SILENT,
            Exclusion.UNREACHABLE,
        )
    }
}

/** Reason why a worker accepts no new tasks. */
internal enum class Exclusion {
    /** The worker has announced that it shuts down. */
    LEAVING,

    /** Nothing was heard from the worker under this leadership. */
    NOT_MET,

    /** Several reports in a row are missing. */
    REPORTS_MISSING,

    /** The latest status query was not answered. */
    SILENT,

    /** An order could not be sent, and no status query was answered since. */
    UNREACHABLE,

    /** The worker was silent, and the record that it gets leases again is not committed yet. */
    LEASE_CLOSED,

    /** Runs fail or progress too slowly there. */
    QUARANTINED,

    /** The incarnation has been replaced or is deregistering. */
    CLOSED,

    /** Orders sent for an earlier incarnation may still start runs there. */
    EARLIER_ORDERS,

    /** The worker has just refused a run for lack of capacity. */
    AT_CAPACITY,

    /** The worker has claimed runs that this leader did not order, and has answered no status query yet. */
    CAPACITY_UNKNOWN,
}

/** Pause after a worker refused a run for lack of capacity; a little longer than stopping a task takes. */
internal val NO_ROOM_PAUSE: Duration = 1_000.milliseconds
