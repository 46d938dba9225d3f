package org.auburnstream.fleet

import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Checks the invariants of a [FleetState] over a whole command log, for tests and experiments.
 *
 * Call [observe] after each applied command. The checker computes ownership and spent budgets on its own instead of
 * relying on the indexes and ledgers of the state, so that it also detects faults in them.
 */
public class FleetInvariantChecker {
    private val owners = hashMapOf<VmId, PoolId>()
    private val phases = hashMapOf<VmId, VmPhase>()
    private val accounts = hashMapOf<ServiceId, ServiceAccount>()

    /** Returns the invariants that are violated in [state] after [command] was applied with [result]. */
    public fun observe(state: FleetState, command: FleetCommand, result: FleetResult): List<FleetViolation> =
        buildList {
            addAll(checkOwnership(state))
            addAll(checkPhases(state, command))
            if (result is FleetResult.Applied) addAll(checkBudgets(state, state.disruptionOf(command)))
        }

    private fun checkOwnership(state: FleetState): List<FleetViolation> = state.vms.values.mapNotNull { vm ->
        val listed = state.pools.keys.filter { vm.id in state.membersOf(it) }
        if (listed == listOf(vm.pool)) null else FleetViolation.NotInOnePool(vm.id, listed)
    }

    private fun checkPhases(state: FleetState, command: FleetCommand): List<FleetViolation> =
        state.vms.values.mapNotNull { vm ->
            val before = phases.put(vm.id, vm.phase)
            val owner = owners.put(vm.id, vm.pool)
            val moved = owner != null && owner != vm.pool
            when {
                moved && !(command is FleetCommand.Permit && before.isMove) ->
                    FleetViolation.OwnerChangedWithoutPermit(vm.id)
                before is VmPhase.Active && vm.phase.needsPermit -> FleetViolation.StoppedWithoutDrain(vm.id)
                else -> null
            }
        }

    private fun checkBudgets(state: FleetState, disruption: PlannedDisruption?): List<FleetViolation> =
        state.services.flatMap { id ->
            val spec = state.budgetOf(id, state.clock)?.spec ?: return@flatMap emptyList()
            val phases = state.poolsOf(id).flatMap(state::membersOf).map { state.vms.getValue(it).phase }
            val account = accounts.getOrPut(id) { ServiceAccount(state.clock) }
            account.record(spec, phases, state.clock)
            account.check(spec, disruption?.takeIf { id in it.services }, state.clock)
        }

    private class ServiceAccount(private var since: Instant) {
        private val segments = ArrayDeque<Segment>()
        private var live = false
        private var available = 0
        private var planned = emptyList<Instant>()

        fun record(spec: ServiceSpec, phases: List<VmPhase>, at: Instant) {
            if (live) accrue(spec, at)
            since = at
            available = phases.count { it is VmPhase.Active }
            planned = phases.mapNotNull { it.plannedSince }
            live = live || available >= spec.target
        }

        fun check(spec: ServiceSpec, disruption: PlannedDisruption?, at: Instant): List<FleetViolation> {
            val from = at - spec.budget.window
            while (segments.isNotEmpty() && segments.first().until <= from) segments.removeFirst()
            if (disruption == null && planned.isEmpty()) return emptyList()
            val plannedSpent = segments.sum(from) { it.planned }
            val spent = segments.sum(from) { it.planned + it.unplanned }
            val shortfall = (spec.target - available).coerceAtLeast(0)
            val projected = spent + spec.budget.maxOutage * shortfall
            return buildList {
                if (plannedSpent > spec.budget.allowance) add(FleetViolation.PlannedOverspent(spec.id, plannedSpent))
                val limit = if (disruption?.isMove == true) 0 else spec.budget.maxShortfall
                if (disruption != null && shortfall > limit) add(FleetViolation.PlannedShortfall(spec.id, shortfall))
                if (disruption != null && shortfall > 0 && projected > spec.budget.allowance) {
                    add(FleetViolation.PlannedOverspent(spec.id, projected))
                }
            }
        }

        private fun accrue(spec: ServiceSpec, until: Instant) {
            val missing = (spec.target - available).coerceAtLeast(0)
            val ends = planned.map { it + spec.budget.maxOutage }.filter { it > since && it < until }.sorted()
            var from = since
            for (end in ends + until) {
                val plannedPart = planned.count { it + spec.budget.maxOutage > from }.coerceAtMost(missing)
                if (missing > 0 && end > from) segments += Segment(from, end, plannedPart, missing - plannedPart)
                from = end
            }
        }
    }

    private class Segment(val from: Instant, val until: Instant, val planned: Int, val unplanned: Int)

    private class PlannedDisruption(val services: List<ServiceId>, val isMove: Boolean)

    private companion object {
        val VmPhase?.isMove: Boolean get() = this is VmPhase.Draining && purpose is DrainPurpose.Move

        val VmPhase.needsPermit: Boolean get() = this is VmPhase.Stopped || this is VmPhase.Moving

        /** Returns the planned disruption that [command] started or permitted, or null if it did neither. */
        fun FleetState.disruptionOf(command: FleetCommand): PlannedDisruption? {
            val id =
                when (command) {
                    is FleetCommand.StartDrain -> command.vm
                    is FleetCommand.MoveVm -> command.vm
                    is FleetCommand.Permit -> command.vm
                    else -> return null
                }
            val vm = vms.getValue(id)
            val phase = vm.phase
            val owner = if (phase is VmPhase.Moving) phase.from else vm.pool
            val isMove = phase is VmPhase.Moving || phase.isMove
            return PlannedDisruption(pools[owner]?.services.orEmpty(), isMove)
        }

        fun List<Segment>.sum(from: Instant, count: (Segment) -> Int): Duration =
            fold(Duration.ZERO) { sum, segment -> sum + (segment.until - maxOf(segment.from, from)) * count(segment) }
    }
}

/** Violated invariant of a [FleetState]. */
public sealed interface FleetViolation {
    /** The VM is listed in no pool or in several. */
    public data class NotInOnePool(val vm: VmId, val pools: List<PoolId>) : FleetViolation

    /** The VM changed pools without the permit of a drained move. */
    public data class OwnerChangedWithoutPermit(val vm: VmId) : FleetViolation

    /** The VM was stopped or moved while active, without a drain. */
    public data class StoppedWithoutDrain(val vm: VmId) : FleetViolation

    /** A planned disruption left more VMs missing than the budget permits. */
    public data class PlannedShortfall(val service: ServiceId, val shortfall: Int) : FleetViolation

    /** Planned disruptions have spent, or could spend, more than the allowance. */
    public data class PlannedOverspent(val service: ServiceId, val spent: Duration) : FleetViolation
}
