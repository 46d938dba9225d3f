package org.auburnstream.api.fleet

import org.auburnstream.fleet.BudgetLimit
import org.auburnstream.fleet.FleetRefusal
import org.auburnstream.fleet.JobRefusal
import org.auburnstream.fleet.MaintenanceObstacle
import org.auburnstream.fleet.MoveReason
import org.auburnstream.fleet.VmPhase
import org.auburnstream.fleet.placedState

/** Text for operators: what stands in the way, at which value, and what helps. */
public fun FleetRefusal.describe(): String = when (this) {
    is JobRefusal -> describeJob()
    is FleetRefusal.UnknownPool -> "There is no pool $pool; define it first."
    is FleetRefusal.UnknownService -> "Service $service is not carried here; define it and add it to the pool."
    is FleetRefusal.UnknownVm -> "There is no VM $vm; see 'auburnctl vms'."
    is FleetRefusal.UnknownWave -> "There is no wave $wave; see 'auburnctl waves'."
    is FleetRefusal.InvalidValue -> "The value of ${field.name.lowercase()} is out of its range."
    is FleetRefusal.PoolNotEmpty -> "Pool $pool still owns $vms VMs; move them or give them up first."
    is FleetRefusal.DuplicateId -> "VM id $vm is in use at $registeredAddress; give one of the two another id."
    is FleetRefusal.StaleIncarnation -> "VM $vm has booted again since, as incarnation $registered."
    is FleetRefusal.WrongPool -> "VM $vm is owned by pool $owner."
    is FleetRefusal.GivenUp -> "VM $vm was given up; readmit it before it takes work."
    is FleetRefusal.InRepair -> "VM $vm is in repair; readmit it before it takes work."
    is FleetRefusal.RestartPending -> "VM $vm waits for its restart under permit $permit."
    is FleetRefusal.WrongPhase -> "VM $vm is ${phase.describe()}, which does not permit this."
    is FleetRefusal.Superseded -> "Revision $named is not the present act of VM $vm."
    is FleetRefusal.EvidenceMissing -> "Daemons ${daemons.joinToString()} may still have requests on VM $vm."
    is FleetRefusal.DrainTooSlow -> "VM $vm has been draining since $since, too long for one outage."
    is FleetRefusal.TooSoon -> "A request may still be in progress on VM $vm; try again at $until."
    is FleetRefusal.OperationReused -> "The operation id was used for another change; take a new one."
    else -> describeHold()
}

private fun FleetRefusal.describeHold(): String = when (this) {
    is FleetRefusal.BudgetExceeded ->
        when (block.limit) {
            BudgetLimit.SHORTFALL -> "Service ${block.service} would miss more VMs at once than its budget permits."
            BudgetLimit.ALLOWANCE -> "Service ${block.service} could spend more than its budget in the window."
        }
    is FleetRefusal.NotSpare -> "VM $vm cannot be spared: service $service would fall below its target."
    is FleetRefusal.CorrelatedLoss ->
        "$lost VMs of $domain are lost; permits are held until they are back, in repair or given up."
    is FleetRefusal.PoolHeld ->
        "VM $overdue of pool $pool did not come back; repair it or give it up to go on."
    is FleetRefusal.WaveNotRunning -> "Wave $wave is ${status.name.lowercase()}."
    is FleetRefusal.NotPending -> "VM $vm has nothing left to do in wave $wave."
    is FleetRefusal.WaveOverlaps -> "Wave $other covers some of the VMs; wait for it or cancel it."
    is FleetRefusal.WaveEmpty -> "No VM fits wave $wave."
    is FleetRefusal.WindowClosed ->
        "No window of pool $pool is open for long enough; ${next?.let {
            "the next opens at $it."
        } ?: "declare one."}"
    is FleetRefusal.PaceReached -> "Wave $wave has $inProgress VMs in progress, as many as its pace permits now."
    is FleetRefusal.OtherDomainInProgress -> "Wave $wave is working on data centre $domain."
    else -> toString()
}

private fun JobRefusal.describeJob(): String = when (this) {
    is JobRefusal.JobExists -> "Job id $job is taken."
    is JobRefusal.NoQuota -> "Team $team has no quota; an operator must set one."
    is JobRefusal.ExceedsQuota -> "The job can never run: it declares more than the quota $limit of team $team."
    is JobRefusal.ExceedsWorkers ->
        "The job can never run: no VM of pool $pool is as large as it declares; the largest has $largest."
    is JobRefusal.QueueFull -> "Team $team has $limit jobs waiting, as many as it may."
    is JobRefusal.UnknownJob -> "The team has no live job $job."
    is JobRefusal.QuotaUsed -> "The running jobs of team $team use up its quota."
    is JobRefusal.WorkerUnfit -> "VM $vm may not be given job $job now."
    is JobRefusal.LeaseSuperseded -> "Job $job has another lease by now."
    is JobRefusal.JobsRunning -> "VM $vm still runs $jobs jobs."
}

/** Text for operators: why a VM changed its pool. */
public fun MoveReason.describe(): String = when (this) {
    is MoveReason.Operator -> "an operator asked for it"
    is MoveReason.Shortfall ->
        "service $service had $available of the $target VMs that it needs, for longer than $waited"
    is MoveReason.WaveCover -> "wave $wave had $pending VMs to maintain and the pool none to spare"
    is MoveReason.Surplus ->
        "the pool had $surplus VMs more than it needs for $waited, and the spare pool $missing too few"
}

/** Text for operators: why a pool is not maintained in time. */
public fun MaintenanceObstacle.describe(): String = when (this) {
    is MaintenanceObstacle.NoWindow -> "no window is declared for data centre $dataCentre"
    is MaintenanceObstacle.WindowTooShort -> "the longest window is $longest, one outage may take $needed"
    is MaintenanceObstacle.BudgetTooSmall -> "service $service has only $left of its budget left"
    is MaintenanceObstacle.TooLittleTime -> "the windows until $dueBy have too little room"
    is MaintenanceObstacle.Held -> reason.describe()
}

/** Name of the phase in lower case. */
public fun VmPhase.describe(): String = placedState.name.lowercase().replace('_', ' ')
