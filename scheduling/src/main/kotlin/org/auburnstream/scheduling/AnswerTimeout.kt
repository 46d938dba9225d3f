package org.auburnstream.scheduling

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/**
 * Estimates how long to wait for the answer to an order, by the retransmission timer of RFC 6298.
 *
 * Handles a load in which some orders are never answered: each of them delays its job by the timeout, so a fixed
 * timeout of many round trips makes the job late. The timeout grows with the observed answer times, for example when
 * links lose packets or this process is slow.
 *
 * @property shortest lower limit.
 * @property longest upper limit, and the timeout before the first answer.
 */
internal class AnswerTimeout(private val shortest: Duration, private val longest: Duration) {
    private var mean = Duration.ZERO
    private var deviation = Duration.ZERO
    private var isKnown = false

    /** Records that an order was answered after [elapsed]. */
    fun observe(elapsed: Duration) {
        if (!isKnown) {
            isKnown = true
            mean = elapsed
            deviation = elapsed / 2
            return
        }
        val error = abs((elapsed - mean).toDouble(DurationUnit.SECONDS)).toDuration(DurationUnit.SECONDS)
        deviation += (error - deviation) * DEVIATION_GAIN
        mean += (elapsed - mean) * MEAN_GAIN
    }

    /**
     * Returns the timeout of an order after [failures] unanswered attempts in a row.
     *
     * It doubles with each of them from the second on, because single answers get lost without any other trouble.
     */
    fun after(failures: Int): Duration {
        if (!isKnown) return longest
        val base = maxOf(mean + deviation * DEVIATIONS, shortest)
        return minOf(base * (1 shl (failures - 1).coerceIn(0, MAX_DOUBLINGS)), longest)
    }

    private companion object {
        // Gains and factor of RFC 6298, section 2.
        const val MEAN_GAIN = 1.0 / 8
        const val DEVIATION_GAIN = 1.0 / 4
        const val DEVIATIONS = 4
        const val MAX_DOUBLINGS = 4
    }
}
