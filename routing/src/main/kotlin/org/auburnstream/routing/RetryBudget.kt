package org.auburnstream.routing

/**
 * Bounds the retries of one service to a share of its first attempts, so that a failing fleet is not multiplied.
 *
 * @param share retries earned by each first attempt, 0.0 to 1.0.
 * @param burst retries that can be saved up.
 */
internal class RetryBudget(private val share: Double, private val burst: Int) {
    private var saved = burst.toDouble()

    fun firstAttempt() {
        saved = minOf(saved + share, burst.toDouble())
    }

    /** Takes one retry from the budget if there is one. */
    fun tryRetry(): Boolean {
        if (saved < 1.0) return false
        saved -= 1.0
        return true
    }
}
