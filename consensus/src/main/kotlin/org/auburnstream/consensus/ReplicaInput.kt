package org.auburnstream.consensus

/** Input of a [Replica]. */
public sealed interface ReplicaInput {
    /** Time has passed; due at [Replica.nextDeadline] at the latest. */
    public data object Tick : ReplicaInput

    /** A message arrived. */
    public data class MessageReceived(val envelope: Envelope) : ReplicaInput

    /** A client of this replica proposes [command]. */
    public class Propose(public val id: ProposalId, public val command: ByteArray) : ReplicaInput

    /** Everything asked for by [Effect.Persist] and [Effect.InstallSnapshot] up to [sequence] is durable. */
    public data class PersistCompleted(val sequence: Long) : ReplicaInput

    /** A client of this replica asks for a linearizable read. */
    public data class ReadRequested(val id: ReadId) : ReplicaInput

    /** An operator asks for a change of the members. */
    public data class MembershipRequested(val id: MembershipRequestId, val change: MembershipChange) : ReplicaInput

    /** The state machine's snapshot is durable; the log up to it is not needed any more. */
    public data class SnapshotTaken(val metadata: SnapshotMetadata, val bytes: Long) : ReplicaInput
}

/** Identifies a proposal within the replica it was made at. */
@JvmInline
public value class ProposalId(public val value: Long)

/** Identifies a read within the replica it was made at. */
@JvmInline
public value class ReadId(public val value: Long)

/** Identifies a membership request within the replica it was made at. */
@JvmInline
public value class MembershipRequestId(public val value: Long)
