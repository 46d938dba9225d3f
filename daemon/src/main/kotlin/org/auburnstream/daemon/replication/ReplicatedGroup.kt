package org.auburnstream.daemon.replication

import kotlinx.coroutines.flow.StateFlow
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** Replicated group as seen by one daemon: proposes commands and performs consistent reads through the leader. */
public interface ReplicatedGroup {
    /** Id of the group. */
    public val id: GroupId

    /** Latest known state of this replica. */
    public val status: StateFlow<ReplicaStatus>

    /**
     * Proposes [command] through the leader on any daemon and waits until the leader has committed and applied it.
     *
     * This call proposes the command at most once. A caller that receives [ProposeResult.Unknown] should resend the
     * command with the same operation id. The call may wait for a leader, and the command may be committed in a later
     * term than the one in which the call was made.
     */
    public suspend fun propose(command: ByteArray, timeout: Duration): ProposeResult

    /**
     * Waits until this replica has applied all entries that were committed when the call started.
     *
     * A quorum confirms the leader for each read.
     */
    public suspend fun readBarrier(timeout: Duration): ReadResult
}

/** State of the local replica of a group. */
public data class ReplicaStatus(
    val role: ReplicaRole,
    val term: Long,
    val leader: DaemonId?,
    val commitIndex: LogIndex,
    val appliedIndex: LogIndex,
)

/** Role of a replica in its group. */
public enum class ReplicaRole {
    /** Receives the log but has no vote. */
    LEARNER,

    /** Receives the log and has a vote. */
    FOLLOWER,

    /** Requests votes in an election. */
    CANDIDATE,

    /** Appends and replicates the commands of the group. */
    LEADER,
}

/** Result of a proposal. */
public sealed interface ProposeResult {
    /** The command is committed at [index]; [response] is the result of the state machine. */
    public class Committed(public val index: LogIndex, public val response: ByteArray) : ProposeResult

    /** The command was not and will not be committed. */
    public data class Rejected(val reason: RejectReason) : ProposeResult

    /** The command may or may not be committed. */
    public data object Unknown : ProposeResult
}

/** Reason for which a proposal or read was rejected. */
public enum class RejectReason {
    /** No leader is known. */
    NO_LEADER,

    /** Too many proposals are in progress. */
    OVERLOADED,

    /** The command exceeds the maximum entry size. */
    TOO_LARGE,

    /** The replica is stopping or its storage failed. */
    STOPPED,

    /** This replica does not lead in the term that the command is bound to. */
    NOT_LEADING,
}

/** Result of a read barrier. */
public sealed interface ReadResult {
    /** The local state machine reflects everything committed before the read, up to [index] or later. */
    public data class Ready(val index: LogIndex) : ReadResult

    /** The read was rejected, for example because no quorum confirmed the leader within the timeout. */
    public data class Refused(val reason: RejectReason) : ReadResult
}
