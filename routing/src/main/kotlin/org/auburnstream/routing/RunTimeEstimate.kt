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
    var known: Boolean = false
        private set

    /** Smoothed run time, zero until one was observed. */
    val typical: Duration get() = mean.nanoseconds

    /** Run time that few requests exceed, as the retransmission timeout of RFC 6298 is to round trips. */
    val cautious: Duration get() = (mean + deviation * DEVIATIONS).nanoseconds

    fun observe(time: Duration) {
        val nanos = time.inWholeNanoseconds.toDouble()
        if (!known) {
            known = true
            mean = nanos
            deviation = nanos / 2
            return
        }
        deviation += (abs(nanos - mean) - deviation) * DEVIATION_GAIN
        mean += (nanos - mean) * MEAN_GAIN
    }

    private companion object {
        const val DEVIATIONS = 4
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
    }
}
