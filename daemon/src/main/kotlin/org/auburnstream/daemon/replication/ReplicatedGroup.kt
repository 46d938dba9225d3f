package org.auburnstream.daemon.replication

import kotlinx.coroutines.flow.StateFlow
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** One daemon's part in a replicated group: proposes commands and reads through the group's leader. */
public interface ReplicatedGroup {
    /** Id of the group. */
    public val id: GroupId

    /** Latest known state of this replica. */
    public val status: StateFlow<ReplicaStatus>

    /**
     * Proposes [command] through the leader, wherever it is, and waits until it is committed and applied there.
     *
     * The command is proposed at most once by this call; a caller that gets [ProposeResult.Unknown] resends it with
     * the same operation id. It may wait for a leader, and be committed under a later term than that of the call.
     */
    public suspend fun propose(command: ByteArray, timeout: Duration): ProposeResult

    /**
     * Waits until this replica has applied everything that was committed when the call began, confirmed by a quorum.
     */
    public suspend fun readBarrier(timeout: Duration): ReadResult
}

/** State of one replica as seen by itself. */
public data class ReplicaStatus(
    val role: ReplicaRole,
    val term: Long,
    val leader: DaemonId?,
    val commitIndex: LogIndex,
    val appliedIndex: LogIndex,
)

/** Role of a replica in its group. */
public enum class ReplicaRole {
    /** Follows without a vote. */
    LEARNER,

    /** Follows with a vote. */
    FOLLOWER,

    /** Asks for votes. */
    CANDIDATE,

    /** Orders the commands of the group. */
    LEADER,
}

/** Result of a proposal. */
public sealed interface ProposeResult {
    /** The command is committed at [index]; [response] is what the state machine returned. */
    public class Committed(public val index: LogIndex, public val response: ByteArray) : ProposeResult

    /** The command was not and will not be committed. */
    public data class Rejected(val reason: RejectReason) : ProposeResult

    /** The command may or may not be committed. */
    public data object Unknown : ProposeResult
}

/** Why a proposal or read was refused. */
public enum class RejectReason {
    /** No leader is known. */
    NO_LEADER,

    /** Too many proposals are in progress. */
    OVERLOADED,

    /** The command exceeds the largest entry. */
    TOO_LARGE,

    /** The replica is stopping or its storage failed. */
    STOPPED,

    /** This replica does not lead in the term that the command belongs to. */
    NOT_LEADING,
}

/** Result of a read barrier. */
public sealed interface ReadResult {
    /** The local state machine reflects everything committed before the read, up to [index] or later. */
    public data class Ready(val index: LogIndex) : ReadResult

    /** No quorum confirmed the leader in time. */
    public data class Refused(val reason: RejectReason) : ReadResult
}
