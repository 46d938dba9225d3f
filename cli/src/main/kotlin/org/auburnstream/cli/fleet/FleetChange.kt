package org.auburnstream.cli.fleet

import org.auburnstream.api.ApiJson
import org.auburnstream.api.fleet.FleetChangeRequest
import org.auburnstream.api.fleet.FleetChangeView
import org.auburnstream.api.fleet.FleetRoutes
import org.auburnstream.cli.ChangingCommand
import org.auburnstream.cli.CliProblem
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.ExitCode
import org.auburnstream.cli.Session
import org.auburnstream.cli.print
import org.auburnstream.fleet.AvailabilityBudget
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.JobCommand
import org.auburnstream.fleet.JobSpec
import org.auburnstream.fleet.MaintenanceWindow
import org.auburnstream.fleet.Pool
import org.auburnstream.fleet.ServiceSpec
import org.auburnstream.fleet.TeamQuota
import org.auburnstream.fleet.WaveChange
import org.auburnstream.fleet.WavePace
import org.auburnstream.fleet.WaveSpec
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import kotlin.time.Duration
import kotlin.time.Instant

/** Sends one change of the fleet, or asks what it would lead to. */
internal abstract class FleetChange : ChangingCommand() {
    @Option(name = "--dry-run", usage = "Say whether the change would be refused and why; change nothing.")
    var dryRun: Boolean = false

    /** Builds the change from the arguments, or names the wrong one. */
    protected abstract fun command(operation: OperationId): Built

    override suspend fun run(session: Session): CommandResult {
        val operation = operationId(session)
        return when (val built = command(OperationId(operation))) {
            is Built.Wrong -> CommandResult.Failure(CliProblem.Usage(built.detail, built.remedy))
            is Built.Ready -> send(session, FleetChangeRequest(built.command, dryRun), operation)
        }
    }

    private suspend fun send(session: Session, request: FleetChangeRequest, operation: String): CommandResult {
        val json = ApiJson.encodeToString(FleetChangeRequest.serializer(), request)
        return session.client
            .post(FleetRoutes.CHANGES, json, operation.takeUnless { dryRun })
            .print(session, FleetChangeView.serializer(), exit = ::exitOf, table = ::textOf)
    }

    private fun exitOf(view: FleetChangeView): ExitCode = if (view.refusal == null) ExitCode.OK else ExitCode.REFUSED

    private fun textOf(view: FleetChangeView): String {
        val refusal = view.refusal
        return when {
            refusal != null && view.dryRun -> "would be refused: ${refusal.detail}"
            refusal != null -> "refused: ${refusal.detail}"
            view.dryRun -> "would be accepted"
            else -> "accepted at fleet revision ${view.revision}"
        }
    }
}

/** Result of reading a command line. */
internal sealed interface Built {
    class Ready(val command: FleetCommand.Operator) : Built

    class Wrong(val detail: String, val remedy: String) : Built
}

/** Adds or replaces a service. */
internal class ServiceDefine : FleetChange() {
    @Argument(metaVar = "SERVICE", required = true, usage = "Id of the service.")
    var service: String = ""

    @Option(name = "--target", metaVar = "VMS", required = true, usage = "VMs needed for full service.")
    var target: Int = 0

    @Option(name = "--max-shortfall", metaVar = "VMS", usage = "Most VMs that planned acts may take at once.")
    var maxShortfall: Int = AvailabilityBudget.Default.maxShortfall

    @Option(name = "--allowance", metaVar = "DURATION", usage = "VM-time that may be missing in the window, as 8h.")
    var allowance: String = AvailabilityBudget.Default.allowance.toString()

    @Option(name = "--window", metaVar = "DURATION", usage = "Length of the window, as 28d.")
    var window: String = AvailabilityBudget.Default.window.toString()

    @Option(name = "--max-outage", metaVar = "DURATION", usage = "Longest planned outage of a VM, as 15m.")
    var maxOutage: String = AvailabilityBudget.Default.maxOutage.toString()

    override fun command(operation: OperationId): Built {
        val (allowed, sliding, outage) =
            listOf(allowance, window, maxOutage).map { Duration.parseOrNull(it) ?: return wrongDuration(it) }
        val budget = AvailabilityBudget(maxShortfall, allowed, sliding, outage)
        return Built.Ready(FleetCommand.DefineService(operation, ServiceSpec(ServiceId(service), target, budget)))
    }
}

/** Adds or replaces a pool. */
internal class PoolDefine : FleetChange() {
    @Argument(metaVar = "POOL", required = true, usage = "Id of the pool.")
    var pool: String = ""

    @Option(name = "--service", metaVar = "SERVICE[,...]", usage = "Services that the pool carries.")
    var services: String = ""

    @Option(name = "--spare", usage = "The pool lends its VMs to the others.")
    var spare: Boolean = false

    override fun command(operation: OperationId): Built =
        Built.Ready(FleetCommand.DefinePool(operation, Pool(PoolId(pool), words(services).map(::ServiceId), spare)))
}

/** Declares a maintenance window of a pool. */
internal class PoolWindow : FleetChange() {
    @Argument(metaVar = "POOL", required = true, usage = "Id of the pool.")
    var pool: String = ""

    @Option(name = "--from", metaVar = "TIME", required = true, usage = "First start, as 2030-01-31T22:00:00Z.")
    var from: String = ""

    @Option(name = "--length", metaVar = "DURATION", required = true, usage = "Length, as 4h.")
    var length: String = ""

    @Option(name = "--every", metaVar = "DURATION", usage = "Time from one start to the next, as 1d.")
    var every: String = "7d"

    @Option(name = "--data-centre", metaVar = "ID", usage = "Only VMs of this data centre.")
    var dataCentre: String? = null

