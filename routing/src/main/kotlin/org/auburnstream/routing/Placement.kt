package org.auburnstream.routing

import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Assignment of services and VMs to pools by the fleet controller; decides which VMs may serve which services.
 *
 * @property services pools that run each service.
 * @property vms pool of each VM; a VM that is missing belongs to no pool and receives no requests.
 * @property leaving VMs that drain, move or reboot and receive no new requests.
 */
public data class Placement(
    val services: Map<ServiceId, Set<PoolId>>,
    val vms: Map<VmId, PoolId>,
    val leaving: Set<VmId> = emptySet(),
) {
    /** Returns whether [vm] may receive new requests of [service]. */
    public fun mayServe(vm: VmId, service: ServiceId): Boolean {
        if (vm in leaving) return false
        val pool = vms[vm] ?: return false
        return pool in services[service].orEmpty()
    }
}
