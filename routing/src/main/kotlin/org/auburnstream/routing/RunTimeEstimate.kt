package org.auburnstream.routing

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Estimates run times from an exponentially weighted moving mean and mean deviation of the observed run times.
 *
 * Uses the gains of Jacobson's round-trip time estimator (RFC 6298).
 */
internal class RunTimeEstimate {
    private var mean = 0.0
    private var deviation = 0.0

    /** Whether at least one run time was observed. */
    var hasSamples: Boolean = false
        private set

    /** Smoothed mean run time, or zero before the first observation. */
    val typical: Duration get() = mean.nanoseconds

    /** Run time that few requests exceed; computed like the retransmission timeout of RFC 6298. */
    val upperEstimate: Duration get() = (mean + deviation * DEVIATION_FACTOR).nanoseconds

    fun observe(runTime: Duration) {
        val nanos = runTime.inWholeNanoseconds.toDouble()
        if (!hasSamples) {
            hasSamples = true
            mean = nanos
            deviation = nanos / 2
            return
        }
        deviation += (abs(nanos - mean) - deviation) * DEVIATION_GAIN
        mean += (nanos - mean) * MEAN_GAIN
    }

    private companion object {
        const val DEVIATION_FACTOR = 4
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
    }
}
