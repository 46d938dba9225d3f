package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tracks one leader's communication with one worker incarnation: orders, status queries, clock, leases, health. */
internal class WorkerContact(
    val incarnation: WorkerIncarnation,
    val since: MonotonicTime,
    clockSlowness: Double,
    epoch: Int,
) {
    val clock = WorkerClock(clockSlowness)
    val orders = HashMap<RunId, Order>()
    val health = WorkerHealth()
    val speed = WorkerSpeed()

    /** Epoch of the [OrderFence] of the orders to the worker. */
    var epoch: Int = epoch
        private set

    /** Sequence number of the latest report. */
    var sequence = Long.MIN_VALUE

    /** Profile in the latest report, which may not be committed yet, or null. */
    var reported: WorkerProfile? = null

    /** Returns the latest profile of [worker], the state of this incarnation. */
    fun latestProfile(worker: Worker): WorkerProfile = reported ?: worker.profile

    /** Time of the last report or answer under this leadership, or null. */
    var lastContactAt: MonotonicTime? = null

    /** Time at which the latest answered status query was sent, or null. */
    var answeredQueryAt: MonotonicTime? = null

    /** Time at which the status query in progress was sent, or null. */
    var pendingQueryAt: MonotonicTime? = null
    var nextQueryAt: MonotonicTime = since

    /** Number of the latest status query. */
    var queryNumber = 0L
    var failedQueries = 0

    /** Whether the latest status query that renewed the lease has no answer yet. */
    var isRenewalUnanswered = false

    /** Time at which the latest unanswered order or status query timed out, or null. */
    var lostAnswerAt: MonotonicTime? = null

    /**
     * Whether an order could not be sent and no status query was answered since.
     *
     * A report does not clear it, because it does not prove that orders reach the worker.
     */
    var isUnreachable = false

    /** Highest number of a run end that was put into a batch. */
    var lastEndInBatch = 0L

    /** Latest status of the runs in progress. */
    var running: List<RunStatus> = emptyList()

    /** Time at which [running] was received, or null. */
    var listedAt: MonotonicTime? = null

    /** Time up to which the runs are known: that of the latest answered status query, or the start of the contact. */
    var runsKnownAt: MonotonicTime = since

    /** Time until which the worker counts as full because it refused an order for lack of capacity, or null. */
    var atCapacityUntil: MonotonicTime? = null

    /** Later incarnation that has answered in place of this one, or null. */
    var successor: Successor? = null

    /** Whether a later incarnation of the worker has answered in its place. */
    val isSuperseded: Boolean
        get() = successor != null

    /** Whether the record that no earlier order can be carried out any more was decided. */
    var isFenceRecorded = false

    /** Time at which the first status query was answered, or null. */
    var fencedAt: MonotonicTime? = null

    /** Whether a worker with another id has answered at the address, so that this incarnation has ended. */
    var isReplaced = false

    /** Whether the worker has sent a deregistration and shuts down soon. */
    var isDeregistering = false

    /** Whether no further run may start at this incarnation. */
    val isClosed: Boolean
        get() = isSuperseded || isDeregistering || isReplaced

    /** Whether the incarnation is current and its clock is known, so that runs can be ordered. */
    val isOpen: Boolean
        get() = !isClosed && clock.isKnown

    /** Whether this leader grants no lease because it has decided a [Record.LeaseClosed] that still holds. */
    var isLeaseClosed = false

    /** Whether a [Record.LeaseReopened] waits to be committed. */
    var isLeaseReopening = false

    /** Whether a status query has to prove that the worker is reachable, even if it is idle. */
    val needsQuery: Boolean
        get() = lastContactAt == null || isUnreachable

    /** Begins [epoch] for the orders to the worker; a query in progress counts as obsolete. */
    fun beginEpoch(epoch: Int) {
        this.epoch = epoch
        pendingQueryAt = null
    }

    /**
     * Whether a status query sent at [now] reaches this incarnation and no later one.
     *
     * A worker takes longer than [EVIDENCE_TIME] to restart and to end a run. An order or query without an answer may
     * be the first sign of its restart.
     */
    fun isCurrent(now: MonotonicTime): Boolean {
        val heardAt = listedAt ?: return false
        val isDoubtful = isSuperseded || failedQueries > 0 || lostAnswerAt?.let { it >= heardAt } == true
        return !isDoubtful && now - heardAt <= EVIDENCE_TIME
    }

    /** Records a report or answer received at [now] with the reading [clockMs] of the worker's clock. */
    fun recordContact(now: MonotonicTime, clockMs: Long?) {
        lastContactAt = now
        if (clockMs != null) clock.observe(clockMs, now)
    }

    /**
     * Accounts for the leases of earlier leaders at the first answered status query, sent at [sentAt].
     *
     * An earlier leader grants none after the start of this leadership, and the end of a lease does not move with the
     * time at which its order arrives. Only a late order for an earlier incarnation, in the lifetime of whose clock its
     * end was set, may give a restarted worker the longest lease that it grants, until the fence is raised.
     */
    fun assumeEarlierLeases(
        clockMs: Long,
        sentAt: MonotonicTime,
        mayHaveLateLease: Boolean,
        settings: SchedulingSettings,
    ) {
        if (mayHaveLateLease) return clock.assumeGranted(clockMs, settings.maxLease)
        // The clock was read after the query was sent, and has run at least this far since the contact began.
        val passed = (sentAt - since) * (1 - settings.clockSlowness)
        clock.assumeGranted(clockMs, minOf(settings.lease, settings.predecessorTime - passed))
    }

    /** Records an unanswered status query; idle workers are queried with exponential backoff. */
    fun queryFailed(now: MonotonicTime, settings: SchedulingSettings, isIdle: Boolean) {
        failedQueries += 1
        nextQueryAt = when {
            isIdle -> now + settings.retryInterval * (1 shl minOf(failedQueries - 1, MAX_DOUBLINGS))
            // A single answer may be lost without any trouble at the worker.
            failedQueries == 1 -> now
            else -> now + settings.retryInterval
        }
    }

    /**
     * Whether all leases of the worker have certainly expired, whichever leader granted them.
     *
     * @param worker state of the worker, or null if its end is recorded.
     */
    fun hasLeaseExpired(worker: Worker?, now: MonotonicTime, settings: SchedulingSettings): Boolean =
        haveEarlierLeasesExpired(worker, now, settings) && clock.hasExpired(now)

    private fun haveEarlierLeasesExpired(worker: Worker?, now: MonotonicTime, settings: SchedulingSettings): Boolean {
        // The first answered status query raises the fence and adds the earlier leaders' grants to this leader's.
        val isOver = answeredQueryAt != null || now - since > settings.predecessorTime
        return isOver || worker?.hasClosedLeaseExpired(now) == true
    }

    /** Returns an upper bound of the time until every lease of the worker has expired, whichever leader granted it. */
    fun timeUntilExpiry(now: MonotonicTime, settings: SchedulingSettings): Duration {
        val own = clock.timeUntilExpiry(now)
        return if (answeredQueryAt != null) own else maxOf(own, settings.predecessorTime - (now - since))
    }

    /** Returns the inputs of the decision whether a lease has expired, for the log; ages and times are in ms. */
    fun leaseFields(now: MonotonicTime): Array<Pair<String, Any?>> = arrayOf(
        "granted_until_ms" to clock.grantedUntilMs,
        "clock_ms" to clock.earliestMs(now),
        "clock_age_ms" to clock.readingAge(now)?.inWholeMilliseconds,
        "look_age_ms" to answeredQueryAt?.let { (now - it).inWholeMilliseconds },
        "contact_age_ms" to (now - since).inWholeMilliseconds,
        "failed_looks" to failedQueries,
    )

    private companion object {
        // About half a minute at the default interval; a report triggers the next query at once.
        const val MAX_DOUBLINGS = 7

        val EVIDENCE_TIME: Duration = 250.milliseconds
    }
}

