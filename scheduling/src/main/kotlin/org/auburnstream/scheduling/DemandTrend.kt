package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates how fast the demand of one service grows, by exponential smoothing of its slope.
 *
 * Handles demand that rises to several times its mean within a few seconds: a VM that is borrowed only when the pool
 * is full arrives too late, because a move takes time.
 */
internal class DemandTrend {
    private var last: Long? = null
    private var lastAt = MonotonicTime.Zero
    private var slope = 0.0

    /** Records the processor time that runs and waiting tasks require at [now]. */
    fun observe(millicores: Long, now: MonotonicTime) {
        val elapsed = (now - lastAt).toDouble(DurationUnit.SECONDS)
        val before = last
        if (before != null && elapsed <= 0) return
        if (before != null) {
            val weight = 1 - exp(-elapsed / SMOOTHING.toDouble(DurationUnit.SECONDS))
            slope += weight * ((millicores - before) / elapsed - slope)
        }
        last = millicores
        lastAt = now
    }

    /** Returns the expected growth of the demand within [ahead], in millicores; never negative. */
    fun growth(ahead: Duration): Long = (slope * ahead.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(0)

    private companion object {
        /** Several jobs arrive in this time, so that a single job does not count as a trend. */
        val SMOOTHING: Duration = 1.seconds
    }
}
