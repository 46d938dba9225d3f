package org.auburnstream.fleet

import org.auburnstream.model.PoolId

/**
 * VMs that the fleet should hold back.
 *
 * @property pools what each pool needs by itself.
 * @property shared VMs that the spare pool should hold for all pools together.
 * @property domain the failure domain whose loss asks for most, or null if none does.
 */
public data class BufferRequirement(val pools: List<PoolRequirement>, val shared: Int, val domain: FailureDomain?)

/**
 * What one pool needs.
 *
 * @property target VMs for full service.
 * @property available VMs that take work now.
 * @property worstLoss VMs of the pool that its worst rack takes with it.
 */
public data class PoolRequirement(val pool: PoolId, val target: Int, val available: Int, val worstLoss: Int) {
    /** VMs that the pool would have to hold by itself without a shared buffer. */
    val ownBuffer: Int get() = worstLoss + MAINTENANCE_RESERVE_VMS
}

/** VMs that one maintenance wave keeps away from a pool at a time. */
internal const val MAINTENANCE_RESERVE_VMS: Int = 1

/**
 * Computes how many VMs must be held back so that every service keeps its target through the loss of any one rack
 * and one VM in maintenance.
 *
 * One rack is lost at a time, and it takes a few VMs of several pools with it; a buffer of each pool would have to
 * cover the rack that is worst for that pool, a shared one only the rack that is worst for all together.
 */
public object BufferPlanner {
    /** Returns what [state] needs now. */
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

    /** Returns what [pool] needs now. */
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

/** VMs that [pool] needs for the most demanding of its services. */
internal fun FleetState.targetOf(pool: Pool): Int = pool.services.maxOfOrNull { targetOf(it) } ?: 0

/** VMs of [pool] that [predicate] holds for. */
internal fun FleetState.vmsOf(pool: PoolId, predicate: (Vm) -> Boolean): List<Vm> =
    membersOf(pool).map(vms::getValue).filter(predicate)
