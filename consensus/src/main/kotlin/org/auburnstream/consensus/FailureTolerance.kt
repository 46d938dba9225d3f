package org.auburnstream.consensus

import kotlinx.serialization.Serializable

/**
 * How many further losses of voters the group survives at this moment.
 *
 * @property voters number of voters.
 * @property healthyVoters voters in contact that hold the log up to a small lag.
 * @property spares learners that could take the vote of a lost voter at once.
 * @property furtherLosses healthy voters that may be lost before the group stops accepting changes.
 * @property changeInProgress whether a change of the voters is not committed yet.
 */
@Serializable
public data class FailureTolerance(
    val voters: Int,
    val healthyVoters: Int,
    val spares: Int,
    val furtherLosses: Int,
    val changeInProgress: Boolean,
) {
    /** Whether the group would go on after the loss of any one more voter. */
    val isSafeAgainstNextLoss: Boolean
        get() = furtherLosses >= 1 && !changeInProgress
}
