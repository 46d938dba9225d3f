package org.auburnstream.consensus

/** Input of a [Replica]. */
public sealed interface ReplicaInput {
    /** Time has passed; due by [Replica.nextDeadline]. */
    public data object Tick : ReplicaInput

    /** A message from another replica arrived. */
    public data class MessageReceived(val envelope: Envelope) : ReplicaInput

    /** A client of this replica proposes [command]. */
    public class Propose(public val id: ProposalId, public val command: ByteArray) : ReplicaInput

    /** All writes of [Effect.Persist] and [Effect.InstallSnapshot] up to [sequence] are durable. */
    public data class PersistCompleted(val sequence: Long) : ReplicaInput

    /** A client of this replica requests a linearizable read. */
    public data class ReadRequested(val id: ReadId) : ReplicaInput

    /** An operator requests a membership change. */
    public data class MembershipRequested(val id: MembershipRequestId, val change: MembershipChange) : ReplicaInput

    /** The process is about to stop; a leader hands its role over, see [ReplicaSettings.allowsHandOver]. */
    public data object HandOverRequested : ReplicaInput

    /** A snapshot of the state machine is durable; the log entries that it covers are no longer needed. */
    public data class SnapshotTaken(val metadata: SnapshotMetadata, val bytes: Long) : ReplicaInput
}

/** Identifies a proposal within the replica that received it. */
@JvmInline
public value class ProposalId(public val value: Long)

/** Identifies a read within the replica that received it. */
@JvmInline
public value class ReadId(public val value: Long)

/** Identifies a membership request within the replica that received it. */
@JvmInline
public value class MembershipRequestId(public val value: Long)
