package org.auburnstream.routing.credit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.VmId

/** Message between daemons about the slots of targets; any of them may be lost, late or doubled. */
@Serializable
public sealed interface CreditMessage {
    /** Number of the sender's [DaemonView]; a message of another view is dropped. */
    public val view: Long

    /**
     * Asks the allocator of some targets for slots and reports those held and in use.
     *
     * @property epoch grows with each start of the sender.
     * @property sequence grows with each request of the sender.
     * @property allocatorEpoch epoch of the allocator that the sender last heard of, or null if it heard none.
     */
    @Serializable
    @SerialName("request")
    public data class Request(
        override val view: Long,
        val epoch: Long,
        val sequence: Long,
        val allocatorEpoch: Long?,
        val demands: List<CreditDemand>,
    ) : CreditMessage

    /**
     * Answers the request numbered [sequence].
     *
     * @property allocatorEpoch grows with each start of the allocator.
     * @property grants empty if the request was meant for an earlier start of the allocator and has to be repeated.
     */
    @Serializable
    @SerialName("grants")
    public data class Grants(
        override val view: Long,
        val epoch: Long,
        val sequence: Long,
        val allocatorEpoch: Long,
        val grants: List<CreditGrant>,
    ) : CreditMessage
}

/**
 * One holder's need for slots of a target.
 *
 * @property slots slots that the target announced.
 * @property wanted slots wanted beyond the static share.
 * @property held slots beyond the static share that the holder may have in use until its next request.
 */
@Serializable
public data class CreditDemand(val vm: VmId, val slots: Int, val wanted: Int, val held: Int)

/**
 * Slots of a target that a holder may use beyond its static share until its lease ends.
 *
 * @property share whether the holder may use its static share as well.
 */
@Serializable
public data class CreditGrant(val vm: VmId, val slots: Int, val share: Boolean)
