package org.auburnstream.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.VmId
import org.auburnstream.model.isValidId
import kotlin.time.Instant

/** Applies announcements, losses, returns and operator commands on single VMs. */
internal class VmCommands(private val tables: FleetTables, private val waves: WaveCommands) {
    private val failures = WorkerFailureTracker(tables)

    fun register(announcement: Announcement): FleetRefusal? {
        val known = tables.vms[announcement.vm] ?: return registerNew(announcement)
        return checkKnown(known, announcement) ?: recordAnnouncement(known, announcement)
    }

    /** Returns whether [register] would change the state, change nothing or refuse the announcement. */
    fun review(announcement: Announcement): AnnouncementReview {
        val known = tables.vms[announcement.vm]
        val refusal = if (known == null) checkNew(announcement) else checkKnown(known, announcement)
        return when {
            refusal != null -> AnnouncementReview.Refused(refusal)
            known != null && known.phase.isKeptByAnnouncement && announcement.toVm(known, known.phase) == known ->
                AnnouncementReview.Unchanged
            else -> AnnouncementReview.Changed
        }
    }

    fun reportLost(id: VmId, incarnation: Long): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        if (incarnation != vm.incarnation) return FleetRefusal.StaleIncarnation(id, vm.incarnation)
        return when (vm.phase) {
            is VmPhase.Active, is VmPhase.Draining, is VmPhase.Quarantined -> setPhase(vm, VmPhase.Lost(tables.clock))
            else -> FleetRefusal.WrongPhase(id, vm.phase)
        }
    }

    fun reportOverdue(id: VmId, permit: FleetRevision): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val phase = vm.phase
        return when {
            phase is VmPhase.Stopped && phase.isDue(permit, phase.permit, phase.returnBy) ->
                setPhase(vm, phase.copy(overdue = true))
            phase is VmPhase.Moving && phase.isDue(permit, phase.permit, phase.returnBy) ->
                setPhase(vm, phase.copy(overdue = true))
            else -> FleetRefusal.WrongPhase(id, phase)
        }
    }

    fun confirmRestart(id: VmId, permit: FleetRevision): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val phase = vm.phase as? VmPhase.Stopped ?: return FleetRefusal.WrongPhase(id, vm.phase)
        if (phase.permit != permit) return FleetRefusal.Superseded(id, permit)
        return if (phase.confirmed) null else setPhase(vm, phase.copy(confirmed = true))
    }

    fun quarantine(id: VmId): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        if (vm.phase !is VmPhase.Active) return FleetRefusal.WrongPhase(id, vm.phase)
        val block = tables.budgetBlock(vm.pool, leaving = 1)
        return if (block == null) {
            setPhase(vm, VmPhase.Quarantined(tables.clock))
        } else {
            FleetRefusal.BudgetExceeded(block)
        }
    }

    fun startRepair(id: VmId): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        if (!vm.phase.isOutOfService) return FleetRefusal.WrongPhase(id, vm.phase)
        return setPhase(vm, VmPhase.InRepair(tables.clock))
    }

    fun giveUp(id: VmId): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        val isUnavailable = vm.phase.isOutOfService || vm.phase is VmPhase.InRepair
        if (!isUnavailable) return FleetRefusal.WrongPhase(id, vm.phase)
        setPhase(vm, VmPhase.GivenUp(tables.clock))
        waves.removeVm(id)
        return null
    }

    /**
     * Returns a VM to service.
     *
     * A VM in repair or given up may still have an unconfirmed permit, so it is restarted under a new permit, which
     * makes the platform refuse the old one.
     */
    fun readmit(id: VmId): FleetRefusal? {
        val vm = tables.vms[id] ?: return FleetRefusal.UnknownVm(id)
        return when (val phase = vm.phase) {
            is VmPhase.Active -> null.also { failures.resetRecord(id) }
            is VmPhase.Quarantined -> setPhase(vm, VmPhase.Active)
            is VmPhase.InRepair -> restart(vm, phase.since)
            is VmPhase.GivenUp -> restart(vm, phase.since)
            else -> FleetRefusal.WrongPhase(id, phase)
        }
    }

    private fun restart(vm: Vm, since: Instant): FleetRefusal? {
        val idleAt = since + LONGEST_REQUEST
        if (tables.clock < idleAt) return FleetRefusal.TooSoon(vm.id, idleAt)
        val returnBy = tables.clock + tables.maxOutageOf(vm.pool)
        return setPhase(vm, VmPhase.Stopped(tables.revision, since = tables.clock, returnBy = returnBy))
    }

    private fun VmPhase.isDue(named: FleetRevision, current: FleetRevision, returnBy: Instant): Boolean =
        !isOverdue && named == current && tables.clock >= returnBy

    private fun registerNew(announcement: Announcement): FleetRefusal? {
        checkNew(announcement)?.let { return it }
        tables.putVm(announcement.toVm(maintainedAt = tables.clock, phase = VmPhase.Active))
        return null
    }

    private fun checkNew(announcement: Announcement): FleetRefusal? {
        if (!isValidId(announcement.vm.value)) return FleetRefusal.InvalidValue(CommandField.ID)
        val pool = tables.pools[announcement.pool] ?: return FleetRefusal.UnknownPool(announcement.pool)
        val service = announcement.service
        return if (service != null && service !in pool.services) FleetRefusal.UnknownService(service) else null
    }

    private fun checkKnown(known: Vm, announcement: Announcement): FleetRefusal? {
        val phase = known.phase
        return when {
            phase is VmPhase.GivenUp -> FleetRefusal.GivenUp(known.id)
            phase is VmPhase.InRepair -> FleetRefusal.InRepair(known.id)
            announcement.incarnation < known.incarnation ->
                FleetRefusal.StaleIncarnation(known.id, known.incarnation)
            known.conflictsWith(announcement) -> FleetRefusal.DuplicateId(known.id, known.address)
            announcement.pool != known.pool -> FleetRefusal.WrongPool(known.id, known.pool)
            phase is VmPhase.Stopped && !(phase.confirmed && announcement.incarnation > known.incarnation) ->
                FleetRefusal.RestartPending(known.id, phase.permit)
            else -> null
        }
    }

    private fun recordAnnouncement(known: Vm, announcement: Announcement): FleetRefusal? {
        val phase = known.phase
        val maintained = phase is VmPhase.Stopped
        val next = if (phase is VmPhase.Draining || phase is VmPhase.Quarantined) phase else VmPhase.Active
        val maintainedAt = if (maintained) tables.clock else known.maintainedAt
        val vm = announcement.toVm(known, next).copy(maintainedAt = maintainedAt)
        if (vm != known) tables.putVm(vm)
        if (maintained) failures.resetRecord(known.id)
        if (phase is VmPhase.Stopped && phase.wave != null) waves.completeVm(phase.wave, known.id)
        return null
    }

    private fun setPhase(vm: Vm, phase: VmPhase): FleetRefusal? {
        tables.putVm(vm.copy(phase = phase))
        return null
    }
}

