package org.auburnstream.routing

import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.Urgency
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [Router].
 *
 * @property tick maximum time between two [RoutingInput.Tick] events.
 * @property announcementExpiry time without an announcement after which a target receives no new requests.
 * @property queueBytes memory limit of all queues of the daemon, in bytes, divided evenly among the known services.
 * @property freezeThreshold time without any input after which the daemon assumes that its process was frozen.
 * @property sendValidity time after which a send that has not been written is cancelled.
 * @property maxSlotWait maximum time in the queue while the daemon has no slot at any target of the service.
 * @property leaseRequired whether the daemon sends no requests before it holds a settings lease.
 * @property minRetryAfter minimum retry delay that is returned to a rejected caller.
 * @property crossDataCentrePenalty time added to the expected response time of a target in another data centre.
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
 * Settings of the ejection and reinstatement of targets.
 *
 * @property failureThreshold number of consecutive failures after which a target is ejected.
 * @property baseEjection duration of the first ejection; doubles with each further one up to [maxEjection].
 * @property maxEjectedRatio maximum ratio of a service's targets that are ejected at a time, 0.0 to 1.0.
 * @property slowStart time in which a new or reinstated target ramps up to its full slots.
 */
public data class HealthSettings(
    val failureThreshold: Int = 5,
    val baseEjection: Duration = 2.seconds,
    val maxEjection: Duration = 30.seconds,
    val maxEjectedRatio: Double = 0.5,
    val slowStart: Duration = 5.seconds,
)

/**
 * Settings of the credits by which daemons share the slots of a target.
 *
 * @property lease duration of a grant; the holder counts it from the time of its request.
 * @property renewalInterval time between two requests that renew a grant.
 * @property minDemandInterval minimum time between two requests for additional slots.
 * @property maxExchangeTime maximum time that a request sent under a grant may still run after the grant expired.
 * @property leasing whether slots are leased; false limits each daemon to its static share.
 */
public data class CreditSettings(
    val lease: Duration = 1.seconds,
    val renewalInterval: Duration = 250.milliseconds,
    val minDemandInterval: Duration = 20.milliseconds,
    val maxExchangeTime: Duration = LONGEST_REQUEST,
    val leasing: Boolean = true,
)

/**
 * Queueing and retry limits of one service on one daemon.
 *
 * @property queueCapacity maximum number of queued requests.
 * @property classWeights weights by which the urgency classes share the slots while all classes have queued requests.
 * @property classReserves ratio of the queue that is reserved for a class against more urgent requests, 0.0 to 1.0.
 * @property retryRatio retries allowed per first attempt, 0.0 to 1.0.
 * @property retryBurst maximum number of unused retries that accumulate for a burst.
 * @property maxAttempts maximum number of sends of one request.
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
        /** Weights that prefer urgent requests without starving the other classes. */
        public val DefaultWeights: Map<Urgency, Int> =
            mapOf(Urgency.URGENT to 16, Urgency.NORMAL to 4, Urgency.BATCH to 1)

        /** Reserves that keep queue capacity for the less urgent classes during an overload of urgent requests. */
        public val DefaultReserve: Map<Urgency, Double> =
            mapOf(Urgency.URGENT to 0.25, Urgency.NORMAL to 0.25, Urgency.BATCH to 0.0625)
    }
}

private const val DEFAULT_QUEUE_BYTES = 64L * 1024 * 1024
