package org.auburnstream.routing.credit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.VmId

/** Message between daemons about the slots of targets; it may be lost, delayed or duplicated. */
@Serializable
public sealed interface CreditMessage {
    /** Version of the sender's [DaemonView]; the receiver drops messages of another version. */
    public val view: Long

    /**
     * Requests slots from the allocator of some targets and reports the slots held.
     *
     * @property epoch number of the sender's start; increases with each start.
     * @property sequence number of the request; increases with each request of the sender.
     * @property allocatorEpoch latest epoch that the sender received from the allocator, or null if it received none.
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
     * Replies to the request with the number [sequence].
     *
     * @property epoch epoch of the request.
     * @property allocatorEpoch number of the allocator's start; increases with each start.
     * @property grants empty if the request was for an earlier epoch of the allocator and must be repeated.
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
 * Demand of one daemon for slots of a target.
 *
 * @property slots number of slots that the target announced.
 * @property wanted number of slots requested beyond the static share.
 * @property held number of slots beyond the static share that the daemon may have in use until its next request.
 */
@Serializable
public data class CreditDemand(val vm: VmId, val slots: Int, val wanted: Int, val held: Int)

/**
 * Grant of slots of a target to one daemon until the end of the lease.
 *
 * @property slots number of slots granted beyond the static share.
 * @property share whether the daemon may also use its static share.
 */
@Serializable
public data class CreditGrant(val vm: VmId, val slots: Int, val share: Boolean)
