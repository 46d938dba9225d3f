package org.auburnstream.routing

/**
 * Bounds the retries of one service to a ratio of its first attempts, so that a failing fleet is not multiplied.
 *
 * @param ratio retries earned by each first attempt, 0.0 to 1.0.
 * @param burst retries that can be saved up.
 */
internal class RetryBudget(private val ratio: Double, private val burst: Int) {
    private var tokens = burst.toDouble()

    fun recordFirstAttempt() {
        tokens = minOf(tokens + ratio, burst.toDouble())
    }

    /** Takes one retry from the budget if there is one. */
    fun tryAcquire(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
