package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex

/** Output of a [Replica]; the caller of [Replica.handle] executes the effects in the returned order. */
public sealed interface Effect {
    /** Send [envelope] to the daemon [to]; delivery is not guaranteed. */
    public data class Send(val to: DaemonId, val envelope: Envelope) : Effect

    /**
     * Make durable, in this order: [hardState], the removal of all entries from [truncateFrom] on, and [entries].
     *
     * Writes are executed in order of [sequence]; several may share one sync. [ReplicaInput.PersistCompleted] reports
     * the last sequence that is durable.
     */
    public data class Persist(
        val sequence: Long,
        val hardState: HardState?,
        val truncateFrom: LogIndex?,
        val entries: List<LogEntry>,
    ) : Effect

    /** Apply the committed [entries], which follow the last applied entry. */
    public data class Apply(val entries: List<LogEntry>) : Effect

    /** Replace the stored log by the snapshot, restore the state machine from it, then report [sequence] as durable. */
    public class InstallSnapshot(
        public val sequence: Long,
        public val metadata: SnapshotMetadata,
        public val bytes: ByteArray,
    ) : Effect

    /** Send at most [maxBytes] of the latest durable snapshot, starting at [offset]. */
    public data class SendSnapshotChunk(
        val to: MemberId,
        val term: Long,
        val metadata: SnapshotMetadata,
        val offset: Long,
        val maxBytes: Int,
    ) : Effect

    /** Report that the proposal is committed at [index]; precedes the [Apply] that carries its entry. */
    public data class CompleteProposal(val id: ProposalId, val index: LogIndex) : Effect

    /** Report that the proposal is not and will not be committed. */
    public data class RejectProposal(val id: ProposalId, val reason: ProposalRefusal) : Effect

    /** Report that the outcome of the proposal is unknown: it may or may not be committed. */
    public data class AbandonProposal(val id: ProposalId) : Effect

    /** Report that the read may be served once the entry at [index] is applied. */
    public data class CompleteRead(val id: ReadId, val index: LogIndex) : Effect

    /** Report that the read cannot be served, since this replica does not lead or lost its leadership. */
    public data class RejectRead(val id: ReadId) : Effect

    /** Report the result of a membership request. */
    public data class CompleteMembership(val id: MembershipRequestId, val result: MembershipResult) : Effect
}

/** Why a proposal was refused. */
public enum class ProposalRefusal {
    /** This replica is not the leader. */
    NOT_LEADER,

    /** The pending proposals have reached their limit in number or bytes. */
    OVERLOADED,

    /** The command is larger than [ReplicaSettings.maxCommandBytes]. */
    TOO_LARGE,

    /** Another leader's entry was committed at the index of the proposal. */
    SUPERSEDED,
}