    override fun command(operation: OperationId): Built {
        val anchor = Instant.parseOrNull(from) ?: return Built.Wrong("--from '$from' is no time", "Write it in UTC.")
        val open = Duration.parseOrNull(length) ?: return wrongDuration(length)
        val period = Duration.parseOrNull(every) ?: return wrongDuration(every)
        val window = MaintenanceWindow(PoolId(pool), dataCentre?.let(::DataCentreId), anchor, open, period)
        return Built.Ready(FleetCommand.DeclareWindows(operation, PoolId(pool), listOf(window)))
    }
}

/** Starts a maintenance wave. */
internal class WaveStart : FleetChange() {
    @Argument(metaVar = "WAVE", required = true, usage = "Id of the new wave.")
    var wave: String = ""

    @Option(name = "--pool", metaVar = "POOL[,...]", required = true, usage = "Pools to maintain.")
    var pools: String = ""

    @Option(name = "--data-centre", metaVar = "ID[,...]", usage = "Only these data centres.")
    var dataCentres: String = ""

    @Option(name = "--vm", metaVar = "VM[,...]", usage = "Only these VMs.")
    var vms: String = ""

    @Option(name = "--at-once", metaVar = "VMS", usage = "Most VMs in progress at once.")
    var atOnce: Int = 1

    @Option(name = "--gap", metaVar = "DURATION", usage = "Least time between two starts.")
    var gap: String = "0s"

    override fun command(operation: OperationId): Built {
        val pause = Duration.parseOrNull(gap) ?: return wrongDuration(gap)
        val spec =
            WaveSpec(
                id = WaveId(wave),
                pools = words(pools).map(::PoolId),
                dataCentres = words(dataCentres).map(::DataCentreId),
                vms = words(vms).map(::VmId),
                pace = WavePace(atOnce, pause),
            )
        return Built.Ready(FleetCommand.StartWave(operation, spec))
    }
}

/** Pauses, resumes or cancels a wave. */
internal class WaveControl(private val change: WaveChange) : FleetChange() {
    @Argument(metaVar = "WAVE", required = true, usage = "Id of the wave.")
    var wave: String = ""

    override fun command(operation: OperationId): Built =
        Built.Ready(FleetCommand.ChangeWave(operation, WaveId(wave), change))
}

/** A change of one VM. */
internal class VmChange(private val build: (OperationId, VmId) -> FleetCommand.Operator) : FleetChange() {
    @Argument(metaVar = "VM", required = true, usage = "Id of the VM.")
    var vm: String = ""

    override fun command(operation: OperationId): Built = Built.Ready(build(operation, VmId(vm)))
}

/** Moves a VM to another pool. */
internal class VmMove : FleetChange() {
    @Argument(metaVar = "VM", required = true, usage = "Id of the VM.")
    var vm: String = ""

    @Option(name = "--to", metaVar = "POOL", required = true, usage = "The new pool.")
    var to: String = ""

    override fun command(operation: OperationId): Built =
        Built.Ready(FleetCommand.MoveVm(operation, VmId(vm), PoolId(to)))
}

/** Submits a job. */
internal class JobSubmit : FleetChange() {
    @Argument(metaVar = "JOB", required = true, usage = "Id of the new job.")
    var job: String = ""

    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "Team that the job counts for.")
    var team: String = ""

    @Option(name = "--pool", metaVar = "POOL", required = true, usage = "Pool whose VMs run it.")
    var pool: String = ""

    @Option(name = "--urgency", metaVar = "CLASS", usage = "batch, normal or urgent.")
    var urgency: Urgency = Urgency.NORMAL

    @Option(name = "--millicores", metaVar = "N", usage = "Declared processor time, 1000 for a processor.")
    var millicores: Long = 0

    @Option(name = "--memory", metaVar = "MIB", usage = "Declared memory.")
    var memory: Long = 0

    @Option(name = "--accelerators", metaVar = "N", usage = "Declared accelerators.")
    var accelerators: Int = 0

    override fun command(operation: OperationId): Built {
        val declared = Resources(millicores, memory, accelerators)
        val spec = JobSpec(JobId(job), TeamId(team), PoolId(pool), declared, urgency)
        return Built.Ready(JobCommand.SubmitJob(operation, spec))
    }
}

/** Cancels jobs of a team. */
internal class JobCancel : FleetChange() {
    @Argument(metaVar = "JOB", usage = "Ids of the jobs; all jobs of the team if left out.")
    var jobs: MutableList<String> = mutableListOf()

    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "Team whose jobs to cancel.")
    var team: String = ""

    override fun command(operation: OperationId): Built =
        Built.Ready(JobCommand.CancelJobs(operation, TeamId(team), jobs.map(::JobId)))
}

/** Sets the quota of a team. */
internal class QuotaSet : FleetChange() {
    @Argument(metaVar = "TEAM", required = true, usage = "Id of the team.")
    var team: String = ""

    @Option(name = "--millicores", metaVar = "N", required = true, usage = "Processor time, 1000 for a processor.")
    var millicores: Long = 0

    @Option(name = "--memory", metaVar = "MIB", required = true, usage = "Memory.")
    var memory: Long = 0

    @Option(name = "--accelerators", metaVar = "N", usage = "Accelerators.")
    var accelerators: Int = 0

    override fun command(operation: OperationId): Built {
        val limit = Resources(millicores, memory, accelerators)
        return Built.Ready(JobCommand.SetQuota(operation, TeamQuota(TeamId(team), limit)))
    }
}

private fun words(list: String): List<String> = list.split(',').map { it.trim() }.filter { it.isNotEmpty() }

private fun wrongDuration(text: String): Built =
    Built.Wrong("'$text' is no duration", "Write it as 90s, 15m, 8h or 28d.")
