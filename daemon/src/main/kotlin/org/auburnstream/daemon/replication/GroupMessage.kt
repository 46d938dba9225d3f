package org.auburnstream.daemon.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.FailureTolerance
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.MembershipResult
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex

/** Message that a daemon exchanges with the leader of a group to execute requests of its local callers. */
@Serializable
internal sealed interface GroupMessage {
    val group: GroupId

    /**
     * Requests the leader of [term] to execute [body].
     *
     * @property processId random number drawn at process start, which keeps [correlation] unique across restarts.
     * @property settledBelow correlation below which the sender no longer awaits any reply.
     */
    @Serializable
    @SerialName("q")
    data class Request(
        override val group: GroupId,
        @SerialName("process")
        val processId: Long,
        val correlation: Long,
        val settledBelow: Long,
        val term: Long,
        val body: RequestBody,
    ) : GroupMessage

    /** Replies to the request with the same [processId] and [correlation]. */
    @Serializable
    @SerialName("a")
    data class Reply(
        override val group: GroupId,
        @SerialName("process")
        val processId: Long,
        val correlation: Long,
        val body: ReplyBody,
    ) : GroupMessage
}

/** Operation that a daemon requests from the leader. */
@Serializable
internal sealed interface RequestBody {
    /** Whether the request must be executed at most once because a second execution could have a second effect. */
    val isAtMostOnce: Boolean

    @Serializable
    @SerialName("p")
    class Propose(val command: ByteArray) : RequestBody {
        override val isAtMostOnce: Boolean
            get() = true
    }

    @Serializable
    @SerialName("r")
    data object Read : RequestBody {
        override val isAtMostOnce: Boolean
            get() = false
    }

    @Serializable
    @SerialName("m")
    data class ChangeMembership(val change: MembershipChange) : RequestBody {
        override val isAtMostOnce: Boolean
            get() = true
    }

    @Serializable
    @SerialName("s")
    data object Status : RequestBody {
        override val isAtMostOnce: Boolean
            get() = false
    }
}

/** Outcome of a request. */
@Serializable
internal sealed interface ReplyBody {
    @Serializable
    @SerialName("c")
    class Committed(val index: LogIndex, val response: ByteArray) : ReplyBody

    @Serializable
    @SerialName("r")
    data class Rejected(val reason: RejectReason) : ReplyBody

    /** The command may or may not be committed. */
    @Serializable
    @SerialName("u")
    data object Unknown : ReplyBody

    /** The replica does not lead in the term of the request; it did not execute this copy of the request. */
    @Serializable
    @SerialName("n")
    data object NotLeader : ReplyBody

    @Serializable
    @SerialName("i")
    data class ReadAt(val index: LogIndex) : ReplyBody

    @Serializable
    @SerialName("m")
    data class MembershipCompleted(val result: MembershipResult) : ReplyBody

    @Serializable
    @SerialName("s")
    data class Status(val configuration: Configuration, val tolerance: FailureTolerance) : ReplyBody
}
