package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId

/** Replicated change of the fleet; [FleetState] checks each one again when it is applied. */
@Serializable
public sealed interface FleetCommand {
    /** Change asked for by an operator; a resend with the same [operation] gets the first result again. */
    @Serializable
    public sealed interface Operator : FleetCommand {
        /** Id of the operator's change. */
        public val operation: OperationId
    }

    /** Adds or replaces a service. */
    @Serializable
    @SerialName("define_service")
    public data class DefineService(override val operation: OperationId, val service: ServiceSpec) : Operator

    /** Adds or replaces a pool; its services must exist. */
    @Serializable
    @SerialName("define_pool")
    public data class DefinePool(override val operation: OperationId, val pool: Pool) : Operator

    /** Removes a pool without VMs. */
    @Serializable
    @SerialName("remove_pool")
    public data class RemovePool(override val operation: OperationId, val pool: PoolId) : Operator

    /** Replaces the maintenance windows of a pool. */
    @Serializable
    @SerialName("declare_windows")
    public data class DeclareWindows(
        override val operation: OperationId,
        val pool: PoolId,
        val windows: List<MaintenanceWindow>,
    ) : Operator

    /** Starts a maintenance wave over the VMs that its pools own now. */
    @Serializable
    @SerialName("start_wave")
    public data class StartWave(override val operation: OperationId, val wave: WaveSpec) : Operator

    /** Pauses, resumes or cancels a wave. */
    @Serializable
    @SerialName("change_wave")
    public data class ChangeWave(override val operation: OperationId, val wave: WaveId, val change: WaveChange) :
        Operator

    /** Takes a VM that is lost, overdue or quarantined for repair. */
    @Serializable
    @SerialName("start_repair")
    public data class StartRepair(override val operation: OperationId, val vm: VmId) : Operator

    /** Writes a VM off that is not available. */
    @Serializable
    @SerialName("give_up")
    public data class GiveUpVm(override val operation: OperationId, val vm: VmId) : Operator

    /** Takes a VM back that was repaired, quarantined or written off; it is restarted first. */
    @Serializable
    @SerialName("readmit")
    public data class ReadmitVm(override val operation: OperationId, val vm: VmId) : Operator

    /** Asks for the move of one VM. */
    @Serializable
    @SerialName("move")
    public data class MoveVm(override val operation: OperationId, val vm: VmId, val to: PoolId) : Operator

    /** Adds a daemon whose report every drain needs; a daemon routes only once it is registered. */
    @Serializable
    @SerialName("register_daemon")
    public data class RegisterDaemon(val daemon: DaemonId) : FleetCommand

    /** Removes a daemon that was taken out of service for good. */
    @Serializable
    @SerialName("retire_daemon")
    public data class RetireDaemon(override val operation: OperationId, val daemon: DaemonId) : Operator

    /** Registers a VM, or records its return, by what it announced. */
    @Serializable
    @SerialName("register_vm")
    public data class RegisterVm(val announcement: Announcement) : FleetCommand

    /** Records that the VM has not been heard of although nobody stopped it. */
    @Serializable
    @SerialName("report_lost")
    public data class ReportLost(val vm: VmId, val incarnation: Long) : FleetCommand

    /** Records that a VM is not back from the planned act with this [permit]. */
    @Serializable
    @SerialName("report_overdue")
    public data class ReportOverdue(val vm: VmId, val permit: FleetRevision) : FleetCommand

    /** Starts to drain an available VM. */
    @Serializable
    @SerialName("start_drain")
    public data class StartDrain(val vm: VmId, val purpose: DrainPurpose) : FleetCommand

    /** Makes a VM available again whose [drain] has led to no permit. */
    @Serializable
    @SerialName("cancel_drain")
    public data class CancelDrain(val vm: VmId, val drain: FleetRevision) : FleetCommand

    /** Ends a [drain] and permits its purpose: the restart, or the change of pool. */
    @Serializable
    @SerialName("permit")
    public data class Permit(val vm: VmId, val drain: FleetRevision, val evidence: List<DrainEvidence>) : FleetCommand

    /** Records that the platform has carried out the restart with this [permit]. */
    @Serializable
    @SerialName("confirm_restart")
    public data class ConfirmRestart(val vm: VmId, val permit: FleetRevision) : FleetCommand

    /** Keeps work away from a VM that an operator distrusts. */
    @Serializable
    @SerialName("quarantine")
    public data class QuarantineVm(override val operation: OperationId, val vm: VmId) : Operator
}

/** Why [daemon] has no request in progress on a draining VM and will start none. */
@Serializable
public data class DrainEvidence(val daemon: DaemonId, val proof: DrainProof)

/** Kind of [DrainEvidence]. */
@Serializable
public enum class DrainProof {
    /** The daemon reported no request in progress, having applied the drain. */
    REPORTED_IDLE,

    /** The daemon's settings lease and then the longest permitted request have run out. */
    LEASE_EXPIRED,
}

/** Operator's change of a wave. */
@Serializable
public enum class WaveChange { PAUSE, RESUME, CANCEL }

/**
 * What a maintenance wave covers and how fast it goes.
 *
 * @property pools pools whose VMs are maintained.
 * @property dataCentres data centres that the wave is limited to; empty for all.
 * @property vms VMs that the wave is limited to; empty for all.
 */
@Serializable
public data class WaveSpec(
    val id: WaveId,
    val pools: List<PoolId>,
    val dataCentres: List<DataCentreId> = emptyList(),
    val vms: List<VmId> = emptyList(),
    val pace: WavePace = WavePace.Default,
)

/** A change of state that an observer of the fleet may care about: the service whose budget stands in the way. */
@Serializable
public data class BudgetBlock(val service: ServiceId, val limit: BudgetLimit)

/** Which part of an availability budget a planned act would exceed. */
@Serializable
public enum class BudgetLimit {
    /** Too many VMs would be missing at once. */
    SHORTFALL,

    /** Too much VM-time would be spent inside the window. */
    ALLOWANCE,
}
