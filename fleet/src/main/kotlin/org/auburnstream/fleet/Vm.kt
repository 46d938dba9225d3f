package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Instant

/**
 * Replicated record of one VM.
 *
 * @property pool pool that owns the VM; a VM is owned by exactly one pool.
 * @property maintainedAt end of the last maintenance, or the time of registration.
 * @property lastMove latest change of the owning pool, or null.
 */
@Serializable
public data class Vm(
    val id: VmId,
    val pool: PoolId,
    val incarnation: Long,
    val dataCentre: DataCentreId,
    val rack: RackId,
    val address: String,
    val port: Int,
    val service: ServiceId? = null,
    val size: VmSize = VmSize(),
    val phase: VmPhase = VmPhase.Active,
    val maintainedAt: Instant,
    val lastMove: MoveRecord? = null,
) {
    /** Rack together with its data centre, because rack names are not unique across data centres. */
    public val domain: FailureDomain get() = FailureDomain(dataCentre, rack)
}

/** Declared size of a VM. */
@Serializable
public data class VmSize(
    val slots: Int = 0,
    val connections: Int = 0,
    val processors: Int = 1,
    val memoryMegabytes: Long = 0,
    val accelerators: Int = 0,
)

/** A rack of a data centre, or the whole data centre if [rack] is null. */
@Serializable
public data class FailureDomain(val dataCentre: DataCentreId, val rack: RackId? = null) : Comparable<FailureDomain> {
    override fun compareTo(other: FailureDomain): Int =
        compareValuesBy(this, other, { it.dataCentre.value }, { it.rack?.value })

    override fun toString(): String = if (rack == null) dataCentre.value else "$dataCentre/$rack"
}

/** Lifecycle phase of a VM; only an [Active] VM is available. */
@Serializable
public sealed interface VmPhase {
    /** The VM takes work. */
    @Serializable
    @SerialName("active")
    public data object Active : VmPhase

    /** The VM takes no new work and finishes its work in progress; [drain] is the revision at which this started. */
    @Serializable
    @SerialName("draining")
    public data class Draining(val drain: FleetRevision, val purpose: DrainPurpose, val since: Instant) : VmPhase

    /**
     * The VM may be stopped and is expected to return by [returnBy].
     *
     * @property permit revision of the permit; fencing token of the restart request to the platform.
     * @property since start of the planned outage, which is the start of the drain.
     * @property confirmed true once the platform has confirmed that the restart with this permit is done.
     * @property overdue true if the VM did not return in time.
     */
    @Serializable
    @SerialName("stopped")
    public data class Stopped(
        val permit: FleetRevision,
        val wave: WaveId? = null,
        val since: Instant,
        val returnBy: Instant,
        val confirmed: Boolean = false,
        val overdue: Boolean = false,
    ) : VmPhase

    /** The VM is already owned by its new pool but has not announced itself from there yet. */
    @Serializable
    @SerialName("moving")
    public data class Moving(
        val permit: FleetRevision,
        val from: PoolId,
        val since: Instant,
        val returnBy: Instant,
        val overdue: Boolean = false,
    ) : VmPhase

    /** The VM stopped announcing itself without a planned stop. */
    @Serializable
    @SerialName("lost")
    public data class Lost(val since: Instant) : VmPhase

    /** An operator put the VM into repair; it returns to service only when it is readmitted. */
    @Serializable
    @SerialName("repair")
    public data class InRepair(val since: Instant) : VmPhase

    /** The VM gets no work because an operator considers it unreliable. */
    @Serializable
    @SerialName("quarantined")
    public data class Quarantined(val since: Instant) : VmPhase

    /** The VM was removed from service permanently; its id is kept to recognize a late return. */
    @Serializable
    @SerialName("given_up")
    public data class GivenUp(val since: Instant) : VmPhase
}

/** Purpose of a drain. */
@Serializable
public sealed interface DrainPurpose {
    /** Restart as part of a maintenance wave. */
    @Serializable
    @SerialName("maintenance")
    public data class Maintenance(val wave: WaveId) : DrainPurpose

    /** Change of the owning pool. */
    @Serializable
    @SerialName("move")
    public data class Move(val to: PoolId, val reason: MoveReason = MoveReason.Operator) : DrainPurpose
}

internal val VmPhase.isAvailable: Boolean get() = this is VmPhase.Active

/** Start of the planned outage of the VM, or null if it is in none. */
internal val VmPhase.plannedSince: Instant?
    get() =
        when (this) {
            is VmPhase.Draining -> since
            is VmPhase.Stopped -> since.takeIf { wave != null && !overdue }
            else -> null
        }

/** Whether the VM did not return from a planned disruption in time. */
internal val VmPhase.isOverdue: Boolean
    get() = (this is VmPhase.Stopped && overdue) || (this is VmPhase.Moving && overdue)

/** Time since which the leases of the VM's jobs are no longer renewed, or null if they are renewed. */
internal val VmPhase.leasesUnrenewedSince: Instant?
    get() =
        when (this) {
            is VmPhase.Lost -> since
            is VmPhase.InRepair -> since
            is VmPhase.GivenUp -> since
            else -> null
        }

/** Whether the VM is in any step of a planned disruption: draining, stopped or moving. */
internal val VmPhase.isPlannedDisruption: Boolean
    get() = this is VmPhase.Draining || this is VmPhase.Stopped || this is VmPhase.Moving
