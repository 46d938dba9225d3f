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
 * Replicated state machine of the fleet: pools, VMs, maintenance waves, availability budgets and jobs.
 *
 * The state is deterministic: it depends only on the commands and times passed to [apply]. The class is not
 * thread-safe; its functions must be called from one coroutine at a time.
 */
@OptIn(ExperimentalSerializationApi::class)
public class FleetState {
    private var tables = FleetTables()
    private var handlers = Handlers(tables)

    /** Number of commands applied so far. */
    public val revision: FleetRevision get() = tables.revision

    /** Latest time passed to [apply]; never decreases. */
    public val clock: Instant get() = tables.clock

    /** Daemons that may route requests. */
    public val daemons: Set<DaemonId> get() = tables.daemons

    /** All pools by id. */
    public val pools: Map<PoolId, Pool> get() = tables.pools

    /** All VMs by id, including those given up. */
    public val vms: Map<VmId, Vm> get() = tables.vms

    /** Open waves and the most recently ended ones, in order of their start. */
    public val waves: Map<WaveId, Wave> get() = tables.waves

    /** Ids of the services. */
    public val services: Set<ServiceId> get() = tables.services.keys

    /**
     * Applies [command], which its proposer stamped with time [at].
     *
     * If [at] is earlier than [clock], as after a change of leader, [clock] stays unchanged, so that durations are
     * never negative.
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

    /** Returns the result that [apply] would return for [command] at [at], without changing this state. */
    public fun preview(command: FleetCommand, at: Instant): FleetResult = copy().apply(command, at)

    /** Returns an independent copy of this state. */
    public fun copy(): FleetState = FleetState().also { it.restore(snapshot()) }

    /** Returns the serialized state. */
    public fun snapshot(): ByteArray = Cbor.encodeToByteArray(FleetSnapshot.serializer(), tables.toSnapshot())

    /**
     * Replaces this state with [snapshot].
     *
     * @throws kotlinx.serialization.SerializationException if [snapshot] was not written by [snapshot].
     */
    public fun restore(snapshot: ByteArray) {
        tables = Cbor.decodeFromByteArray(FleetSnapshot.serializer(), snapshot).toTables()
        handlers = Handlers(tables)
    }

    /** Returns the VMs that [pool] owns. */
    public fun membersOf(pool: PoolId): Set<VmId> = tables.membersOf(pool)

    /** Returns the pools that carry [service]. */
    public fun poolsOf(service: ServiceId): Set<PoolId> = tables.poolsOf(service)

    /** Returns the maintenance windows of [pool]. */
    public fun windowsOf(pool: PoolId): List<MaintenanceWindow> = tables.windows[pool].orEmpty()

    /** Returns the budget of [service] as of [at], or null if there is no such service. */
    public fun budgetOf(service: ServiceId, at: Instant): BudgetStatus? {
        val ledger = tables.services[service] ?: return null
        return BudgetStatus(ledger.spec, ledger.capacity.available, ledger.spent(maxOf(at, clock)))
    }

    /** Returns the number of VMs that [service] needs for full service, or 0 if the service is unknown. */
    public fun targetOf(service: ServiceId): Int = tables.services[service]?.spec?.target ?: 0

    /** Returns the longest planned outage that every service of [pool] accepts. */
    public fun maxOutageOf(pool: PoolId): Duration = tables.maxOutageOf(pool)

    /** Returns the reason why all maintenance of [pool] is blocked, or null if it is not. */
    public fun holdOf(pool: PoolId): FleetRefusal? =
        tables.correlatedLoss() ?: tables.overdueVmIn(pool)?.let { FleetRefusal.PoolHeld(pool, it) }

    /** Returns the VMs that are draining, stopped or moving. */
    public fun vmsInPlannedDisruption(): List<Vm> = tables.inPlannedDisruption.map(tables.vms::getValue)

    /** Returns the VMs that [wave] is draining or has stopped. */
    public fun vmsInProgress(wave: WaveId): List<Vm> = tables.inProgress(wave)

