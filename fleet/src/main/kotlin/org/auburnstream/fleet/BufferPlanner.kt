package org.auburnstream.fleet

import org.auburnstream.model.PoolId

/**
 * Number of VMs that the fleet should keep in reserve.
 *
 * @property pools requirement of each pool on its own.
 * @property shared VMs that the spare pool should hold for all pools together.
 * @property domain failure domain with the most VMs, whose loss determines [shared]; null if the pools have no VMs.
 */
public data class BufferRequirement(val pools: List<PoolRequirement>, val shared: Int, val domain: FailureDomain?)

/**
 * Capacity requirement of one pool.
 *
 * @property target VMs that the pool's most demanding service needs for full service.
 * @property available VMs that take work now.
 * @property worstLoss VMs of the pool on the rack that holds the most of them.
 */
public data class PoolRequirement(val pool: PoolId, val target: Int, val available: Int, val worstLoss: Int) {
    /** VMs that the pool would have to keep in reserve if there were no shared buffer. */
    val ownBuffer: Int get() = worstLoss + MAINTENANCE_RESERVE_VMS
}

/** VMs kept in reserve to replace the VM that is in maintenance. */
internal const val MAINTENANCE_RESERVE_VMS: Int = 1

/**
 * Computes how many VMs must be kept in reserve so that every service keeps its target while any one rack is lost and
 * one VM is in maintenance.
 *
 * The calculation assumes that one rack fails at a time and that a rack holds a few VMs of several pools. A buffer per
 * pool must cover the worst rack for that pool; a shared buffer must cover only the rack with the most VMs overall, so
 * it is smaller than the sum of the separate buffers.
 */
public object BufferPlanner {
    /** Returns the current requirement of all pools of [state] that carry services. */
    public fun requirementOf(state: FleetState): BufferRequirement {
        val pools = state.pools.values.filter { it.services.isNotEmpty() }
        val vms = pools.flatMap { state.membersOf(it.id) }.map(state.vms::getValue).filter { it.isIncluded }
        val byDomain = vms.groupingBy { it.domain }.eachCount()
        val worstDomain = byDomain.entries.maxByOrNull { it.value }
        return BufferRequirement(
            pools = pools.map { requirementOf(state, it) },
            shared = if (pools.isEmpty()) 0 else (worstDomain?.value ?: 0) + MAINTENANCE_RESERVE_VMS,
            domain = worstDomain?.key,
        )
    }

    /** Returns the current requirement of [pool]. */
    public fun requirementOf(state: FleetState, pool: Pool): PoolRequirement {
        val vms = state.membersOf(pool.id).map(state.vms::getValue)
        return PoolRequirement(
            pool = pool.id,
            target = state.targetOf(pool),
            available = vms.count { it.phase is VmPhase.Active },
            worstLoss = vms.filter { it.isIncluded }.groupingBy { it.domain }.eachCount().values.maxOrNull() ?: 0,
        )
    }

    private val Vm.isIncluded: Boolean get() = phase !is VmPhase.GivenUp
}

/** Returns the number of VMs that the most demanding service of [pool] needs. */
internal fun FleetState.targetOf(pool: Pool): Int = pool.services.maxOfOrNull { targetOf(it) } ?: 0

/** Returns the VMs of [pool] that satisfy [predicate]. */
internal fun FleetState.vmsOf(pool: PoolId, predicate: (Vm) -> Boolean): List<Vm> =
    membersOf(pool).map(vms::getValue).filter(predicate)
