package org.auburnstream.routing

import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.Urgency
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one daemon's routing.
 *
 * @property tick longest time between two [RoutingInput.Tick].
 * @property announcementExpiry time without an announcement after which a target gets no new work.
 * @property queueBytes memory of all queues of the daemon, in bytes, shared evenly by the known services.
 * @property freezeThreshold time without any input after which the daemon takes itself to have been frozen.
 * @property sendValidity time after which a decision to send is void unless the request was written.
 * @property maxSlotWait longest time that a request waits while the daemon has no slot at any target of its service.
 * @property leaseRequired whether the daemon sends nothing until it was given a settings lease.
 * @property minRetryAfter shortest time to come back that a refused caller is told.
 * @property crossDataCentrePenalty extra time that a request to a target in another data centre is taken to cost.
 */
public data class RoutingSettings(
    val tick: Duration = 10.milliseconds,
    val announcementExpiry: Duration = 2500.milliseconds,
    val queueBytes: Long = DEFAULT_QUEUE_BYTES,
    val freezeThreshold: Duration = 500.milliseconds,
    val sendValidity: Duration = 500.milliseconds,
    val maxSlotWait: Duration = 1.seconds,
    val leaseRequired: Boolean = false,
    val minRetryAfter: Duration = 100.milliseconds,
    val crossDataCentrePenalty: Duration = 2.milliseconds,
    val health: HealthSettings = HealthSettings(),
    val credit: CreditSettings = CreditSettings(),
    val policy: ServicePolicy = ServicePolicy(),
)

/**
 * Settings of ejection and return of targets.
 *
 * @property failureThreshold consecutive failures that eject a target.
 * @property baseEjection time of the first ejection; doubles with each further one up to [maxEjection].
 * @property maxEjectedRatio largest share of a service's targets that is ejected at a time, 0.0 to 1.0.
 * @property slowStart time over which a new or returning target gets up to its full share.
 */
public data class HealthSettings(
    val failureThreshold: Int = 5,
    val baseEjection: Duration = 2.seconds,
    val maxEjection: Duration = 30.seconds,
    val maxEjectedRatio: Double = 0.5,
    val slowStart: Duration = 5.seconds,
)

/**
 * Settings of the credits by which daemons share a target's slots.
 *
 * @property lease validity of a grant, counted by its holder from the time it asked.
 * @property renewalInterval time between two requests to renew.
 * @property minDemandInterval shortest time between two requests that ask for more.
 * @property maxExchangeTime longest time that a request sent under a grant may run on after the grant ended.
 * @property leasing false limits each daemon to its static share.
 */
public data class CreditSettings(
    val lease: Duration = 1.seconds,
    val renewalInterval: Duration = 250.milliseconds,
    val minDemandInterval: Duration = 20.milliseconds,
    val maxExchangeTime: Duration = LONGEST_REQUEST,
    val leasing: Boolean = true,
)

/**
 * Limits and shares of one service on one daemon.
 *
 * @property queueCapacity largest number of waiting requests.
 * @property classWeights shares of the slots by urgency class while all classes wait.
 * @property classReserves share of the queue that more urgent arrivals cannot take from a class, 0.0 to 1.0.
 * @property retryRatio retries allowed for each first attempt, 0.0 to 1.0.
 * @property retryBurst retries allowed in a row after a quiet time.
 * @property maxAttempts largest number of sends of one request.
 */
public data class ServicePolicy(
    val queueCapacity: Int = 1024,
    val classWeights: Map<Urgency, Int> = DefaultWeights,
    val classReserves: Map<Urgency, Double> = DefaultReserve,
    val retryRatio: Double = 0.1,
    val retryBurst: Int = 10,
    val maxAttempts: Int = 3,
) {
    public companion object {
        /** Shares that let urgent work start first but starve nothing. */
        public val DefaultWeights: Map<Urgency, Int> =
            mapOf(Urgency.URGENT to 16, Urgency.NORMAL to 4, Urgency.BATCH to 1)

        /** Parts of the queue that stay with the less urgent classes in a flood of urgent work. */
        public val DefaultReserve: Map<Urgency, Double> =
            mapOf(Urgency.URGENT to 0.25, Urgency.NORMAL to 0.25, Urgency.BATCH to 0.0625)
    }
}

private const val DEFAULT_QUEUE_BYTES = 64L * 1024 * 1024
