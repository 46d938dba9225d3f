package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex

/** Output of a [Replica], carried out by its shell in the order given. */
public sealed interface Effect {
    /** Send [envelope] to the daemon [to], best effort. */
    public data class Send(val to: DaemonId, val envelope: Envelope) : Effect

    /**
     * Make durable, in this order: [hardState], the removal of all entries from [truncateFrom] on, and [entries].
     *
     * Calls are carried out in order of [sequence]; several may share one sync. [ReplicaInput.PersistCompleted]
     * reports the last sequence that is durable.
     */
    public data class Persist(
        val sequence: Long,
        val hardState: HardState?,
        val truncateFrom: LogIndex?,
        val entries: List<LogEntry>,
    ) : Effect

    /** Apply [entries], which follow the last applied entry. */
    public data class Apply(val entries: List<LogEntry>) : Effect

    /** Make the snapshot durable in place of the whole log, restore the state machine, then report [sequence]. */
    public class InstallSnapshot(
        public val sequence: Long,
        public val metadata: SnapshotMetadata,
        public val bytes: ByteArray,
    ) : Effect

    /** Send the part of the latest durable snapshot that starts at [offset], of [maxBytes] at most. */
    public data class SendSnapshotChunk(
        val to: MemberId,
        val term: Long,
        val metadata: SnapshotMetadata,
        val offset: Long,
        val maxBytes: Int,
    ) : Effect

    /** The proposal is committed at [index]; precedes the [Apply] that carries its entry. */
    public data class CompleteProposal(val id: ProposalId, val index: LogIndex) : Effect

    /** The proposal is not and will not be committed. */
    public data class RejectProposal(val id: ProposalId, val reason: ProposalRefusal) : Effect

    /** The proposal may or may not be committed. */
    public data class AbandonProposal(val id: ProposalId) : Effect

    /** The read may be served once the entry at [index] is applied. */
    public data class CompleteRead(val id: ReadId, val index: LogIndex) : Effect

    /** The read was not confirmed by a quorum. */
    public data class RejectRead(val id: ReadId) : Effect

    /** The membership request has ended. */
    public data class CompleteMembership(val id: MembershipRequestId, val result: MembershipResult) : Effect
}

/** Why a proposal was refused. */
public enum class ProposalRefusal {
    /** This replica does not lead. */
    NOT_LEADER,

    /** Too many proposals are not committed yet. */
    OVERLOADED,

    /** The command is larger than [ReplicaSettings.maxCommandBytes]. */
    TOO_LARGE,

    /** Another leader's entry was committed in its place. */
    SUPERSEDED,
}
