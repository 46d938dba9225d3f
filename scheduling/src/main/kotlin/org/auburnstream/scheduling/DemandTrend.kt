package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates how fast the demand of one service grows, by exponential smoothing of its slope.
 *
 * Answers the load pattern of a demand that rises to several times its mean within a few seconds: a VM that is
 * borrowed when the pool is full arrives too late by the time of its move.
 */
internal class DemandTrend {
    private var last: Long? = null
    private var lastAt = MonotonicTime.Zero
    private var slope = 0.0

    /** Notes the processor time that runs and waiting tasks ask for. */
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

    /** Returns by how many millicores the demand is likely to grow within [ahead]; never negative. */
    fun growth(ahead: Duration): Long = (slope * ahead.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(0)

    private companion object {
        /** Several jobs arrive in this time, so that a single one is no trend. */
        val SMOOTHING: Duration = 1.seconds
    }
}
