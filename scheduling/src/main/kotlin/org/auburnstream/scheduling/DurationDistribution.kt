package org.auburnstream.scheduling

import kotlin.math.ceil

/**
 * Distribution of the duration of one task, from the recorded durations of its queue.
 *
 * @property scaleMs expected duration of the task in ms, greater than 0.
 * @param ratios recorded durations relative to what was expected of them, ascending and not empty.
 */
internal class DurationDistribution(private val scaleMs: Double, private val ratios: DoubleArray) {
    /** Mean in ms, which the longest durations raise above the usual one. */
    val meanMs: Double
        get() = ratios.average() * scaleMs

    /** Returns the duration in ms that the fraction [share] of tasks, from 0 to 1, does not exceed. */
    fun quantileMs(share: Double): Double =
        ratios[(ceil(share * ratios.size).toInt() - 1).coerceIn(ratios.indices)] * scaleMs

    /**
     * Returns the expected rest in ms of a run that has taken [elapsedMs] and is not done.
     *
     * A run that took longer than all recorded ones is expected to take as long again, as with a duration without a
     * known scale.
     */
    fun restMs(elapsedMs: Double): Double {
        val elapsed = elapsedMs / scaleMs
        val longer = ratios.count { it > elapsed }
        if (longer == 0) return elapsedMs
        return (ratios.takeLast(longer).average() - elapsed) * scaleMs
    }
}

/** The latest durations of one queue relative to what was expected of each. */
internal class DurationRatios {
    private val latest = ArrayDeque<Double>()
    private var sorted: DoubleArray? = null

    val count: Int
        get() = latest.size

    fun add(ratio: Double) {
        latest.addLast(ratio)
        if (latest.size > MAX_RATIOS) latest.removeFirst()
        sorted = null
    }

    /** The recorded ratios, ascending. */
    fun ascending(): DoubleArray = sorted ?: latest.toDoubleArray().also {
        it.sort()
        sorted = it
    }

    private companion object {
        /** Enough for about a dozen samples of a tail of three in a hundred. */
        const val MAX_RATIOS = 400
    }
}
