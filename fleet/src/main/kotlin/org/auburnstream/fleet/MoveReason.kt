package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Instant

/** Reason why a VM moves or moved to another pool. */
@Serializable
public sealed interface MoveReason {
    /** An operator requested the move. */
    @Serializable
    @SerialName("operator")
    public data object Operator : MoveReason

    /** [service] has only [available] VMs of its [target], and the losses are older than [waited]. */
    @Serializable
    @SerialName("shortfall")
    public data class Shortfall(val service: ServiceId, val target: Int, val available: Int, val waited: Duration) :
        MoveReason

    /** The pool needs an extra VM during [wave], in which [pending] VMs still have to be maintained. */
    @Serializable
    @SerialName("wave_cover")
    public data class WaveCover(val wave: WaveId, val pending: Int) : MoveReason

    /** The pool has had [surplus] more VMs than it needs for [waited], and the spare pool lacks [missing] VMs. */
    @Serializable
    @SerialName("surplus")
    public data class Surplus(val surplus: Int, val missing: Int, val waited: Duration) : MoveReason
}

/** Record of a change of the owning pool. */
@Serializable
public data class MoveRecord(val from: PoolId, val to: PoolId, val reason: MoveReason, val at: Instant)
