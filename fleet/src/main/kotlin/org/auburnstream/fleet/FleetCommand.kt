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

/** Replicated command that changes the fleet; [FleetState] validates each command when it is applied. */
@Serializable
public sealed interface FleetCommand {
    /** Command issued by an operator; a resend with the same [operation] returns the first result again. */
    @Serializable
    public sealed interface Operator : FleetCommand {
        /** Idempotency id of the command. */
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

    /** Starts a maintenance wave over the VMs that its pools currently own. */
    @Serializable
    @SerialName("start_wave")
    public data class StartWave(override val operation: OperationId, val wave: WaveSpec) : Operator

    /** Pauses, resumes or cancels a wave. */
    @Serializable
    @SerialName("change_wave")
    public data class ChangeWave(override val operation: OperationId, val wave: WaveId, val change: WaveChange) :
        Operator

    /** Puts a VM that is lost, overdue or quarantined into repair. */
    @Serializable
    @SerialName("start_repair")
    public data class StartRepair(override val operation: OperationId, val vm: VmId) : Operator

    /** Removes an unavailable VM from service permanently, unless it is readmitted later. */
    @Serializable
    @SerialName("give_up")
    public data class GiveUpVm(override val operation: OperationId, val vm: VmId) : Operator

    /**
     * Returns a VM to service. A VM in repair or given up is restarted first; a quarantined VM becomes active at once.
     * For an active VM, this clears the job failures recorded for it.
     */
    @Serializable
    @SerialName("readmit")
    public data class ReadmitVm(override val operation: OperationId, val vm: VmId) : Operator

    /** Starts the move of one VM to another pool. */
    @Serializable
    @SerialName("move")
    public data class MoveVm(override val operation: OperationId, val vm: VmId, val to: PoolId) : Operator

    /** Adds a daemon; every drain then needs evidence from it. A daemon routes requests only once it is registered. */
    @Serializable
    @SerialName("register_daemon")
    public data class RegisterDaemon(val daemon: DaemonId) : FleetCommand

    /** Removes a daemon that was permanently taken out of service. */
    @Serializable
    @SerialName("retire_daemon")
    public data class RetireDaemon(override val operation: OperationId, val daemon: DaemonId) : Operator

    /** Registers a new VM from its announcement, or updates the record of a known VM. */
    @Serializable
    @SerialName("register_vm")
    public data class RegisterVm(val announcement: Announcement) : FleetCommand

    /** Records that the VM stopped announcing itself without a planned stop. */
    @Serializable
    @SerialName("report_lost")
    public data class ReportLost(val vm: VmId, val incarnation: Long) : FleetCommand

    /** Records that a VM has not returned in time from the planned disruption with this [permit]. */
    @Serializable
    @SerialName("report_overdue")
    public data class ReportOverdue(val vm: VmId, val permit: FleetRevision) : FleetCommand

    /** Starts to drain an available VM. */
    @Serializable
    @SerialName("start_drain")
    public data class StartDrain(val vm: VmId, val purpose: DrainPurpose) : FleetCommand

    /** Cancels a [drain] that has not led to a permit; the VM becomes available again. */
    @Serializable
    @SerialName("cancel_drain")
    public data class CancelDrain(val vm: VmId, val drain: FleetRevision) : FleetCommand

    /** Completes a [drain] and permits its purpose: the restart, or the change of pool. */
    @Serializable
    @SerialName("permit")
    public data class Permit(val vm: VmId, val drain: FleetRevision, val evidence: List<DrainEvidence>) : FleetCommand

    /** Records that the platform has carried out the restart with this [permit]. */
    @Serializable
    @SerialName("confirm_restart")
    public data class ConfirmRestart(val vm: VmId, val permit: FleetRevision) : FleetCommand

    /** Stops sending work to a VM that an operator considers unreliable. */
    @Serializable
    @SerialName("quarantine")
    public data class QuarantineVm(override val operation: OperationId, val vm: VmId) : Operator
}

/** Evidence that [daemon] has no request in progress on a draining VM and will not start one. */
@Serializable
public data class DrainEvidence(val daemon: DaemonId, val proof: DrainProof)

/** Kind of [DrainEvidence]. */
@Serializable
public enum class DrainProof {
    /** The daemon has applied the drain and reported no request in progress on the VM. */
    REPORTED_IDLE,

    /** The daemon's settings lease has expired, and the longest permitted request time has passed since then. */
    LEASE_EXPIRED,
}

/** Operator's change of a wave. */
@Serializable
public enum class WaveChange { PAUSE, RESUME, CANCEL }

/**
 * Scope and pace of a maintenance wave.
 *
 * @property pools pools whose VMs are maintained.
 * @property dataCentres data centres that the wave is limited to; empty for all data centres.
 * @property vms VMs that the wave is limited to; empty for all VMs of [pools].
 */
@Serializable
public data class WaveSpec(
    val id: WaveId,
    val pools: List<PoolId>,
    val dataCentres: List<DataCentreId> = emptyList(),
    val vms: List<VmId> = emptyList(),
    val pace: WavePace = WavePace.Default,
)

/** Service whose availability budget prevents a planned disruption, and the limit that would be exceeded. */
@Serializable
public data class BudgetBlock(val service: ServiceId, val limit: BudgetLimit)

/** Limit of an availability budget that a planned disruption could exceed. */
@Serializable
public enum class BudgetLimit {
    /** More VMs than [AvailabilityBudget.maxShortfall] would be missing at once. */
    SHORTFALL,

    /** More VM-time than [AvailabilityBudget.allowance] would be spent inside the window. */
    ALLOWANCE,
}
