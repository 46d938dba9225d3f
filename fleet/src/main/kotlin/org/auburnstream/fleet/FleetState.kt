package org.auburnstream.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.JobId
import org.auburnstream.model.PoolId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Replicated state of the fleet: pools, VMs, waves and budgets.
 *
 * Deterministic: the state depends on nothing but the commands and the times that [apply] was given. All functions
 * are called from one coroutine at a time.
 */
@OptIn(ExperimentalSerializationApi::class)
public class FleetState {
    private var tables = FleetTables()
    private var handlers = Handlers(tables)

    /** Number of commands applied so far. */
    public val revision: FleetRevision get() = tables.revision

    /** Latest time of any command; never goes back. */
    public val clock: Instant get() = tables.clock

    /** Daemons that may route requests. */
    public val daemons: Set<DaemonId> get() = tables.daemons

    /** All pools by id. */
    public val pools: Map<PoolId, Pool> get() = tables.pools

    /** All VMs by id, including those given up. */
    public val vms: Map<VmId, Vm> get() = tables.vms

    /** Open waves and the latest ended ones, in order of their start. */
    public val waves: Map<WaveId, Wave> get() = tables.waves

    /** Ids of the services. */
    public val services: Set<ServiceId> get() = tables.services.keys

    /**
     * Applies [command], stamped by its proposer with [at].
     *
     * A clock that goes back between two proposers is held still, so durations are never negative.
     */
    public fun apply(command: FleetCommand, at: Instant): FleetResult {
        tables.advance(at)
        if (command !is FleetCommand.Operator) return handlers.execute(command)
        val digest = digestOf(command)
        val first = tables.operations[command.operation]
        if (first != null) {
            return if (first.digest == digest) first.result else FleetResult.Refused(FleetRefusal.OperationReused)
        }
        val result = handlers.execute(command)
        tables.operations[command.operation] = OperationRecord(command.operation, digest, result)
        if (tables.operations.size > MAX_OPERATIONS) tables.operations.remove(tables.operations.keys.first())
        return result
    }

    /** Returns what [apply] would return for [command] at [at], without changing this state. */
    public fun preview(command: FleetCommand, at: Instant): FleetResult = copy().apply(command, at)

    /** Returns an independent copy of this state. */
    public fun copy(): FleetState = FleetState().also { it.restore(snapshot()) }

    /** Returns the encoded state. */
    public fun snapshot(): ByteArray = Cbor.encodeToByteArray(FleetSnapshot.serializer(), tables.toSnapshot())

    /**
     * Replaces the state by [snapshot].
     *
     * @throws kotlinx.serialization.SerializationException if [snapshot] was not written by [snapshot].
     */
    public fun restore(snapshot: ByteArray) {
        tables = Cbor.decodeFromByteArray(FleetSnapshot.serializer(), snapshot).toTables()
        handlers = Handlers(tables)
    }

    /** VMs that [pool] owns. */
    public fun membersOf(pool: PoolId): Set<VmId> = tables.membersOf(pool)

    /** Pools that carry [service]. */
    public fun poolsOf(service: ServiceId): Set<PoolId> = tables.poolsOf(service)

    /** Maintenance windows of [pool]. */
    public fun windowsOf(pool: PoolId): List<MaintenanceWindow> = tables.windows[pool].orEmpty()

    /** Returns the budget of [service] as of [at], or null if there is no such service. */
    public fun budgetOf(service: ServiceId, at: Instant): BudgetStatus? {
        val ledger = tables.services[service] ?: return null
        return BudgetStatus(ledger.spec, ledger.capacity.available, ledger.spent(maxOf(at, clock)))
    }

    /** VMs that [service] needs for full service, 0 if there is no such service. */
    public fun targetOf(service: ServiceId): Int = tables.services[service]?.spec?.target ?: 0

    /** Longest planned outage that every service of [pool] accepts. */
    public fun maxOutageOf(pool: PoolId): Duration = tables.maxOutageOf(pool)

