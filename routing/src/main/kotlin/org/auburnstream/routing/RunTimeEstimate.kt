package org.auburnstream.routing

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Moving estimate of a run time from observed run times.
 *
 * Keeps a smoothed mean and mean deviation with the gains of Jacobson's round-trip estimator (RFC 6298).
 */
internal class RunTimeEstimate {
    private var mean = 0.0
    private var deviation = 0.0

    /** Whether any run time was observed. */
    var hasSamples: Boolean = false
        private set

    /** Smoothed run time, zero until one was observed. */
    val typical: Duration get() = mean.nanoseconds

    /** Run time that few requests exceed, as the retransmission timeout of RFC 6298 is to round trips. */
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
