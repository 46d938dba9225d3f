package org.auburnstream.routing

import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Which VMs may serve which services, as the fleet decided.
 *
 * @property services pools that carry each service.
 * @property vms pool of each VM; a VM that is missing belongs to none and gets no work.
 * @property leaving VMs that drain, move or reboot and get no new work.
 */
public data class Placement(
    val services: Map<ServiceId, Set<PoolId>>,
    val vms: Map<VmId, PoolId>,
    val leaving: Set<VmId> = emptySet(),
) {
    /** Returns whether [vm] may be given new work of [service]. */
    public fun mayServe(vm: VmId, service: ServiceId): Boolean {
        if (vm in leaving) return false
        val pool = vms[vm] ?: return false
        return pool in services[service].orEmpty()
    }
}
