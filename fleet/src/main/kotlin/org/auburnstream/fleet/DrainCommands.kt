package org.auburnstream.fleet

import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Longest request that a daemon lets run; a daemon without a lease has none left after this time. */
public val LONGEST_REQUEST: Duration = 60.seconds

/** Time in which a VM has to announce itself from its new pool. */
public val MOVE_TIMEOUT: Duration = 5.minutes

/**
 * Applies drains and permits.
 *
 * Every safety rule is checked here, where all proposals meet in one order, so that a planner that acts on an old
 * state can propose what is no longer allowed but never have it done.
 */
internal class DrainCommands(private val tables: FleetTables) {
    fun start(id: VmId, purpose: DrainPurpose): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        if (vm.phase !is VmPhase.Active) return FleetRefusal.WrongPhase(id, vm.phase)
        val refusal =
            when (purpose) {
                is DrainPurpose.Maintenance -> refuseMaintenance(vm, purpose.wave)
                is DrainPurpose.Move -> refuseMove(vm, purpose)
            }
        if (refusal != null) return refusal
        tables.putVm(vm.copy(phase = VmPhase.Draining(tables.revision, purpose, tables.clock)))
        if (purpose is DrainPurpose.Maintenance) {
            tables.waves.computeIfPresent(purpose.wave) { _, wave -> wave.copy(lastDrainAt = tables.clock) }
        }
        return null
    }

    fun cancel(id: VmId, drain: FleetRevision): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val phase = vm.phase as? VmPhase.Draining ?: return FleetRefusal.WrongPhase(id, vm.phase)
        if (phase.drain != drain) return FleetRefusal.Superseded(id, drain)
        tables.putVm(vm.copy(phase = VmPhase.Active))
        return null
    }

    fun permit(id: VmId, drain: FleetRevision, evidence: List<DrainEvidence>): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val phase = vm.phase as? VmPhase.Draining ?: return FleetRefusal.WrongPhase(id, vm.phase)
        if (phase.drain != drain) return FleetRefusal.Superseded(id, drain)
        val missing = tables.daemons - evidence.map { it.daemon }.toSet()
        if (missing.isNotEmpty()) return FleetRefusal.EvidenceMissing(id, missing.toList())
        return when (val purpose = phase.purpose) {
            is DrainPurpose.Maintenance -> permitRestart(vm, phase, purpose.wave)
            is DrainPurpose.Move -> permitMove(vm, purpose)
        }
    }

    private fun permitRestart(vm: Vm, phase: VmPhase.Draining, wave: WaveId): FleetRefusal? {
        val maxOutage = tables.maxOutageOf(vm.pool)
        val refusal =
            refuseWave(wave)
                ?: refuseHold(vm)
                ?: refuseBudget(vm, leaving = 0)
                ?: refuseSlowDrain(vm, phase.since, maxOutage)
        if (refusal != null) return refusal
        val stopped = VmPhase.Stopped(tables.revision, wave, phase.since, returnBy = phase.since + maxOutage)
        tables.putVm(vm.copy(phase = stopped))
        return null
    }

    private fun permitMove(vm: Vm, purpose: DrainPurpose.Move): FleetRefusal? {
        if (purpose.to !in tables.pools) return FleetRefusal.UnknownPool(purpose.to)
        val short = shortService(vm, leaving = 0)
        if (short != null) return FleetRefusal.NotSpare(vm.id, short)
        val moving = VmPhase.Moving(tables.revision, vm.pool, tables.clock, returnBy = tables.clock + MOVE_TIMEOUT)
        tables.putVm(vm.copy(pool = purpose.to, service = null, phase = moving))
        return null
    }

    private fun refuseMaintenance(vm: Vm, id: WaveId): FleetRefusal? = refuseWave(id)
        ?: refuseHold(vm)
        ?: refuseOrder(vm, tables.waves.getValue(id))
        ?: refuseWindow(vm)
        ?: refuseBudget(vm, leaving = 1)

    private fun refuseWave(id: WaveId): FleetRefusal? {
        val wave = tables.waves[id] ?: return FleetRefusal.UnknownWave(id)
        return if (wave.status == WaveStatus.RUNNING) null else FleetRefusal.WaveNotRunning(id, wave.status)
    }

    private fun refuseHold(vm: Vm): FleetRefusal? =
        tables.correlatedLoss() ?: tables.overdueIn(vm.pool)?.let { FleetRefusal.PoolHeld(vm.pool, it) }

    private fun refuseOrder(vm: Vm, wave: Wave): FleetRefusal? {
        val id = wave.spec.id
        if (vm.id !in wave.pending) return FleetRefusal.NotPending(id, vm.id)
        val inProgress = wave.pending.filter { tables.isInProgress(id, it) }
        val early = wave.lastDrainAt?.let { tables.clock < it + wave.spec.pace.gap } ?: false
        if (early || inProgress.size >= wave.spec.pace.maxInProgress) {
            return FleetRefusal.PaceReached(id, inProgress.size)
        }
        val elsewhere = inProgress.map(tables.vms::getValue).firstOrNull { it.dataCentre != vm.dataCentre }
        return elsewhere?.let { FleetRefusal.OtherDomainInProgress(id, FailureDomain(it.dataCentre)) }
    }

    private fun refuseWindow(vm: Vm): FleetRefusal? {
        val windows = tables.windows[vm.pool].orEmpty().filter { it.covers(vm.dataCentre) }
        if (windows.any { it.isOpen(tables.clock, tables.maxOutageOf(vm.pool)) }) return null
        val next = windows.map { it.nextStart(tables.clock) }.minOrNull()
        return FleetRefusal.WindowClosed(vm.pool, next)
    }

    private fun refuseBudget(vm: Vm, leaving: Int): FleetRefusal? {
        for (id in tables.servicesOf(vm.pool)) {
            val ledger = tables.services.getValue(id)
            val limit = ledger.limitOf(ledger.capacity.available - leaving, tables.clock) ?: continue
            return FleetRefusal.BudgetExceeded(BudgetBlock(id, limit))
        }
        return null
    }

    private fun refuseSlowDrain(vm: Vm, since: Instant, maxOutage: Duration): FleetRefusal? {
        val tooSlow = tables.clock - since > maxOutage / DRAIN_SHARE_DIVISOR
        return if (tooSlow) FleetRefusal.DrainTooSlow(vm.id, since) else null
    }

    private fun refuseMove(vm: Vm, purpose: DrainPurpose.Move): FleetRefusal? {
        if (purpose.to !in tables.pools) return FleetRefusal.UnknownPool(purpose.to)
        if (purpose.to == vm.pool) return FleetRefusal.InvalidValue(CommandField.POOL)
        return shortService(vm, leaving = 1)?.let { FleetRefusal.NotSpare(vm.id, it) }
    }

    private fun shortService(vm: Vm, leaving: Int): ServiceId? = tables.servicesOf(vm.pool).firstOrNull { id ->
        val ledger = tables.services.getValue(id)
        ledger.capacity.available - leaving < ledger.spec.target
    }

    internal companion object {
        /** A drain may use one part of this many of the planned outage, the restart has the rest. */
        const val DRAIN_SHARE_DIVISOR: Int = 2
    }
}

private fun MaintenanceWindow.nextStart(at: Instant): Instant {
    val occurrence = occurrenceAt(at)
    return if (at < occurrence.start) occurrence.start else occurrence.start + period
}
