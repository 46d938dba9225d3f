package org.auburnstream.fleet

import org.auburnstream.model.DaemonId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Immutable read model of the fleet for the request path.
 *
 * A daemon may send a VM a request only while the VM's [PlacedVm.state] is [PlacedState.ACTIVE], the daemon itself
 * is in [daemons], and its settings lease was granted at a revision that this view has reached.
 */
public class Placement private constructor(
    public val revision: FleetRevision,
    public val vms: Map<VmId, PlacedVm>,
    public val daemons: Set<DaemonId>,
) {
    /** Returns the view of [state]; only the VMs in [changed] differ from this view. */
    public fun advance(state: FleetState, changed: Set<VmId>): Placement {
        if (changed.isEmpty()) return Placement(state.revision, vms, state.daemons.toSet())
        val next = HashMap(vms)
        for (id in changed) {
            val vm = state.vms[id]
            if (vm == null) next.remove(id) else next[id] = vm.toPlaced(state)
        }
        return Placement(state.revision, next, state.daemons.toSet())
    }

    public companion object {
        /** View of an empty fleet. */
        public val Empty: Placement = Placement(FleetRevision.Zero, emptyMap(), emptySet())

        /** Returns the view of the whole [state]. */
        public fun of(state: FleetState): Placement = Empty.advance(state, state.vms.keys.toSet())
    }
}

/**
 * Data about a VM that the request path needs.
 *
 * @property services services whose requests the VM may serve.
 */
public data class PlacedVm(
    val id: VmId,
    val pool: PoolId,
    val services: List<ServiceId>,
    val state: PlacedState,
    val incarnation: Long,
    val address: String,
    val port: Int,
    val size: VmSize,
)

/** State of a VM for the request path; only [ACTIVE] VMs get new requests. */
public enum class PlacedState { ACTIVE, DRAINING, STOPPED, MOVING, LOST, IN_REPAIR, QUARANTINED, GIVEN_UP }

/** State of the request path that corresponds to this phase. */
public val VmPhase.placedState: PlacedState
    get() =
        when (this) {
            is VmPhase.Active -> PlacedState.ACTIVE
            is VmPhase.Draining -> PlacedState.DRAINING
            is VmPhase.Stopped -> PlacedState.STOPPED
            is VmPhase.Moving -> PlacedState.MOVING
            is VmPhase.Lost -> PlacedState.LOST
            is VmPhase.InRepair -> PlacedState.IN_REPAIR
            is VmPhase.Quarantined -> PlacedState.QUARANTINED
            is VmPhase.GivenUp -> PlacedState.GIVEN_UP
        }

private fun Vm.toPlaced(state: FleetState): PlacedVm {
    val poolServices = state.pools[pool]?.services.orEmpty()
    val services = if (service == null) poolServices else poolServices.filter { it == service }
    return PlacedVm(id, pool, services, phase.placedState, incarnation, address, port, size)
}
