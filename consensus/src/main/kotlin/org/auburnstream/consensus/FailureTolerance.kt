package org.auburnstream.consensus

import kotlinx.serialization.Serializable

/**
 * Number of further voter losses that the group survives at present, with the figures it derives from.
 *
 * @property voters number of voters.
 * @property healthyVoters voters in contact whose log lags by at most [ReplicaSettings.maxPromotionLag] entries.
 * @property spares durable learners that are healthy and could replace a lost voter immediately.
 * @property furtherLosses healthy voters that the group can lose and still commit entries.
 * @property changeInProgress whether a membership change is not committed yet.
 */
@Serializable
public data class FailureTolerance(
    val voters: Int,
    val healthyVoters: Int,
    val spares: Int,
    val furtherLosses: Int,
    val changeInProgress: Boolean,
) {
    /** Whether the group keeps a quorum after the loss of any one more voter. */
    val isSafeAgainstNextLoss: Boolean
        get() = furtherLosses >= 1 && !changeInProgress
}
