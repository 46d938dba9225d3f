package org.auburnstream.scheduling

import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates the durations of tasks from the recorded durations of their queue and the estimates of callers.
 *
 * Durations and the errors of estimates are assumed to be lognormal. The estimate for a task is the mean of the
 * queue's typical duration and the caller's estimate on the logarithmic scale, each weighted by the other's variance
 * (the posterior mean of two normal sources). The caller's estimate is used as it is while the queue has too few
 * recorded durations.
 */
internal class DurationEstimator {
    private val queues = HashMap<QueueName, Statistics>()

    /** Records that a task of [queue] with the caller's [estimateMs] took [actualMs]. */
    fun recordDuration(queue: QueueName, estimateMs: Long, actualMs: Long) {
        recordRatio(queue, estimateMs, actualMs)
        val statistics = queues.getOrPut(queue) { Statistics() }
        val actual = ln(maxOf(1L, actualMs).toDouble())
        statistics.durations.add(actual)
        if (estimateMs > 0) statistics.errors.add(actual - ln(estimateMs.toDouble()))
    }

    /** Records for the [distribution] that a task took longer than [elapsedMs], when its run was stopped. */
    fun recordStopped(queue: QueueName, estimateMs: Long, elapsedMs: Long) = recordRatio(queue, estimateMs, elapsedMs)

    private fun recordRatio(queue: QueueName, estimateMs: Long, actualMs: Long) {
        val expected = estimate(queue, estimateMs)
        if (expected > 0) queues.getOrPut(queue) { Statistics() }.ratios.add(actualMs.toDouble() / expected)
    }

    /** Returns the distribution of the duration of a task of [queue], or null if too few durations are recorded. */
    fun distribution(queue: QueueName, estimateMs: Long): DurationDistribution? {
        val ratios = queues[queue]?.ratios ?: return null
        val expected = estimate(queue, estimateMs)
        if (ratios.count < MIN_RATIOS || expected <= 0) return null
        return DurationDistribution(expected.toDouble(), ratios)
    }

    /**
     * Returns the expected duration in ms of a task of [queue], or 0 if nothing is known.
     *
     * It is at most [MAX_DURATION_MS], so that sums over the steps of a job do not overflow.
     *
     * @param estimateMs the caller's estimate, or 0 if there is none.
     */
    fun estimate(queue: QueueName, estimateMs: Long): Long =
        expected(queue, estimateMs.coerceAtMost(MAX_DURATION_MS)).coerceAtMost(MAX_DURATION_MS)

    private fun expected(queue: QueueName, estimateMs: Long): Long {
        val statistics = queues[queue]
        if (statistics == null || statistics.durations.count < MIN_SAMPLES) return estimateMs
        val typical = statistics.durations.mean
        if (estimateMs <= 0) return exp(typical).toLong()
        val trust = statistics.durations.variance / (statistics.durations.variance + statistics.errors.variance)
        return exp(trust * (ln(estimateMs.toDouble()) + statistics.errors.mean) + (1 - trust) * typical).toLong()
    }

    private class Statistics {
        val durations = Moments()
        val errors = Moments()
        val ratios = DurationRatios()
    }

    /** Exponentially weighted mean and variance, computed with Welford's algorithm. */
    private class Moments {
        var count = 0
            private set
        var mean = 0.0
            private set
        private var weightedVariance = 0.0

        val variance: Double
            get() = maxOf(MIN_VARIANCE, if (count < 2) 1.0 else weightedVariance)

        fun add(sample: Double) {
            count += 1
            val weight = maxOf(1.0 / count, MIN_WEIGHT)
            val delta = sample - mean
            mean += weight * delta
            weightedVariance += weight * (delta * (sample - mean) - weightedVariance)
        }
    }

    private companion object {
        /** Longer than any task runs: ten years. */
        const val MAX_DURATION_MS = 315_360_000_000L

        /** Number of durations from which their mean is more reliable than a single caller's estimate. */
        const val MIN_SAMPLES = 10

        /** Number of durations from which their mean shows a tail of a few in a hundred often enough. */
        const val MIN_RATIOS = 20

        /** Weight of the newest duration, so that about the last hundred durations count. */
        const val MIN_WEIGHT = 0.01
        const val MIN_VARIANCE = 0.01
    }
}
