package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/** What one leader knows of one worker life from its own contact with it. */
internal class WorkerContact(val life: WorkerLife, val since: MonotonicTime, clockSlowness: Double) {
    val clock = WorkerClock(clockSlowness)
    val orders = HashMap<RunId, Order>()
    val health = WorkerHealth()
    val speed = WorkerSpeed()

    /** Sequence of the latest report. */
    var sequence = Long.MIN_VALUE

    /** When the worker last reported or answered, or null if not in this leadership. */
    var lastContactAt: MonotonicTime? = null

    /** When the latest look that was answered was sent, or null. */
    var answeredQueryAt: MonotonicTime? = null

    /** When the look in progress was sent, or null. */
    var pendingQueryAt: MonotonicTime? = null
    var nextQueryAt: MonotonicTime = since
    var failedQueries = 0

    /** Whether an order could not be sent, and no look was answered since; reports do not show that orders arrive. */
    var isUnreachable = false

    /** Highest number of an end that was put into a batch. */
    var lastEndInBatch = 0L

    /** Latest rows of the runs in progress. */
    var running: List<RunStatus> = emptyList()

    /** Orders of a room that the worker refused count as in use until this time. */
    var atCapacityUntil: MonotonicTime? = null

    /** Whether a later life of the worker has answered in its place. */
    var isSuperseded = false

    /** Whether the worker has said farewell and ends soon. */
    var isDeregistering = false

    /** Whether no run may start here any more. */
    val isClosed: Boolean
        get() = isSuperseded || isDeregistering

    /** Until when orders that were sent for an earlier life may keep runs at work, or null if there were none. */
    var earlierOrdersUntil: MonotonicTime? = null

    /** Whether a look has to show that the worker is there, also if it runs nothing. */
    val needsQuery: Boolean
        get() = lastContactAt == null || isUnreachable

    fun recordContact(now: MonotonicTime, clockMs: Long?) {
        lastContactAt = now
        if (clockMs != null) clock.observe(clockMs, now)
    }

    /** Notes that a look got no answer; a worker that [isIdle] is asked ever more seldom. */
    fun queryFailed(now: MonotonicTime, settings: SchedulingSettings, isIdle: Boolean) {
        val factor = if (isIdle) 1 shl minOf(failedQueries, MAX_DOUBLINGS) else 1
        failedQueries += 1
        nextQueryAt = now + settings.retryInterval * factor
    }

    /** Whether everything that may run there has certainly lost its lease, whichever leader granted it. */
    fun hasLeaseExpired(now: MonotonicTime, settings: SchedulingSettings): Boolean =
        haveEarlierLeasesExpired(now, settings) && hasOwnLeaseExpired(now)

    private fun haveEarlierLeasesExpired(now: MonotonicTime, settings: SchedulingSettings): Boolean {
        // The first look that is answered raises the fence, and adds what earlier leaders granted to the own grants.
        return answeredQueryAt != null || now - since > settings.predecessorTime
    }

    private fun hasOwnLeaseExpired(now: MonotonicTime): Boolean {
        val granted = clock.grantedUntilMs ?: return true
        return clock.earliestMs(now) > granted + EXPIRY_MARGIN_MS
    }

    /** What decides whether a lease has run out, for the log; ages and times are in ms. */
    fun leaseFields(now: MonotonicTime): Array<Pair<String, Any?>> = arrayOf(
        "granted_until_ms" to clock.grantedUntilMs,
        "clock_ms" to clock.earliestMs(now),
        "clock_age_ms" to clock.readingAge(now)?.inWholeMilliseconds,
        "look_age_ms" to answeredQueryAt?.let { (now - it).inWholeMilliseconds },
        "contact_age_ms" to (now - since).inWholeMilliseconds,
        "failed_looks" to failedQueries,
    )

    private companion object {
        // The rounding of clock readings, and the worker's own timer.
        const val EXPIRY_MARGIN_MS = 250

        // Half a minute at the usual interval; a report brings the next look at once.
        const val MAX_DOUBLINGS = 7
    }
}

/** State of an order that this leader has sent. */
internal class Order(val sentAt: MonotonicTime) {
    /** When the worker is known to have carried out the start, or null. */
    var startedAt: MonotonicTime? = null

    /** When the last order to stop the run was sent, or null. */
    var stopSentAt: MonotonicTime? = null

    /** When the first order to stop the run was answered, or null. */
    var stoppedAt: MonotonicTime? = null
    var isStopRequested = false
}

/** Whether the run, if [answer] to a look sent at [queriedAt] did not list it, can never be there any more. */
internal fun Order?.isAbsenceConclusive(queriedAt: MonotonicTime, answer: StatusAnswer): Boolean {
    if (!answer.hasAllEnds) return false
    // The fence that came with the look keeps out what an earlier leader sent.
    if (this == null) return true
    val since = stoppedAt ?: startedAt
    return since != null && since <= queriedAt
}

/** How long before [at] the order was sent and answered, in ms, for the log. */
internal fun Order?.ageFields(at: MonotonicTime): Array<Pair<String, Any?>> = arrayOf(
    "sent_before_ms" to this?.let { (at - it.sentAt).inWholeMilliseconds },
    "started_before_ms" to this?.startedAt?.let { (at - it).inWholeMilliseconds },
    "stopped_before_ms" to this?.stoppedAt?.let { (at - it).inWholeMilliseconds },
)
