package org.auburnstream.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times of the settings leases; every daemon of a region must use the same ones.
 *
 * @property duration time for which a lease lets a daemon act on its settings.
 * @property renewalInterval time between renewals of a lease that is answered.
 * @property retryInterval time after which a renewal without an answer is sent again.
 * @property acknowledgementDelay shortest time between renewals that only acknowledge newer settings.
 * @property clockDrift largest error of a monotonic clock's rate, as a share.
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

    /** What a daemon uses of a lease of [granted], so that a slow clock does not stretch it. */
    internal fun usableDuration(granted: Duration): Duration = granted * (1 - clockDrift)

    /**
     * How long a leader counts a lease as live.
     *
     * Covers the fast clock of the leader that waits, and that of an earlier leader, which measured how old its
     * quorum's confirmation was.
     */
    internal val assumedLifetime: Duration get() = duration * (1 + 2 * clockDrift)

    private companion object {
        const val MAX_DRIFT = 0.1
    }
}