/** Effect that registering an announcement would have on the replicated state. */
public sealed interface AnnouncementReview {
    /** All of its data is already recorded. */
    public data object Unchanged : AnnouncementReview

    /** It registers a VM, changes its record or returns it to service. */
    public data object Changed : AnnouncementReview

    /** It conflicts with the replicated state. */
    public data class Refused(val reason: FleetRefusal) : AnnouncementReview
}

/** Whether an announcement leaves the phase unchanged. */
private val VmPhase.isKeptByAnnouncement: Boolean
    get() = this is VmPhase.Active || this is VmPhase.Draining || this is VmPhase.Quarantined

/** Whether the VM is unavailable in a way that an operator may resolve by repairing it or giving it up. */
private val VmPhase.isOutOfService: Boolean
    get() = this is VmPhase.Lost || this is VmPhase.Quarantined || isOverdue

/**
 * Returns whether the announcement must come from a different host with the same id: a VM cannot change its address
 * or rack within one boot, nor its rack while it is active or draining.
 */
private fun Vm.conflictsWith(announcement: Announcement): Boolean {
    val sameRack = dataCentre == announcement.dataCentre && rack == announcement.rack
    val sameAddress = address == announcement.address && port == announcement.port
    if (announcement.incarnation == incarnation) return !(sameRack && sameAddress)
    val live = phase is VmPhase.Active || phase is VmPhase.Draining
    return live && !sameRack
}

private fun Announcement.toVm(known: Vm, phase: VmPhase): Vm =
    toVm(known.maintainedAt, phase).copy(lastMove = known.lastMove)

private fun Announcement.toVm(maintainedAt: Instant, phase: VmPhase): Vm = Vm(
    id = vm,
    pool = pool,
    incarnation = incarnation,
    dataCentre = dataCentre,
    rack = rack,
    address = address,
    port = port,
    service = service,
    size = VmSize(slots, connections, processors, memoryMegabytes, accelerators),
    phase = phase,
    maintainedAt = maintainedAt,
)
