package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Instant

/** Result of applying a [FleetCommand]. */
@Serializable
public sealed interface FleetResult {
    /** The command was applied; [revision] is the revision of the state after it. */
    @Serializable
    @SerialName("applied")
    public data class Applied(val revision: FleetRevision) : FleetResult

    /** The command was refused and changed nothing. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val reason: FleetRefusal) : FleetResult
}

/** Reason why a [FleetCommand] was refused. */
@Serializable
public sealed interface FleetRefusal {
    /** No pool has this id. */
    @Serializable
    @SerialName("unknown_pool")
    public data class UnknownPool(val pool: PoolId) : FleetRefusal

    /** No service has this id. */
    @Serializable
    @SerialName("unknown_service")
    public data class UnknownService(val service: ServiceId) : FleetRefusal

    /** No VM has this id. */
    @Serializable
    @SerialName("unknown_vm")
    public data class UnknownVm(val vm: VmId) : FleetRefusal

    /** No wave has this id. */
    @Serializable
    @SerialName("unknown_wave")
    public data class UnknownWave(val wave: WaveId) : FleetRefusal

    /** A value of the command is out of its range. */
    @Serializable
    @SerialName("invalid")
    public data class InvalidValue(val field: CommandField) : FleetRefusal

    /** The pool still owns VMs; move or give them up first. */
    @Serializable
    @SerialName("pool_not_empty")
    public data class PoolNotEmpty(val pool: PoolId, val vms: Int) : FleetRefusal

    /** Another live VM uses this id; rename one of the two. */
    @Serializable
    @SerialName("duplicate_id")
    public data class DuplicateId(val vm: VmId, val registeredAddress: String) : FleetRefusal

    /** The command refers to an outdated incarnation of the VM. */
    @Serializable
    @SerialName("stale_incarnation")
    public data class StaleIncarnation(val vm: VmId, val registered: Long) : FleetRefusal

    /** The VM is owned by a different pool than the one that it announces. */
    @Serializable
    @SerialName("wrong_pool")
    public data class WrongPool(val vm: VmId, val owner: PoolId) : FleetRefusal

    /** The VM was given up; readmit it before it may take work. */
    @Serializable
    @SerialName("given_up")
    public data class GivenUp(val vm: VmId) : FleetRefusal

    /** The VM is in repair; readmit it before it may take work. */
    @Serializable
    @SerialName("in_repair")
    public data class InRepair(val vm: VmId) : FleetRefusal

    /** The VM's restart is permitted but not completed: the platform's confirmation or a new incarnation is missing. */
    @Serializable
    @SerialName("restart_pending")
    public data class RestartPending(val vm: VmId, val permit: FleetRevision) : FleetRefusal

    /** The VM is in a phase in which the command is not allowed. */
    @Serializable
    @SerialName("wrong_phase")
    public data class WrongPhase(val vm: VmId, val phase: VmPhase) : FleetRefusal

    /** The drain or permit that the command names is not the VM's current one. */
    @Serializable
    @SerialName("superseded")
    public data class Superseded(val vm: VmId, val named: FleetRevision) : FleetRefusal

    /** Daemons without evidence might still have a request in progress on the VM. */
    @Serializable
    @SerialName("evidence_missing")
    public data class EvidenceMissing(val vm: VmId, val daemons: List<DaemonId>) : FleetRefusal

    /** The drain took so long that too little time of the planned outage is left for the restart. */
    @Serializable
    @SerialName("drain_too_slow")
    public data class DrainTooSlow(val vm: VmId, val since: Instant) : FleetRefusal

    /** The command could exceed the availability budget of a service. */
    @Serializable
    @SerialName("budget")
    public data class BudgetExceeded(val block: BudgetBlock) : FleetRefusal

    /** The VM's pool cannot spare it: its service would fall below its target. */
    @Serializable
    @SerialName("not_spare")
    public data class NotSpare(val vm: VmId, val service: ServiceId) : FleetRefusal

    /**
     * Several VMs of one failure domain are lost; maintenance is blocked until they are back, in repair or given up.
     */
    @Serializable
    @SerialName("correlated_loss")
    public data class CorrelatedLoss(val domain: FailureDomain, val lost: Int) : FleetRefusal

    /** A VM of the pool is overdue from a planned disruption; maintenance of the pool is blocked meanwhile. */
    @Serializable
    @SerialName("pool_held")
    public data class PoolHeld(val pool: PoolId, val overdue: VmId) : FleetRefusal

    /** The wave is paused, cancelled or done. */
    @Serializable
    @SerialName("wave_not_running")
    public data class WaveNotRunning(val wave: WaveId, val status: WaveStatus) : FleetRefusal

    /** The VM is not part of the wave or has already been maintained. */
    @Serializable
    @SerialName("not_pending")
    public data class NotPending(val wave: WaveId, val vm: VmId) : FleetRefusal

    /** Another wave already covers some of the VMs; wait for it or cancel it. */
    @Serializable
    @SerialName("wave_overlaps")
    public data class WaveOverlaps(val wave: WaveId, val other: WaveId) : FleetRefusal

    /** No VM matches the scope of the wave. */
    @Serializable
    @SerialName("wave_empty")
    public data class WaveEmpty(val wave: WaveId) : FleetRefusal

    /** No window of the pool and data centre stays open for long enough; [next] is the start of the next one. */
    @Serializable
    @SerialName("window_closed")
    public data class WindowClosed(val pool: PoolId, val next: Instant?) : FleetRefusal

    /** The pace of the wave does not permit another drain yet. */
    @Serializable
    @SerialName("pace")
    public data class PaceReached(val wave: WaveId, val inProgress: Int) : FleetRefusal

    /** The wave currently maintains VMs of another data centre. */
    @Serializable
    @SerialName("other_domain")
    public data class OtherDomainInProgress(val wave: WaveId, val domain: FailureDomain) : FleetRefusal

    /** A request may still be in progress on the VM; retry at [until]. */
    @Serializable
    @SerialName("too_soon")
    public data class TooSoon(val vm: VmId, val until: Instant) : FleetRefusal

    /** The operation id was used for a different command. */
    @Serializable
    @SerialName("operation_reused")
    public data object OperationReused : FleetRefusal
}

/** Field of a command that can be out of range. */
@Serializable
public enum class CommandField { TARGET, BUDGET, WINDOW, PACE, ID, POOL, QUOTA }
