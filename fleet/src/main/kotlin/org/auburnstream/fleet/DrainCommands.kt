package org.auburnstream.fleet

import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time within which a moved VM has to announce itself from its new pool. */
public val MOVE_TIMEOUT: Duration = 5.minutes

/**
 * Applies the commands that start, cancel and permit drains.
 *
 * Every safety rule is checked here, when a command is applied in log order. A planner that works on an outdated state
 * may therefore propose a command that is no longer allowed, but such a command is refused.
 */
internal class DrainCommands(private val tables: FleetTables) {
    fun start(id: VmId, purpose: DrainPurpose): FleetRefusal? {
        checkStart(id, purpose)?.let { return it }
        val vm = tables.vms.getValue(id)
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

    /** Returns the reason why [start] would refuse the drain now, or null if it would start it. */
    fun checkStart(id: VmId, purpose: DrainPurpose): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        if (vm.phase !is VmPhase.Active) return FleetRefusal.WrongPhase(id, vm.phase)
        return when (purpose) {
            is DrainPurpose.Maintenance -> checkMaintenance(vm, purpose.wave)
            is DrainPurpose.Move -> checkMove(vm, purpose)
        }
    }

    /** Returns the reason why even complete evidence would not lead to a permit now, or null if it would. */
    fun checkPermit(vm: Vm, phase: VmPhase.Draining): FleetRefusal? = when (val purpose = phase.purpose) {
        is DrainPurpose.Maintenance ->
            checkWave(purpose.wave)
                ?: checkHold(vm)
                ?: checkBudget(vm, leaving = 0)
                ?: checkSlowDrain(vm, phase.since)
        is DrainPurpose.Move ->
            if (purpose.to !in tables.pools) {
                FleetRefusal.UnknownPool(purpose.to)
            } else {
                serviceBelowTarget(vm, leaving = 0)?.let { FleetRefusal.NotSpare(vm.id, it) }
            }
    }

    fun permit(id: VmId, drain: FleetRevision, evidence: List<DrainEvidence>): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val phase = vm.phase as? VmPhase.Draining ?: return FleetRefusal.WrongPhase(id, vm.phase)
        if (phase.drain != drain) return FleetRefusal.Superseded(id, drain)
        val missing = tables.daemons - evidence.map { it.daemon }.toSet()
        if (missing.isNotEmpty()) return FleetRefusal.EvidenceMissing(id, missing.toList())
        checkPermit(vm, phase)?.let { return it }
        val running = tables.jobs.jobsOn(id).size
        if (running > 0) return JobRefusal.JobsRunning(id, running)
        tables.putVm(permitted(vm, phase))
        return null
    }

    private fun permitted(vm: Vm, phase: VmPhase.Draining): Vm = when (val purpose = phase.purpose) {
        is DrainPurpose.Maintenance -> {
            val returnBy = phase.since + tables.maxOutageOf(vm.pool)
            vm.copy(phase = VmPhase.Stopped(tables.revision, purpose.wave, phase.since, returnBy))
        }
        is DrainPurpose.Move -> {
            val returnBy = tables.clock + MOVE_TIMEOUT
            val moving = VmPhase.Moving(tables.revision, vm.pool, tables.clock, returnBy)
            val record = MoveRecord(vm.pool, purpose.to, purpose.reason, tables.clock)
            vm.copy(pool = purpose.to, service = null, phase = moving, lastMove = record)
        }
    }

    private fun checkMaintenance(vm: Vm, id: WaveId): FleetRefusal? = checkWave(id)
        ?: checkHold(vm)
        ?: checkWaveOrder(vm, tables.waves.getValue(id))
        ?: checkWindow(vm)
        ?: checkBudget(vm, leaving = 1)

    private fun checkWave(id: WaveId): FleetRefusal? {
        val wave = tables.waves[id] ?: return FleetRefusal.UnknownWave(id)
        return if (wave.status == WaveStatus.RUNNING) null else FleetRefusal.WaveNotRunning(id, wave.status)
    }

    private fun checkHold(vm: Vm): FleetRefusal? =
        tables.correlatedLoss() ?: tables.overdueVmIn(vm.pool)?.let { FleetRefusal.PoolHeld(vm.pool, it) }

    private fun checkWaveOrder(vm: Vm, wave: Wave): FleetRefusal? {
        val id = wave.spec.id
        if (vm.id !in wave.pending) return FleetRefusal.NotPending(id, vm.id)
        val inProgress = tables.inProgress(id)
        val isBeforeGap = wave.lastDrainAt?.let { tables.clock < it + wave.spec.pace.gap } ?: false
        if (isBeforeGap || inProgress.size >= wave.spec.pace.maxInProgress) {
            return FleetRefusal.PaceReached(id, inProgress.size)
        }
        val otherDataCentreVm = inProgress.firstOrNull { it.dataCentre != vm.dataCentre }
        return otherDataCentreVm?.let { FleetRefusal.OtherDomainInProgress(id, FailureDomain(it.dataCentre)) }
    }

    private fun checkWindow(vm: Vm): FleetRefusal? {
        val windows = tables.windows[vm.pool].orEmpty().filter { it.covers(vm.dataCentre) }
        if (windows.any { it.isOpen(tables.clock, tables.maxOutageOf(vm.pool)) }) return null
        val next = windows.map { it.nextStart(tables.clock) }.minOrNull()
        return FleetRefusal.WindowClosed(vm.pool, next)
    }

    private fun checkBudget(vm: Vm, leaving: Int): FleetRefusal? =
        tables.budgetBlock(vm.pool, leaving)?.let { FleetRefusal.BudgetExceeded(it) }

    private fun checkSlowDrain(vm: Vm, since: Instant): FleetRefusal? {
        val tooSlow = tables.clock - since > tables.maxOutageOf(vm.pool) / MAX_DRAIN_SHARE_DIVISOR
        return if (tooSlow) FleetRefusal.DrainTooSlow(vm.id, since) else null
    }

    private fun checkMove(vm: Vm, purpose: DrainPurpose.Move): FleetRefusal? {
        if (purpose.to !in tables.pools) return FleetRefusal.UnknownPool(purpose.to)
        if (purpose.to == vm.pool) return FleetRefusal.InvalidValue(CommandField.POOL)
        return serviceBelowTarget(vm, leaving = 1)?.let { FleetRefusal.NotSpare(vm.id, it) }
    }

    private fun serviceBelowTarget(vm: Vm, leaving: Int): ServiceId? = tables.servicesOf(vm.pool).firstOrNull { id ->
        val ledger = tables.services.getValue(id)
        ledger.capacity.available - leaving < ledger.spec.target
    }

    internal companion object {
        /** A drain may take 1/MAX_DRAIN_SHARE_DIVISOR of the planned outage; the rest is left for the restart. */
        const val MAX_DRAIN_SHARE_DIVISOR: Int = 2
    }
}

private fun MaintenanceWindow.nextStart(at: Instant): Instant {
    val occurrence = occurrenceAt(at)
    return if (at < occurrence.start) occurrence.start else occurrence.start + period
}
