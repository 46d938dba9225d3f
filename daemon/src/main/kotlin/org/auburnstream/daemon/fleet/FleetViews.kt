package org.auburnstream.daemon.fleet

import org.auburnstream.api.fleet.BudgetView
import org.auburnstream.api.fleet.ExplanationView
import org.auburnstream.api.fleet.JobView
import org.auburnstream.api.fleet.PoolView
import org.auburnstream.api.fleet.PoolsView
import org.auburnstream.api.fleet.QuotaView
import org.auburnstream.api.fleet.RefusalView
import org.auburnstream.api.fleet.VmView
import org.auburnstream.api.fleet.WaveView
import org.auburnstream.api.fleet.describe
import org.auburnstream.fleet.BufferPlanner
import org.auburnstream.fleet.DrainPurpose
import org.auburnstream.fleet.FleetState
import org.auburnstream.fleet.JobPhase
import org.auburnstream.fleet.MaintenanceForecaster
import org.auburnstream.fleet.Vm
import org.auburnstream.fleet.VmPhase
import org.auburnstream.fleet.Wave
import org.auburnstream.fleet.WaveStatus
import org.auburnstream.model.PoolId
import org.auburnstream.model.TeamId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Instant

/** Builds the operators' API views of [state] as of [at]. */
internal class FleetViews(private val state: FleetState, private val at: Instant) {
    fun pools(): PoolsView {
        val need = BufferPlanner.requirementOf(state)
        val forecasts = MaintenanceForecaster().forecast(state, at).associateBy { it.pool }
        val pools = state.pools.values.map { pool ->
            val needed = BufferPlanner.requirementOf(state, pool)
            PoolView(
                id = pool.id,
                services = pool.services,
                spare = pool.spare,
                vms = state.membersOf(pool.id).size,
                available = needed.available,
                target = needed.target,
                ownBuffer = if (pool.services.isEmpty()) 0 else needed.ownBuffer,
                hold = RefusalView.of(state.holdOf(pool.id)),
                forecast = forecasts[pool.id],
            )
        }
        return PoolsView(pools, need.shared)
    }

    fun vms(pool: PoolId?): List<VmView> = state.vms.values.filter { pool == null || it.pool == pool }.map(::vm)

    fun waves(): List<WaveView> = state.waves.values.map { wave ->
        WaveView(
            spec = wave.spec,
            status = wave.status,
            startedAt = wave.startedAt,
            pending = wave.pending.toList(),
            inProgress = state.vmsInProgress(wave.spec.id).map { it.id },
            done = wave.done.size,
            waitsFor = refusalBlocking(wave),
        )
    }

    fun budgets(): List<BudgetView> = state.services.mapNotNull { state.budgetOf(it, at) }.map { status ->
        BudgetView(
            service = status.spec.id,
            target = status.spec.target,
            available = status.available,
            shortfall = status.shortfall,
            budget = status.spec.budget,
            spent = status.spent,
            left = (status.spec.budget.allowance - status.spent.total).coerceAtLeast(Duration.ZERO),
        )
    }

    fun jobs(team: TeamId?): List<JobView> {
        val activeJobs = state.jobs.values.map { job ->
            val running = job.phase as? JobPhase.Running
            JobView(
                id = job.spec.id,
                team = job.spec.team,
                urgency = job.spec.urgency,
                state = if (running == null) "queued" else "running",
                worker = running?.vm,
                measure = running?.action,
                failedOn = job.failedOn,
            )
        }
        val finishedJobs = state.finishedJobs.values.map {
            JobView(it.spec.id, it.spec.team, it.spec.urgency, "over", result = it.result, failedOn = it.failedOn)
        }
        return (activeJobs + finishedJobs).filter { team == null || it.team == team }
    }

    fun quotas(): List<QuotaView> = state.quotas.values.map { QuotaView(it, state.declaredBy(it.team)) }

    /** Returns the reason for the VM's current pool and phase, or null if the VM is unknown. */
    fun explain(id: VmId): ExplanationView? {
        val vm = state.vms[id] ?: return null
        val move = vm.lastMove
        val moveText = move?.let { "Moved from ${it.from} to ${it.to} at ${it.at}, because ${it.reason.describe()}." }
        val drain = (vm.phase as? VmPhase.Draining)?.purpose
        val stateText =
            when (drain) {
                is DrainPurpose.Move -> "Draining to move to ${drain.to}, because ${drain.reason.describe()}."
                is DrainPurpose.Maintenance -> "Draining for maintenance in wave ${drain.wave}."
                null -> "It is ${vm.phase.describe()}."
            }
        val text = listOfNotNull(moveText ?: "Never moved.", stateText).joinToString(" ")
        return ExplanationView(id, vm.pool, move, text)
    }

    private fun vm(vm: Vm): VmView = VmView(
        id = vm.id,
        pool = vm.pool,
        state = vm.phase.describe(),
        dataCentre = vm.dataCentre,
        rack = vm.rack,
        incarnation = vm.incarnation,
        maintainedAt = vm.maintainedAt,
        trust = state.trustOf(vm.id),
        phase = vm.phase,
    )

    /** Returns the drain refusal of the first active pending VM, or null if any of them can be drained now. */
    private fun refusalBlocking(wave: Wave): RefusalView? {
        if (wave.status != WaveStatus.RUNNING) return null
        val purpose = DrainPurpose.Maintenance(wave.spec.id)
        val waiting = wave.pending.filter { state.vms.getValue(it).phase is VmPhase.Active }
        val refusals = waiting.map { state.refusalOfDrain(it, purpose, at) }
        return if (refusals.any { it == null }) null else RefusalView.of(refusals.firstOrNull())
    }
}
