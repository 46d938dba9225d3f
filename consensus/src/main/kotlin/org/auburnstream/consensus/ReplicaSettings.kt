package org.auburnstream.consensus

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times and bounds of a [Replica].
 *
 * @property heartbeatInterval time between two heartbeats of a leader.
 * @property electionTimeoutMin shortest silence of the leader after which a voter campaigns; votes are refused while
 *   the leader was heard within this time.
 * @property electionTimeoutMax longest such silence; a leader without contact to a quorum for this time steps down.
 * @property campaignTimeoutMin shortest time after which a campaign that was not decided is repeated.
 * @property campaignTimeoutMax longest such time; it is short because the leader is known to be silent.
 * @property retransmitTimeout time without progress after which entries are sent again.
 * @property maxBatchBytes bound of the entries in one message; a single larger entry is sent alone.
 * @property maxInFlightBatches messages with entries sent to one member ahead of its answers.
 * @property maxCommandBytes largest command.
 * @property maxPendingProposals proposals in progress at a leader.
 * @property maxPendingBytes bound of the commands of these proposals together.
 * @property snapshotChunkBytes bound of one part of a snapshot.
 * @property maxSnapshotBytes largest snapshot that is accepted.
 * @property retainedBytes entries kept in memory behind a snapshot, so that a member that lags a little needs no
 *   snapshot.
 * @property joinInterval time between two requests to be admitted.
 * @property contactTimeout silence after which a member no longer counts as in contact.
 * @property replacementDelay silence of a voter after which a spare takes its vote.
 * @property maxPromotionLag entries by which a learner may lag behind to be promoted.
 * @property automaticReplacement whether a leader replaces lost voters by itself.
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
        /** Settings for a group inside one region. */
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
