package org.auburnstream.scheduling

import kotlin.math.ceil

/**
 * Distribution of the duration of one task, from the recorded durations of its queue.
 *
 * @property scaleMs expected duration of the task in ms, greater than 0.
 * @param ratios recorded durations relative to what was expected of each; not empty.
 */
internal class DurationDistribution(private val scaleMs: Double, private val ratios: DurationRatios) {
    /** Mean in ms, which the longest durations raise above the usual one. */
    val meanMs: Double
        get() = ratios.mean * scaleMs

    /** Returns the duration in ms that the fraction [share] of tasks, from 0 to 1, does not exceed. */
    fun quantileMs(share: Double): Double {
        val sorted = ratios.ascending
        return sorted[(ceil(share * sorted.size).toInt() - 1).coerceIn(sorted.indices)] * scaleMs
    }

    /**
     * Returns the expected rest in ms of a run that has taken [elapsedMs] and is not done.
     *
     * A run that took longer than all recorded ones is expected to take as long again, as with a duration without a
     * known scale.
     */
    fun restMs(elapsedMs: Double): Double {
        val elapsed = elapsedMs / scaleMs
        var sum = 0.0
        var longer = 0
        for (ratio in ratios.ascending) {
            if (ratio <= elapsed) continue
            sum += ratio
            longer += 1
        }
        return if (longer == 0) elapsedMs else (sum / longer - elapsed) * scaleMs
    }
}

/** The latest durations of one queue relative to what was expected of each. */
internal class DurationRatios {
    private val latest = ArrayDeque<Double>()
    private var sorted: DoubleArray? = null
    private var sum = 0.0

    val count: Int
        get() = latest.size
    val mean: Double
        get() = sum / count

    /** The recorded ratios, ascending. */
    val ascending: DoubleArray
        get() = sorted ?: latest.toDoubleArray().also {
            it.sort()
            sorted = it
        }

    fun add(ratio: Double) {
        latest.addLast(ratio)
        sum += ratio
        if (latest.size > MAX_RATIOS) sum -= latest.removeFirst()
        sorted = null
    }

    private companion object {
        /** Enough for about a dozen samples of a tail of three in a hundred. */
        const val MAX_RATIOS = 400
    }
}
