package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Named group of VMs that serves one or more services.
 *
 * @property services services whose capacity includes every VM of the pool.
 * @property spare true for the spare pool, whose VMs are moved to other pools when they need more.
 */
@Serializable
public data class Pool(val id: PoolId, val services: List<ServiceId> = emptyList(), val spare: Boolean = false)

/**
 * Capacity target and availability budget of a service.
 *
 * @property target number of VMs that the service needs for full service, 0 or more.
 * @property budget shortfall below [target] that the service tolerates.
 */
@Serializable
public data class ServiceSpec(
    val id: ServiceId,
    val target: Int,
    val budget: AvailabilityBudget = AvailabilityBudget.Default,
)

/**
 * Shortfall that a service tolerates, where shortfall is the number of available VMs missing from its target.
 *
 * @property maxShortfall maximum number of VMs that may be missing at once because of planned disruptions.
 * @property allowance VM-time of shortfall, planned and unplanned, that may be spent inside [window].
 * @property window length of the sliding window, more than zero.
 * @property maxOutage longest planned outage of one VM; time beyond it counts as unplanned.
 */
@Serializable
public data class AvailabilityBudget(
    val maxShortfall: Int = 1,
    val allowance: Duration = 8.hours,
    val window: Duration = 28.days,
    val maxOutage: Duration = 15.minutes,
) {
    internal val isValid: Boolean
        get() = maxShortfall >= 0 && allowance >= Duration.ZERO && window > Duration.ZERO && maxOutage > Duration.ZERO

    public companion object {
        /** One missing VM at a time and eight VM-hours of shortfall in four weeks. */
        public val Default: AvailabilityBudget = AvailabilityBudget()
    }
}

/**
 * Recurring time window in which VMs of a pool may be maintained.
 *
 * @property dataCentre data centre to which the window applies, or null for all.
 * @property anchor start of the first occurrence.
 * @property length length of each occurrence, more than zero and at most [period].
 * @property period time from the start of one occurrence to the start of the next.
 */
@Serializable
public data class MaintenanceWindow(
    val pool: PoolId,
    val dataCentre: DataCentreId? = null,
    val anchor: Instant,
    val length: Duration,
    val period: Duration = 7.days,
) {
    internal val isValid: Boolean get() = length > Duration.ZERO && length <= period

    /** Returns the occurrence that is open at [at], or else the next one. */
    public fun occurrenceAt(at: Instant): ClosedRange<Instant> {
        if (at < anchor) return anchor..(anchor + length)
        val elapsed = (at - anchor).inWholeMilliseconds
        val start = anchor + period * (elapsed / period.inWholeMilliseconds).toInt()
        return if (at < start + length) start..(start + length) else (start + period)..(start + period + length)
    }

    /** Returns whether the window is open at [at] and stays open for [duration]. */
    public fun isOpen(at: Instant, duration: Duration = Duration.ZERO): Boolean {
        val occurrence = occurrenceAt(at)
        return at >= occurrence.start && at + duration <= occurrence.endInclusive
    }

    internal fun covers(dataCentre: DataCentreId): Boolean = this.dataCentre == null || this.dataCentre == dataCentre
}
