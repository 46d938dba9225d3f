package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Instant

/** Why a VM changes or changed its pool. */
@Serializable
public sealed interface MoveReason {
    /** An operator asked for it. */
    @Serializable
    @SerialName("operator")
    public data object Operator : MoveReason

    /** [service] has [available] VMs of the [target] that it needs, after losses older than [waited]. */
    @Serializable
    @SerialName("shortfall")
    public data class Shortfall(val service: ServiceId, val target: Int, val available: Int, val waited: Duration) :
        MoveReason

    /** The pool has no VM to spare for [wave], which still has [pending] of its VMs to maintain. */
    @Serializable
    @SerialName("wave_cover")
    public data class WaveCover(val wave: WaveId, val pending: Int) : MoveReason

    /** The pool has had [surplus] VMs more than it needs for [waited], and the spare pool [missing] too few. */
    @Serializable
    @SerialName("surplus")
    public data class Surplus(val surplus: Int, val missing: Int, val waited: Duration) : MoveReason
}

/** A change of the owning pool. */
@Serializable
public data class MoveRecord(val from: PoolId, val to: PoolId, val reason: MoveReason, val at: Instant)
