package org.auburnstream.routing

import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.routing.credit.CreditTracker

/** Mutable state shared by the components of a [Router]. */
internal class RoutingState(val settings: RoutingSettings, dataCentre: DataCentreId, val credits: CreditTracker) {
    val targets = TargetTable(settings)
    val selector = TargetSelector(dataCentre, settings, targets, credits)
    val requests = HashMap<Ticket, PendingRequest>()
    val effects = ArrayList<RoutingEffect>()
    var leaseLive = !settings.leaseRequired
    var leaseExpiresAt: MonotonicTime? = null
    var stopping = false
    private val services = HashMap<ServiceId, ServiceState>()
    private val policies = HashMap<ServiceId, ServicePolicy>()

    fun service(id: ServiceId): ServiceState = services.getOrPut(id) { ServiceState(policies[id] ?: settings.policy) }

    fun serviceOrNull(id: ServiceId): ServiceState? = services[id]

    fun services(): Map<ServiceId, ServiceState> = services

    fun isKnown(service: ServiceId): Boolean {
        val placement = selector.placement ?: return targets.hasService(service)
        return service in placement.services
    }

    fun isServed(service: ServiceId, now: MonotonicTime): Boolean =
        targets.of(service).any { selector.mayServe(it, now) }

    /** Returns the number of slots that this daemon may use for [service]. */
    fun slots(service: ServiceId, now: MonotonicTime): Int =
        targets.of(service).sumOf { if (selector.mayServe(it, now)) selector.slots(it, now) else 0 }

    /** Returns the memory limit of the queue of one service, in bytes. */
    fun queueLimitBytes(): Long = settings.queueBytes / targets.services().size.coerceAtLeast(1)

    fun policyChanged(id: ServiceId, policy: ServicePolicy?) {
        if (policy == null) policies.remove(id) else policies[id] = policy
        services[id]?.let { services[id] = it.withPolicy(policy ?: settings.policy) }
    }
}
