package org.auburnstream.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex

/**
 * Message between members with its addresses.
 *
 * Serial names are short because heartbeats make up most of the traffic at rest.
 *
 * @property to incarnation that the message is meant for, or null for whichever the receiver has.
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
    /** Asks for a vote in [term], or with [preVote] whether the vote would be given (pre-vote). */
    @Serializable
    @SerialName("v")
    public data class VoteRequest(
        @SerialName("t") val term: Long,
        @SerialName("li") val lastIndex: LogIndex,
        @SerialName("lt") val lastTerm: Long,
        @SerialName("p") val preVote: Boolean = false,
    ) : ConsensusMessage

    /** Answers a [VoteRequest]; [term] is the asked term if granted, else the term of the voter. */
    @Serializable
    @SerialName("w")
    public data class VoteResponse(
        @SerialName("t") val term: Long,
        @SerialName("g") val granted: Boolean,
        @SerialName("p") val preVote: Boolean = false,
    ) : ConsensusMessage

    /** Sends the entries that follow [previousIndex]. */
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
     * @property matchIndex last index known to match if [success], else the index from which to try again.
     * @property previousIndex that of the request.
     */
    @Serializable
    @SerialName("b")
    public data class AppendResponse(
        @SerialName("t") val term: Long,
        @SerialName("s") val success: Boolean,
        @SerialName("m") val matchIndex: LogIndex,
        @SerialName("pi") val previousIndex: LogIndex,
    ) : ConsensusMessage

    /** Keeps the leadership of [term]; [round] numbers the leader's broadcasts. */
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

    /** Part of a snapshot of [totalBytes] bytes, starting at [offset]. */
    @Serializable
    @SerialName("s")
    public class SnapshotChunk(
        @SerialName("t") public val term: Long,
        @SerialName("s") public val metadata: SnapshotMetadata,
        @SerialName("o") public val offset: Long,
        @SerialName("n") public val totalBytes: Long,
        @SerialName("b") public val bytes: ByteArray,
    ) : ConsensusMessage

    /** Answers a [SnapshotChunk]: the receiver holds the first [nextOffset] bytes, or all of it durably if [done]. */
    @Serializable
    @SerialName("u")
    public data class SnapshotResponse(
        @SerialName("t") val term: Long,
        @SerialName("i") val index: LogIndex,
        @SerialName("o") val nextOffset: Long,
        @SerialName("d") val done: Boolean = false,
    ) : ConsensusMessage

    /** Asks to be admitted as a learner, or to form the group if none exists yet. */
    @Serializable
    @SerialName("j")
    public data class JoinRequest(@SerialName("m") val member: Member) : ConsensusMessage

    /**
     * Answers a [JoinRequest].
     *
     * @property senderIsEmpty whether the sender holds nothing of a group either.
     * @property genesis first entry of the group if the sender still holds it and it lists the asking member.
     */
    @Serializable
    @SerialName("k")
    public data class JoinResponse(
        @SerialName("m") val member: Member,
        @SerialName("f") val senderIsEmpty: Boolean,
        @SerialName("g") val genesis: LogEntry? = null,
    ) : ConsensusMessage
}
