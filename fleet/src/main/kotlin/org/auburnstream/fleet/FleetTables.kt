package org.auburnstream.fleet

import org.auburnstream.model.DaemonId
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import java.util.SortedMap
import java.util.SortedSet
import kotlin.time.Duration
import kotlin.time.Instant

/** Mutable tables of [FleetState], with indexes that avoid full scans when a command is applied. */
internal class FleetTables {
    var revision: FleetRevision = FleetRevision.Zero
    var clock: Instant = Instant.DISTANT_PAST
    val daemons: SortedSet<DaemonId> = sortedSetOf()
    val services: SortedMap<ServiceId, BudgetLedger> = sortedMapOf()
    val pools: SortedMap<PoolId, Pool> = sortedMapOf()
    val windows: SortedMap<PoolId, List<MaintenanceWindow>> = sortedMapOf()
    val vms: SortedMap<VmId, Vm> = sortedMapOf()
    val waves: MutableMap<WaveId, Wave> = linkedMapOf()
    val operations: MutableMap<OperationId, OperationRecord> = linkedMapOf()
    val jobs: JobTables = JobTables()
    val changed: MutableSet<VmId> = linkedSetOf()
    private val membersByPool: MutableMap<PoolId, SortedSet<VmId>> = hashMapOf()
    private val poolsByService: MutableMap<ServiceId, SortedSet<PoolId>> = hashMapOf()
    private val lost: SortedSet<VmId> = sortedSetOf()
    private val overdue: SortedSet<VmId> = sortedSetOf()

    /** VMs that are draining, stopped or moving. */
    val inPlannedDisruption: SortedSet<VmId> = sortedSetOf()

    fun advance(at: Instant) {
        revision = FleetRevision(revision.value + 1)
        clock = maxOf(clock, at)
    }

    fun membersOf(pool: PoolId): Set<VmId> = membersByPool[pool].orEmpty()

    fun poolsOf(service: ServiceId): Set<PoolId> = poolsByService[service].orEmpty()

    fun servicesOf(pool: PoolId): List<ServiceId> = pools[pool]?.services.orEmpty()

    fun putPool(pool: Pool) {
        val old = pools.put(pool.id, pool)
        changed += membersOf(pool.id)
        old?.services.orEmpty().forEach { poolsByService[it]?.remove(pool.id) }
        pool.services.forEach { service -> poolsByService.getOrPut(service) { sortedSetOf() }.add(pool.id) }
        (old?.services.orEmpty() + pool.services).distinct().forEach(::recordCapacity)
    }

    fun removePool(pool: PoolId) {
        pools.remove(pool)?.services.orEmpty().forEach { poolsByService[it]?.remove(pool) }
        windows.remove(pool)
    }

    fun putService(service: ServiceSpec) {
        val ledger = services[service.id]?.withSpec(service, clock) ?: BudgetLedger(service, since = clock)
        services[service.id] = ledger
        recordCapacity(service.id)
    }

    /** Stores [vm] and updates the ledgers of the services of its current and previous pool. */
    fun putVm(vm: Vm) {
        val old = vms.put(vm.id, vm)
        if (old?.pool != vm.pool) {
            old?.let { membersByPool[it.pool]?.remove(vm.id) }
            membersByPool.getOrPut(vm.pool) { sortedSetOf() }.add(vm.id)
        }
        lost.setPresent(vm.id, vm.phase is VmPhase.Lost)
        inPlannedDisruption.setPresent(vm.id, vm.phase.isPlannedDisruption)
        overdue.setPresent(vm.id, vm.phase.isOverdue)
        changed += vm.id
        val pools = listOfNotNull(old?.pool, vm.pool).distinct()
        pools.flatMap(::servicesOf).distinct().forEach(::recordCapacity)
    }

    fun capacityOf(service: ServiceId): ServiceCapacity {
        val phases = poolsOf(service).flatMap(::membersOf).map { vms.getValue(it).phase }
        return ServiceCapacity(
            available = phases.count { it.isAvailable },
            plannedSince = phases.mapNotNull { it.plannedSince },
        )
    }

    /** Returns the longest planned outage that every service of [pool] accepts. */
    fun maxOutageOf(pool: PoolId): Duration =
        servicesOf(pool).minOfOrNull { services.getValue(it).spec.budget.maxOutage }
            ?: AvailabilityBudget.Default.maxOutage

    /** Returns the budget that could be exceeded if [leaving] VMs left [pool], or null if all budgets permit it. */
    fun budgetBlock(pool: PoolId, leaving: Int): BudgetBlock? {
        for (id in servicesOf(pool)) {
            val ledger = services.getValue(id)
            val limit = ledger.exceededLimit(ledger.capacity.available - leaving, clock) ?: continue
            return BudgetBlock(id, limit)
        }
        return null
    }

    fun overdueVmIn(pool: PoolId): VmId? = overdue.firstOrNull { vms.getValue(it).pool == pool }

    /** Returns the failure domain with so many lost VMs that a common cause is likely, or null. */
    fun correlatedLoss(): FleetRefusal.CorrelatedLoss? {
        if (lost.size < RACK_LOSS_THRESHOLD) return null
        val lostVms = lost.map(vms::getValue)
        lostVms.groupingBy { it.domain }.eachCount().forEach { (domain, count) ->
            if (count >= RACK_LOSS_THRESHOLD) return FleetRefusal.CorrelatedLoss(domain, count)
        }
        lostVms.groupingBy { it.dataCentre }.eachCount().forEach { (dataCentre, count) ->
            val share = vms.values.count { it.dataCentre == dataCentre } / DATA_CENTRE_LOSS_DIVISOR
            val threshold = share.coerceAtLeast(DATA_CENTRE_LOSS_MINIMUM)
            if (count >= threshold) return FleetRefusal.CorrelatedLoss(FailureDomain(dataCentre), count)
        }
        return null
    }

    /** Returns the VMs that [wave] is draining or has stopped, ordered by id. */
    fun inProgress(wave: WaveId): List<Vm> = inPlannedDisruption.map(vms::getValue).filter { it.phase.waveOf() == wave }

    private fun recordCapacity(service: ServiceId) {
        val ledger = services[service] ?: return
        services[service] = ledger.record(capacityOf(service), clock)
    }

    private companion object {
        const val RACK_LOSS_THRESHOLD = 2
        const val DATA_CENTRE_LOSS_MINIMUM = 3
        const val DATA_CENTRE_LOSS_DIVISOR = 10
    }
}

/** First result of an operator's command, with a digest that distinguishes a resend from a reuse of the id. */
@kotlinx.serialization.Serializable
internal data class OperationRecord(val operation: OperationId, val digest: Long, val result: FleetResult)

/** Returns the maintenance wave for which the VM is draining or stopped, or null. */
internal fun VmPhase.waveOf(): WaveId? = when (this) {
    is VmPhase.Draining -> (purpose as? DrainPurpose.Maintenance)?.wave
    is VmPhase.Stopped -> wave
    else -> null
}

private fun <E> MutableSet<E>.setPresent(element: E, present: Boolean) {
    if (present) add(element) else remove(element)
}