    /** Returns why maintenance of [pool] is held as a whole, or null if it is not. */
    public fun holdOf(pool: PoolId): FleetRefusal? =
        tables.correlatedLoss() ?: tables.overdueVmIn(pool)?.let { FleetRefusal.PoolHeld(pool, it) }

    /** VMs that are draining, stopped or moving. */
    public fun vmsInPlannedDisruption(): List<Vm> = tables.inPlannedDisruption.map(tables.vms::getValue)

    /** VMs that [wave] keeps away. */
    public fun vmsInProgress(wave: WaveId): List<Vm> = tables.inProgress(wave)

    /** Returns whether registering [announcement] would change anything. */
    public fun review(announcement: Announcement): AnnouncementReview = handlers.vms.review(announcement)

    /**
     * Returns why a drain of [vm] for [purpose] would not start at [at], or null if it would.
     *
     * Brings the clock of this replica forward to [at] for the query only.
     */
    public fun refusalOfDrain(vm: VmId, purpose: DrainPurpose, at: Instant): FleetRefusal? =
        withClockAt(at) { handlers.drains.checkStart(vm, purpose) }

    /** Returns why the drain that [vm] is in would not lead to a permit at [at] whatever the daemons report. */
    public fun refusalOfPermit(vm: Vm, at: Instant): FleetRefusal? {
        val phase = vm.phase as? VmPhase.Draining ?: return FleetRefusal.WrongPhase(vm.id, vm.phase)
        return withClockAt(at) { handlers.drains.checkPermit(vm, phase) }
    }

    /** Jobs that are not over, by id. */
    public val jobs: Map<JobId, Job> get() = tables.jobs.jobs

    /** The latest jobs that are over, in order of their end. */
    public val finishedJobs: Map<JobId, FinishedJob> get() = tables.jobs.finished

    /** Quotas by team. */
    public val quotas: Map<TeamId, TeamQuota> get() = tables.jobs.quotas

    /** Returns what the running jobs of [team] have declared together. */
    public fun declaredBy(team: TeamId): Resources = tables.jobs.declaredBy(team)

    /** Queued jobs, most urgent and then oldest first. */
    public fun queuedJobs(): Sequence<Job> = tables.jobs.queue()

    /** Jobs that run on [vm]. */
    public fun jobsOn(vm: VmId): List<Job> = tables.jobs.jobsOn(vm).map(tables.jobs.jobs::getValue)

    /**
     * Running jobs whose leases the leader renews.
     *
     * Those of a VM that is lost, in repair or given up are left to run out, so that the jobs can run elsewhere.
     */
    public fun jobsToRenew(): List<Job> = jobs.values.filter { job ->
        val vm = (job.phase as? JobPhase.Running)?.vm
        vm != null && vms.getValue(vm).phase.leasesUnrenewedSince == null
    }

    /** Returns whether the team of [job] has enough of its quota left for it. */
    public fun hasQuotaFor(job: Job): Boolean = tables.jobs.hasQuotaFor(job)

    /** Returns how far [vm] may be trusted with jobs. */
    public fun trustOf(vm: VmId): WorkerTrust {
        val record = tables.jobs.worker(vm)
        return when {
            record.quarantinedSince != null -> WorkerTrust.QUARANTINED
            record.isOnProbation -> WorkerTrust.PROBATION
            else -> WorkerTrust.FULL
        }
    }

    /** Returns when a worker on probation may be given its next job, or null if it never failed one. */
    public fun nextProbeAt(vm: VmId): Instant? = tables.jobs.worker(vm).lastFailureAt?.plus(PROBE_INTERVAL)

    /** Returns the VMs that changed since the last call; used to keep read models up to date. */
    public fun takeChanges(): Set<VmId> {
        val changes = tables.changed.toSet()
        tables.changed.clear()
        return changes
    }

    private fun <T> withClockAt(at: Instant, query: () -> T): T {
        val before = tables.clock
        tables.clock = maxOf(before, at)
        try {
            return query()
        } finally {
            tables.clock = before
        }
    }

