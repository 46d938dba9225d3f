package org.auburnstream.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex

/**
 * Message between two replicas of a group, with its sender and receiver.
 *
 * Serial names are short because heartbeats make up most of the traffic of an idle group.
 *
 * @property to incarnation of the receiver, or null if any incarnation may handle the message.
 */
@Serializable
public data class Envelope(
    @SerialName("g") val group: GroupId,
    @SerialName("f") val from: MemberId,
    @SerialName("t") val to: Incarnation? = null,
    @SerialName("m") val message: ConsensusMessage,
)

/** Message of the replication protocol. */
@Serializable
public sealed interface ConsensusMessage {
    /**
     * Requests a vote in [term]; with [preVote], only asks whether the vote would be granted.
     *
     * @property handedOver whether the leader of the previous term has asked the sender to take over.
     */
    @Serializable
    @SerialName("v")
    public data class VoteRequest(
        @SerialName("t") val term: Long,
        @SerialName("li") val lastIndex: LogIndex,
        @SerialName("lt") val lastTerm: Long,
        @SerialName("p") val preVote: Boolean = false,
        @SerialName("h") val handedOver: Boolean = false,
    ) : ConsensusMessage

    /** Asks a voter to campaign at once, because the leader of [term] has stepped down in its favour. */
    @Serializable
    @SerialName("o")
    public data class HandOver(@SerialName("t") val term: Long) : ConsensusMessage

    /** Answers a [VoteRequest]; [term] is the requested term if granted, else the term of the voter. */
    @Serializable
    @SerialName("w")
    public data class VoteResponse(
        @SerialName("t") val term: Long,
        @SerialName("g") val granted: Boolean,
        @SerialName("p") val preVote: Boolean = false,
    ) : ConsensusMessage

    /** Replicates the entries that follow [previousIndex], whose entry has [previousTerm]. */
    @Serializable
    @SerialName("a")
    public data class AppendRequest(
        @SerialName("t") val term: Long,
        @SerialName("pi") val previousIndex: LogIndex,
        @SerialName("pt") val previousTerm: Long,
        @SerialName("e") val entries: List<LogEntry>,
        @SerialName("c") val commitIndex: LogIndex,
    ) : ConsensusMessage

    /**
     * Answers an [AppendRequest] once the entries are durable.
     *
     * @property matchIndex last index known to match if [success], else the index from which the leader should retry.
     * @property previousIndex previous index of the request.
     */
    @Serializable
    @SerialName("b")
    public data class AppendResponse(
        @SerialName("t") val term: Long,
        @SerialName("s") val success: Boolean,
        @SerialName("m") val matchIndex: LogIndex,
        @SerialName("pi") val previousIndex: LogIndex,
    ) : ConsensusMessage

    /** Announces the leader of [term] and prevents elections; [round] numbers the leader's broadcasts. */
    @Serializable
    @SerialName("h")
    public data class Heartbeat(
        @SerialName("t") val term: Long,
        @SerialName("r") val round: Long,
        @SerialName("c") val commitIndex: LogIndex,
    ) : ConsensusMessage

    /** Answers a [Heartbeat]. */
    @Serializable
    @SerialName("i")
    public data class HeartbeatResponse(@SerialName("t") val term: Long, @SerialName("r") val round: Long) :
        ConsensusMessage

    /** Transfers the part of a snapshot that starts at [offset]; the whole snapshot has [totalBytes] bytes. */
    @Serializable
    @SerialName("s")
    public class SnapshotChunk(
        @SerialName("t") public val term: Long,
        @SerialName("s") public val metadata: SnapshotMetadata,
        @SerialName("o") public val offset: Long,
        @SerialName("n") public val totalBytes: Long,
        @SerialName("b") public val bytes: ByteArray,
    ) : ConsensusMessage

    /** Answers a [SnapshotChunk]: the first [nextOffset] bytes are received, or the snapshot is durable if [done]. */
    @Serializable
    @SerialName("u")
    public data class SnapshotResponse(
        @SerialName("t") val term: Long,
        @SerialName("i") val index: LogIndex,
        @SerialName("o") val nextOffset: Long,
        @SerialName("d") val done: Boolean = false,
    ) : ConsensusMessage

    /** Requests admission as a learner, or the formation of the group if it does not exist yet. */
    @Serializable
    @SerialName("j")
    public data class JoinRequest(@SerialName("m") val member: Member) : ConsensusMessage

    /**
     * Answers a [JoinRequest].
     *
     * @property senderIsEmpty whether the log of the sender is empty, so that it does not know of an existing group.
     * @property genesis first log entry of the group if the sender still has it and it lists the requester as a voter.
     */
    @Serializable
    @SerialName("k")
    public data class JoinResponse(
        @SerialName("m") val member: Member,
        @SerialName("f") val senderIsEmpty: Boolean,
        @SerialName("g") val genesis: LogEntry? = null,
    ) : ConsensusMessage
}
