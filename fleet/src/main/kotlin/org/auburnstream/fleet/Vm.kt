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
 * Replicated facts about one VM.
 *
 * @property pool the only pool that owns the VM.
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
    /** The rack together with its data centre; rack names repeat between data centres. */
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

/** What a VM is doing; only [Active] counts as available. */
@Serializable
public sealed interface VmPhase {
    /** Takes work. */
    @Serializable
    @SerialName("active")
    public data object Active : VmPhase

    /** Takes no new work and finishes what it has, as recorded at revision [drain]. */
    @Serializable
    @SerialName("draining")
    public data class Draining(val drain: FleetRevision, val purpose: DrainPurpose, val since: Instant) : VmPhase

    /**
     * May be stopped and is expected back.
     *
     * @property permit token of the restart towards the platform.
     * @property since start of the planned outage, which is the start of the drain.
     * @property confirmed true once the platform has said that the restart with this token is done.
     * @property overdue true once the VM was not back in time.
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

    /** Already owned by its new pool, not yet announced from there. */
    @Serializable
    @SerialName("moving")
    public data class Moving(
        val permit: FleetRevision,
        val from: PoolId,
        val since: Instant,
        val returnBy: Instant,
        val overdue: Boolean = false,
    ) : VmPhase

    /** Not heard of although nobody stopped it. */
    @Serializable
    @SerialName("lost")
    public data class Lost(val since: Instant) : VmPhase

    /** Taken by an operator for repair; comes back through readmission only. */
    @Serializable
    @SerialName("repair")
    public data class InRepair(val since: Instant) : VmPhase

    /** Gets nothing, because an operator distrusts it. */
    @Serializable
    @SerialName("quarantined")
    public data class Quarantined(val since: Instant) : VmPhase

    /** Written off; its id is kept so that a late return is recognized. */
    @Serializable
    @SerialName("given_up")
    public data class GivenUp(val since: Instant) : VmPhase
}

/** Why a VM drains. */
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

/** Start of the outage that a planned act answers for, or null if there is none. */
internal val VmPhase.plannedSince: Instant?
    get() =
        when (this) {
            is VmPhase.Draining -> since
            is VmPhase.Stopped -> since.takeIf { wave != null && !overdue }
            else -> null
        }

/** Whether the VM did not come back from a planned act in time. */
internal val VmPhase.isOverdue: Boolean
    get() = (this is VmPhase.Stopped && overdue) || (this is VmPhase.Moving && overdue)

/** Since when the leases of the VM's jobs are left to run out, or null if they are renewed. */
internal val VmPhase.leasesUnrenewedSince: Instant?
    get() =
        when (this) {
            is VmPhase.Lost -> since
            is VmPhase.InRepair -> since
            is VmPhase.GivenUp -> since
            else -> null
        }

/** Whether the VM is in any step of a planned act. */
internal val VmPhase.isPlannedDisruption: Boolean
    get() = this is VmPhase.Draining || this is VmPhase.Stopped || this is VmPhase.Moving