    /** Returns whether registering [announcement] would change the state or be refused. */
    public fun review(announcement: Announcement): AnnouncementReview = handlers.vms.review(announcement)

    /**
     * Returns the reason why a drain of [vm] for [purpose] would be refused at [at], or null if it would start.
     *
     * The clock of this state is advanced to [at] only for the duration of the query.
     */
    public fun refusalOfDrain(vm: VmId, purpose: DrainPurpose, at: Instant): FleetRefusal? =
        withClockAt(at) { handlers.drains.checkStart(vm, purpose) }

    /** Returns the reason why the drain of [vm] could not be permitted at [at] even with full evidence, or null. */
    public fun refusalOfPermit(vm: Vm, at: Instant): FleetRefusal? {
        val phase = vm.phase as? VmPhase.Draining ?: return FleetRefusal.WrongPhase(vm.id, vm.phase)
        return withClockAt(at) { handlers.drains.checkPermit(vm, phase) }
    }

    /** Queued and running jobs by id. */
    public val jobs: Map<JobId, Job> get() = tables.jobs.jobs

    /** Most recently finished jobs, in order of their end. */
    public val finishedJobs: Map<JobId, FinishedJob> get() = tables.jobs.finished

    /** Quotas by team. */
    public val quotas: Map<TeamId, TeamQuota> get() = tables.jobs.quotas

    /** Returns the sum of the declared resources of the running jobs of [team]. */
    public fun declaredBy(team: TeamId): Resources = tables.jobs.declaredBy(team)

    /** Returns the queued jobs, the most urgent first and the oldest first within one urgency. */
    public fun queuedJobs(): Sequence<Job> = tables.jobs.queue()

    /** Returns the jobs that run on [vm]. */
    public fun jobsOn(vm: VmId): List<Job> = tables.jobs.jobsOn(vm).map(tables.jobs.jobs::getValue)

    /**
     * Returns the running jobs whose leases the leader should renew.
     *
     * Leases on a VM that is lost, in repair or given up are not renewed, so that they expire and the jobs can run on
     * another worker.
     */
    public fun jobsToRenew(): List<Job> = jobs.values.filter { job ->
        val vm = (job.phase as? JobPhase.Running)?.vm
        vm != null && vms.getValue(vm).phase.leasesUnrenewedSince == null
    }

    /** Returns whether the remaining quota of the team is sufficient for [job]. */
    public fun hasQuotaFor(job: Job): Boolean = tables.jobs.hasQuotaFor(job)

    /** Returns the trust level of [vm], which limits the jobs that it may run. */
    public fun trustOf(vm: VmId): WorkerTrust {
        val record = tables.jobs.worker(vm)
        return when {
            record.quarantinedSince != null -> WorkerTrust.QUARANTINED
            record.isOnProbation -> WorkerTrust.PROBATION
            else -> WorkerTrust.FULL
        }
    }

    /** Returns the time from which a worker on probation may run its next job, or null if it has no recent failure. */
    public fun nextProbeAt(vm: VmId): Instant? = tables.jobs.worker(vm).lastFailureAt?.plus(PROBE_INTERVAL)

    /** Returns and clears the set of VMs that changed since the last call; used to update read models. */
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

/** Trust level of a worker, derived from the failures of its jobs. */
@Serializable
public enum class WorkerTrust {
    /** The worker may run any number of jobs. */
    FULL,

    /**
     * Several jobs failed on the worker. It runs one job at a time, at intervals, until it is clear whether the worker
     * or the jobs are faulty.
     */
    PROBATION,

    /**
     * Jobs that failed on the worker succeeded on other workers. It runs no jobs until an operator readmits it or it is
     * restarted for maintenance.
     */
    QUARANTINED,
}

/** Availability budget of a service and the shortfall spent from it. */
@Serializable
public data class BudgetStatus(val spec: ServiceSpec, val available: Int, val spent: BudgetSpent) {
    /** Number of VMs currently missing from the target. */
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
