package org.auburnstream.routing

/**
 * Token bucket that limits the retries of one service to a ratio of its first attempts.
 *
 * The limit keeps retries from multiplying the load while targets fail.
 *
 * @param ratio tokens added by each first attempt, 0.0 to 1.0.
 * @param burst capacity of the bucket, in retries.
 */
internal class RetryBudget(private val ratio: Double, private val burst: Int) {
    private var tokens = burst.toDouble()

    fun recordFirstAttempt() {
        tokens = minOf(tokens + ratio, burst.toDouble())
    }

    /** Takes the token of one retry; returns false if there is none. */
    fun tryAcquire(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
