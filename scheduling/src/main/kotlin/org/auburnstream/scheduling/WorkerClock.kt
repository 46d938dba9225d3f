package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates a lower bound of a worker's clock, and tracks the latest end of the leases granted on that clock.
 *
 * A reading is never ahead of the worker's clock when it arrives, and the clock runs slow by a bounded fraction. The
 * estimate is the highest value that both facts allow, so it is never ahead of the worker's clock, however long a
 * leadership lasts.
 *
 * @property slowness largest fraction by which the clock may run slow.
 */
internal class WorkerClock(private val slowness: Double) {
    private var readingMs = 0L
    private var readAt: MonotonicTime? = null

    /** Latest end of any granted lease on the worker's clock, or null if no lease is known. */
    var grantedUntilMs: Long? = null
        private set

    val isKnown: Boolean
        get() = readAt != null

    /** Updates the estimate with the reading [clockMs]; a late reading below the estimate is ignored. */
    fun observe(clockMs: Long, now: MonotonicTime) {
        if (isKnown && clockMs < earliestMs(now)) return
        readingMs = clockMs
        readAt = now
    }

    /** Returns the earliest time that the worker's clock may show at [now]. */
    fun earliestMs(now: MonotonicTime): Long =
        readingMs + ((readingAge(now) ?: Duration.ZERO) * (1 - slowness)).inWholeMilliseconds

    /** Returns the age of the reading that the estimate is based on, or null before the first reading. */
    fun readingAge(now: MonotonicTime): Duration? = readAt?.let { now - it }

    /** Grants a lease of [duration] from [now] and returns its end on the worker's clock. */
    fun grant(now: MonotonicTime, duration: Duration): Long {
        val until = earliestMs(now) + duration.inWholeMilliseconds
        recordGrant(until)
        return until
    }

    /**
     * Returns the end of the latest granted lease if at least [minimum] of it is left, else grants [duration].
     *
     * The end is never later than that of a new lease: others may have granted longer ones, see [assumeGranted], and a
     * later leader assumes that this one did not.
     */
    fun reuseOrGrant(now: MonotonicTime, duration: Duration, minimum: Duration): Long {
        val earliestMs = earliestMs(now)
        return grantedUntilMs?.takeIf { it - earliestMs >= minimum.inWholeMilliseconds }
            ?.coerceAtMost(earliestMs + duration.inWholeMilliseconds)
            ?: grant(now, duration)
    }

    /** Returns an upper bound of the time from [now] until every granted lease has expired; zero if none is known. */
    fun timeUntilExpiry(now: MonotonicTime): Duration {
        val granted = grantedUntilMs ?: return Duration.ZERO
        return ((granted + EXPIRY_MARGIN_MS - earliestMs(now)).coerceAtLeast(0) / (1 - slowness)).milliseconds
    }

    /** Whether every granted lease has certainly expired at [now]. */
    fun hasExpired(now: MonotonicTime): Boolean =
        grantedUntilMs?.let { earliestMs(now) > it + EXPIRY_MARGIN_MS } ?: true

    /** Accounts for leases of [duration] that others may have granted until the clock showed [clockMs]. */
    fun assumeGranted(clockMs: Long, duration: Duration) = recordGrant(clockMs + duration.inWholeMilliseconds)

    private fun recordGrant(untilMs: Long) {
        grantedUntilMs = maxOf(grantedUntilMs ?: untilMs, untilMs)
    }

    private companion object {
        // Covers the rounding of clock readings and the delay of the worker's own timer.
        const val EXPIRY_MARGIN_MS = 250
    }
}
