package org.auburnstream.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing parameters of settings leases; all daemons of a region must use the same values.
 *
 * @property duration time during which a lease allows a daemon to use its settings.
 * @property renewalInterval time between renewals while the leader answers.
 * @property retryInterval time after which a renewal without an answer is retried.
 * @property acknowledgementDelay minimum time between a renewal and one sent early to acknowledge newer settings.
 * @property clockDrift maximum relative error in the rate of a monotonic clock.
 */
public data class LeasePolicy(
    val duration: Duration = 3.seconds,
    val renewalInterval: Duration = 500.milliseconds,
    val retryInterval: Duration = 200.milliseconds,
    val acknowledgementDelay: Duration = 50.milliseconds,
    val clockDrift: Double = 0.01,
) {
    init {
        require(clockDrift in 0.0..MAX_DRIFT) { "clockDrift $clockDrift must be from 0 to $MAX_DRIFT" }
        require(renewalInterval < duration) { "renewalInterval $renewalInterval must be below duration $duration" }
    }

    /** Returns the part of a lease of [granted] that a daemon uses, so that a slow clock does not extend the lease. */
    internal fun usableDuration(granted: Duration): Duration = granted * (1 - clockDrift)

    /**
     * Time for which a leader assumes a granted lease to be live.
     *
     * Adds the clock drift twice: once for a fast clock of the waiting leader, and once for the clock with which an
     * earlier leader measured the age of its quorum contact.
     */
    internal val assumedLifetime: Duration get() = duration * (1 + 2 * clockDrift)

    private companion object {
        const val MAX_DRIFT = 0.1
    }
}