/**
 * Later incarnation of a worker that has answered in place of an earlier one and has not reported yet.
 *
 * @property startedMs start of the incarnation in Unix milliseconds.
 * @property seenAt time of its first answer.
 */
internal class Successor(val startedMs: Long, val seenAt: MonotonicTime) {
    /** Time of its first answer in the epoch that was begun for it, or null; it carries out no earlier order then. */
    var fencedAt: MonotonicTime? = null
}

/** State of the start and stop orders that this leader has sent for a run. */
internal class Order(val sentAt: MonotonicTime) {
    /** Whether the start was sent and has neither been answered nor timed out. */
    var isStarting = false

    /** Time at which the worker is known to have started the run, or null. */
    var startedAt: MonotonicTime? = null

    /** Time at which the last stop was sent, or null. */
    var stopSentAt: MonotonicTime? = null

    /** Number of stops sent. */
    var stopsSent = 0

    /** Time at which the first stop was answered, or null. */
    var stoppedAt: MonotonicTime? = null
    var isStopRequested = false

    /** Whether the worker's incarnation has listed the run as in progress, so that the run ends with it. */
    var isListed = false
}

/** Whether a run not listed in [answer], to a status query sent at [queriedAt], can never run at the worker again. */
internal fun Order?.isAbsenceConclusive(queriedAt: MonotonicTime, answer: StatusAnswer): Boolean {
    if (!answer.hasAllEnds) return false
    // The fence raised by the query keeps the worker from carrying out the orders of an earlier leader or for an
    // earlier incarnation.
    if (this == null) return true
    val since = stoppedAt ?: startedAt
    return since != null && since <= queriedAt
}

/** Returns how long before [at] the order was sent and answered, in ms, for the log. */
internal fun Order?.ageFields(at: MonotonicTime): Array<Pair<String, Any?>> = arrayOf(
    "sent_before_ms" to this?.let { (at - it.sentAt).inWholeMilliseconds },
    "started_before_ms" to this?.startedAt?.let { (at - it).inWholeMilliseconds },
    "stopped_before_ms" to this?.stoppedAt?.let { (at - it).inWholeMilliseconds },
)