    private fun digestOf(command: FleetCommand): Long =
        Cbor.encodeToByteArray(FleetCommand.serializer(), command).fold(FNV_OFFSET) { hash, byte ->
            (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
        }

    private companion object {
        val PROBE_INTERVAL = 30.seconds
        const val MAX_OPERATIONS = 4096
        const val BYTE_MASK = 0xffL
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
    }
}

/** How far a worker may be trusted with jobs. */
@Serializable
public enum class WorkerTrust {
    /** Nothing is held against the worker. */
    FULL,

    /** Several jobs failed here; it runs one at a time, now and then, until it is clear whose fault that is. */
    PROBATION,

    /** Jobs that failed here succeeded elsewhere; it runs none until an operator readmits it or it is restarted. */
    QUARANTINED,
}

/** Availability budget of a service and what is left of it. */
@Serializable
public data class BudgetStatus(val spec: ServiceSpec, val available: Int, val spent: BudgetSpent) {
    /** VMs missing from the target now. */
    public val shortfall: Int get() = (spec.target - available).coerceAtLeast(0)
}

private class Handlers(private val tables: FleetTables) {
    private val pools = PoolCommands(tables)
    private val waves = WaveCommands(tables)
    val vms = VmCommands(tables, waves)
    val drains = DrainCommands(tables)
    private val jobs = JobCommands(tables)

    fun execute(command: FleetCommand): FleetResult {
        val refusal =
            when (command) {
                is FleetCommand.Operator -> executeOperator(command)
                is FleetCommand.RegisterDaemon -> null.also { tables.daemons.add(command.daemon) }
                is FleetCommand.RegisterVm -> vms.register(command.announcement)
                is FleetCommand.ReportLost -> vms.reportLost(command.vm, command.incarnation)
                is FleetCommand.ReportOverdue -> vms.reportOverdue(command.vm, command.permit)
                is FleetCommand.StartDrain -> drains.start(command.vm, command.purpose)
                is FleetCommand.CancelDrain -> drains.cancel(command.vm, command.drain)
                is FleetCommand.Permit -> drains.permit(command.vm, command.drain, command.evidence)
                is FleetCommand.ConfirmRestart -> vms.confirmRestart(command.vm, command.permit)
                is JobCommand.PlaceJob -> jobs.place(command.job, command.vm)
                is JobCommand.ApplyJobAction -> jobs.applyAction(command.job, command.lease, command.action)
                is JobCommand.EndJob -> jobs.end(command.job, command.lease, command.end)
            }
        return if (refusal == null) FleetResult.Applied(tables.revision) else FleetResult.Refused(refusal)
    }

    private fun executeOperator(command: FleetCommand.Operator): FleetRefusal? = when (command) {
        is FleetCommand.DefineService -> pools.define(command.service)
        is FleetCommand.DefinePool -> pools.define(command.pool)
        is FleetCommand.RemovePool -> pools.remove(command.pool)
        is FleetCommand.DeclareWindows -> pools.declare(command.pool, command.windows)
        is FleetCommand.StartWave -> waves.start(command.wave)
        is FleetCommand.ChangeWave -> waves.change(command.wave, command.change)
        is FleetCommand.StartRepair -> vms.startRepair(command.vm)
        is FleetCommand.GiveUpVm -> vms.giveUp(command.vm)
        is FleetCommand.ReadmitVm -> vms.readmit(command.vm)
        is FleetCommand.QuarantineVm -> vms.quarantine(command.vm)
        is JobCommand.SubmitJob -> jobs.submit(command.job)
        is JobCommand.CancelJobs -> jobs.cancel(command.team, command.jobs)
        is JobCommand.SetQuota -> jobs.setQuota(command.quota)
        is FleetCommand.MoveVm -> drains.start(command.vm, DrainPurpose.Move(command.to))
        is FleetCommand.RetireDaemon -> null.also { tables.daemons.remove(command.daemon) }
    }
}
