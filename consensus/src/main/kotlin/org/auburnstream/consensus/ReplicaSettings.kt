package org.auburnstream.consensus

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of a [Replica].
 *
 * @property heartbeatInterval time between two heartbeats of a leader.
 * @property electionTimeoutMin minimum time without contact from the leader after which a voter campaigns; votes are
 *   refused until this time has passed since the last contact.
 * @property electionTimeoutMax upper bound of the random election timeout; a leader without contact to a quorum for
 *   this time steps down.
 * @property campaignTimeoutMin minimum time after which an undecided campaign is repeated.
 * @property campaignTimeoutMax upper bound of that random time; it is short because the leader is already known not to
 *   respond.
 * @property retransmitTimeout time without progress after which unacknowledged entries or snapshot chunks are resent.
 * @property maxBatchBytes maximum size of the entries in one message; a single larger entry is sent alone.
 * @property maxInFlightBatches maximum number of unanswered messages with entries per member.
 * @property maxCommandBytes maximum size of a command.
 * @property maxPendingProposals maximum number of uncommitted proposals at a leader.
 * @property maxPendingBytes maximum total size of the commands of these proposals.
 * @property snapshotChunkBytes maximum size of a snapshot chunk.
 * @property maxSnapshotBytes maximum size of a snapshot that is accepted from a leader.
 * @property retainedBytes total size of the entries that stay in memory after a snapshot covers them, so that a member
 *   with a small lag needs no snapshot.
 * @property joinInterval time between two join requests of a replica that is not a member or knows no leader.
 * @property contactTimeout time without an answer after which a member no longer counts as in contact.
 * @property replacementDelay time without an answer from a voter after which a learner replaces it.
 * @property maxPromotionLag maximum number of entries by which a learner may lag when it is promoted.
 * @property automaticReplacement whether a leader replaces lost voters without an operator's request.
 * @property allowsHandOver whether a leader that stops asks another voter to campaign at once. The next leader may
 *   then be elected within [electionTimeoutMin] of the last contact with a quorum, so this must be off in a group that
 *   grants leases relative to [Replica.quorumContactTime].
 */
public data class ReplicaSettings(
    val heartbeatInterval: Duration = 100.milliseconds,
    val electionTimeoutMin: Duration = 600.milliseconds,
    val electionTimeoutMax: Duration = 1200.milliseconds,
    val campaignTimeoutMin: Duration = 100.milliseconds,
    val campaignTimeoutMax: Duration = 400.milliseconds,
    val retransmitTimeout: Duration = 250.milliseconds,
    val maxBatchBytes: Int = DEFAULT_MESSAGE_BYTES,
    val maxInFlightBatches: Int = 4,
    val maxCommandBytes: Int = DEFAULT_COMMAND_BYTES,
    val maxPendingProposals: Int = DEFAULT_PENDING_PROPOSALS,
    val maxPendingBytes: Int = DEFAULT_PENDING_BYTES,
    val snapshotChunkBytes: Int = DEFAULT_MESSAGE_BYTES,
    val maxSnapshotBytes: Long = DEFAULT_SNAPSHOT_BYTES,
    val retainedBytes: Int = DEFAULT_RETAINED_BYTES,
    val joinInterval: Duration = 1.seconds,
    val contactTimeout: Duration = 1500.milliseconds,
    val replacementDelay: Duration = 10.seconds,
    val maxPromotionLag: Long = 64,
    val automaticReplacement: Boolean = true,
    val allowsHandOver: Boolean = false,
) {
    init {
        require(electionTimeoutMin >= heartbeatInterval * 2) {
            "electionTimeoutMin $electionTimeoutMin must be at least twice heartbeatInterval $heartbeatInterval"
        }
        require(electionTimeoutMax > electionTimeoutMin) {
            "electionTimeoutMax $electionTimeoutMax must exceed electionTimeoutMin $electionTimeoutMin"
        }
        require(campaignTimeoutMax > campaignTimeoutMin) {
            "campaignTimeoutMax $campaignTimeoutMax must exceed campaignTimeoutMin $campaignTimeoutMin"
        }
    }

    public companion object {
        /** Settings for a group within one region. */
        public val Default: ReplicaSettings = ReplicaSettings()
    }
}

private const val KIBIBYTE = 1024
private const val DEFAULT_MESSAGE_BYTES = 64 * KIBIBYTE
private const val DEFAULT_COMMAND_BYTES = 512 * KIBIBYTE
private const val DEFAULT_SNAPSHOT_BYTES = 64L * KIBIBYTE * KIBIBYTE
private const val DEFAULT_RETAINED_BYTES = 256 * KIBIBYTE
private const val DEFAULT_PENDING_PROPOSALS = 4096
private const val DEFAULT_PENDING_BYTES = 4 * KIBIBYTE * KIBIBYTE
