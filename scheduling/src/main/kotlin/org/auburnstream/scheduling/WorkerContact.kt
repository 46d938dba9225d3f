package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What one leader knows of one worker life from its own contact with it. */
internal class WorkerContact(val life: WorkerLife, val since: MonotonicTime) {
    val clock = WorkerClock()
    val orders = HashMap<RunId, Order>()
    val health = WorkerHealth()
    val speed = WorkerSpeed()

    /** Sequence of the latest report. */
    var sequence = Long.MIN_VALUE

    /** When the worker last reported or answered, or null if not in this leadership. */
    var heardAt: MonotonicTime? = null

    /** When the latest look that was answered was sent, or null. */
    var lookedAt: MonotonicTime? = null

    /** When the look in progress was sent, or null. */
    var lookingSince: MonotonicTime? = null
    var nextLook: MonotonicTime = since
    var failedLooks = 0

    /** Highest number of an end that was put into a batch. */
    var endsTaken = 0L

    /** Latest rows of the runs in progress. */
    var running: List<RunningRow> = emptyList()

    /** Orders of a room that the worker refused count as in use until this time. */
    var fullUntil: MonotonicTime? = null

    /** Whether a later life of the worker has answered in its place. */
    var isReplaced = false

    /** Whether the worker has said farewell and ends soon. */
    var hasLeft = false

    /** Whether no run may start here any more. */
    val isRetired: Boolean
        get() = isReplaced || hasLeft

    /** Until when orders that were sent for an earlier life may keep runs at work, or null if there were none. */
    var heldUntil: MonotonicTime? = null

    fun heard(now: MonotonicTime, clockMs: Long?) {
        heardAt = now
        if (clockMs != null) clock.observe(clockMs, now)
    }

    /** Whether everything that may run there has certainly lost its lease. */
    fun hasLapsed(now: MonotonicTime, settings: SchedulingSettings): Boolean {
        val granted = clock.grantedUntilMs
        if (lookedAt == null || granted == null) return now - since > settings.predecessorTime
        return clock.earliestMs(now, settings.clockSlowness) > granted + LAPSE_MARGIN_MS
    }

    /** What decides whether a lease has run out, for the log; ages and times are in ms. */
    fun leaseFields(now: MonotonicTime): List<Pair<String, Any?>> = listOf(
        "granted_until_ms" to clock.grantedUntilMs,
        "clock_ms" to clock.latestMs(now),
        "clock_age_ms" to clock.readingAge(now)?.inWholeMilliseconds,
        "look_age_ms" to lookedAt?.let { (now - it).inWholeMilliseconds },
        "contact_age_ms" to (now - since).inWholeMilliseconds,
        "failed_looks" to failedLooks,
    )

    private companion object {
        // The rounding of clock readings, and the worker's own timer.
        const val LAPSE_MARGIN_MS = 250
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
    var wantsStop = false
}

/** Whether the run, if a look sent at [lookAt] did not list it, can never be there any more. */
internal fun Order?.isSettledBy(lookAt: MonotonicTime): Boolean {
    // The fence that came with the look keeps out what an earlier leader sent.
    if (this == null) return true
    val since = stoppedAt ?: startedAt
    return since != null && since <= lookAt
}

/** How long before a look sent at [lookAt] the order was sent and answered, for the log. */
internal fun Order?.fields(lookAt: MonotonicTime): List<Pair<String, Any?>> = listOf(
    "sent_before_ms" to this?.let { (lookAt - it.sentAt).inWholeMilliseconds },
    "started_before_ms" to this?.startedAt?.let { (lookAt - it).inWholeMilliseconds },
    "stopped_before_ms" to this?.stoppedAt?.let { (lookAt - it).inWholeMilliseconds },
)

/**
 * Estimates a worker's own clock and remembers how far its lease may reach.
 *
 * A reading is never ahead of the worker's clock at the time it arrives, and the worker's clock may be slow, so the
 * two estimates bound it from both sides as far as the lease needs.
 */
internal class WorkerClock {
    private var readingMs = 0L
    private var readAt: MonotonicTime? = null

    /** Latest time on the worker's clock that any lease may reach, or null if none is known. */
    var grantedUntilMs: Long? = null
        private set

    val isKnown: Boolean
        get() = readAt != null

    fun observe(clockMs: Long, now: MonotonicTime) {
        val last = readAt
        if (last != null && clockMs < readingMs + (now - last).inWholeMilliseconds) return
        readingMs = clockMs
        readAt = now
    }

    /** The latest that the clock may show, but for the time that the last reading travelled. */
    fun latestMs(now: MonotonicTime): Long = readingMs + elapsed(now).inWholeMilliseconds

    /** The earliest that the clock may show if it is slow by [slowness]. */
    fun earliestMs(now: MonotonicTime, slowness: Double): Long =
        readingMs + (elapsed(now) * (1 - slowness)).inWholeMilliseconds

    /** Returns the end of a lease of [duration] from now on, and remembers it. */
    fun grant(now: MonotonicTime, duration: Duration): Long {
        val until = latestMs(now) + duration.inWholeMilliseconds
        grantedUntilMs = maxOf(grantedUntilMs ?: 0, until)
        return until
    }

    /** Notes that an earlier leader may have granted [duration] until now. */
    fun assumeGranted(now: MonotonicTime, duration: Duration) {
        grantedUntilMs = maxOf(grantedUntilMs ?: 0, latestMs(now) + duration.inWholeMilliseconds)
    }

    /** Age of the latest reading, or null before the first. */
    fun readingAge(now: MonotonicTime): Duration? = readAt?.let { now - it }

    private fun elapsed(now: MonotonicTime): Duration = readingAge(now) ?: 0.milliseconds
}
