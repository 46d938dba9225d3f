package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random

/**
 * One replica of a Raft group, as a state machine without I/O: handles elections, replication and membership.
 *
 * Implements Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), with pre-vote, a
 * quorum check by the leader, reads confirmed by a quorum, membership changes by joint configurations and the
 * transfer of leadership (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 3.10). The caller passes
 * inputs to [handle] one at a time and executes the returned effects in order. A replica is not thread-safe.
 *
 * @param self this replica; its role is ignored, since the group's configuration determines it.
 * @param restored state read from the store.
 * @param initialVoters daemons that form the group if it does not exist yet.
 * @param peers returns the daemons to ask for admission; called for each request, since more may become known.
 * @param random source of the random part of election timeouts.
 * @param now clock reading at the start.
 */
public class Replica(
    self: Member,
    group: GroupId,
    restored: RestoredState,
    initialVoters: Set<DaemonId>,
    peers: () -> Set<DaemonId>,
    random: Random,
    now: MonotonicTime,
    settings: ReplicaSettings = ReplicaSettings.Default,
) {
    private val core = ReplicaCore(self, group, restored, settings, random, now)
    private val election = Election(core, ::becomeLeader)
    private val follower = Follower(core)
    private val bootstrap = GroupBootstrap(core, initialVoters.takeIf { self.durable }.orEmpty(), peers)
    private var activeLeader: Leader? = null

    /** Current term. */
    public val term: Long
        get() = core.term

    /** Role in the election. */
    public val role: RaftRole
        get() = core.role

    /** Leader known to this replica, which may be itself, or null if none is known. */
    public val leader: MemberId?
        get() = core.leader

    /** Last index known to be committed. */
    public val commitIndex: LogIndex
        get() = core.commitIndex

    /** Last index of the log, committed or not. */
    public val lastIndex: LogIndex
        get() = core.log.lastIndex

    /** Size in bytes of the latest snapshot that the store holds. */
    public val snapshotBytes: Long
        get() = core.snapshotBytes

    /** Latest configuration, committed or not. */
    public val configuration: Configuration
        get() = core.configuration

    /** Latest time for the next call of [handle], with [ReplicaInput.Tick] if no other input arrives. */
    public val nextDeadline: MonotonicTime
        get() {
            val roleDeadline = activeLeader?.deadline ?: core.electionDeadline
            return minOf(bootstrap.deadline, roleDeadline)
        }

    /**
     * Send time of the latest heartbeat that a quorum answered, or null before the first one and if this replica does
     * not lead.
     *
     * No other leader can be elected before [ReplicaSettings.electionTimeoutMin] has passed since that time, so leases
     * may be granted relative to it.
     */
    public val quorumContactTime: MonotonicTime?
        get() = activeLeader?.quorumContactTime

    /** Number of voter losses that the group survives, or null if this replica does not lead. */
    public val failureTolerance: FailureTolerance?
        get() = activeLeader?.failureTolerance()

    /**
     * Handles [input] at the clock reading [now] and returns the effects for the caller to execute.
     *
     * @throws IllegalStateException if the log contradicts itself or another replica; the replica must then be stopped.
     */
    public fun handle(input: ReplicaInput, now: MonotonicTime): List<Effect> {
        core.now = now
        // After a process pause, a leader must detect a lost quorum before it handles the inputs that queued up.
        activeLeader?.checkQuorum()
        disposeDeposedLeader()
        dispatch(input)
        val effects = core.outbox.drain()
        disposeDeposedLeader()
        return effects + core.outbox.drain()
    }

    /** Returns the metadata for a snapshot of the state machine after [applied]. */
    public fun snapshotMetadata(applied: LogIndex): SnapshotMetadata {
        val term = checkNotNull(core.log.termAt(applied)) { "entry $applied is not in the log" }
        return SnapshotMetadata(applied, term, core.log.configurationAt(applied))
    }

    private fun dispatch(input: ReplicaInput) {
        when (input) {
            ReplicaInput.Tick -> tick()
            is ReplicaInput.MessageReceived -> receive(input.envelope)
            is ReplicaInput.Propose -> propose(input)
            is ReplicaInput.PersistCompleted -> core.outbox.onPersistCompleted(input.sequence)
            is ReplicaInput.ReadRequested -> read(input.id)
            is ReplicaInput.MembershipRequested -> changeMembership(input)
            ReplicaInput.HandOverRequested -> activeLeader?.handOver()
            is ReplicaInput.SnapshotTaken -> compact(input)
        }
    }

    private fun tick() {
        bootstrap.tick()
        activeLeader?.tick() ?: election.tick()
    }

    private fun receive(envelope: Envelope) {
        val isForOtherIncarnation = envelope.to != null && envelope.to != core.id.incarnation
        if (envelope.group != core.group || isForOtherIncarnation) return
        val from = envelope.from
        when (val message = envelope.message) {
            is ConsensusMessage.Heartbeat -> follower.onHeartbeat(from, message)
            is ConsensusMessage.AppendRequest -> follower.onAppend(from, message)
            is ConsensusMessage.SnapshotChunk -> follower.onSnapshotChunk(from, message)
            is ConsensusMessage.HeartbeatResponse -> activeLeader?.onHeartbeatResponse(from, message)
            is ConsensusMessage.AppendResponse -> activeLeader?.onAppendResponse(from, message)
            is ConsensusMessage.SnapshotResponse -> activeLeader?.onSnapshotResponse(from, message)
            is ConsensusMessage.VoteRequest -> election.onVoteRequest(from, message)
            is ConsensusMessage.VoteResponse -> if (core.configuration.isVoter(
                    from,
                )
            ) {
                election.onVoteResponse(from, message)
            }
            is ConsensusMessage.HandOver -> election.onHandOver(from, message)
            is ConsensusMessage.JoinRequest -> handleJoinRequest(from, message)
            is ConsensusMessage.JoinResponse -> bootstrap.onJoinResponse(message)
        }
    }

    private fun handleJoinRequest(from: MemberId, request: ConsensusMessage.JoinRequest) {
        bootstrap.onJoinRequest(from)
        activeLeader?.onJoinRequest(request.member)
    }

    private fun propose(input: ReplicaInput.Propose) {
        val refusal = Effect.RejectProposal(input.id, ProposalRefusal.NOT_LEADER)
        activeLeader?.propose(input.id, input.command) ?: core.outbox.emit(refusal)
    }

    private fun read(id: ReadId) {
        activeLeader?.read(id) ?: core.outbox.emit(Effect.RejectRead(id))
    }

    private fun changeMembership(input: ReplicaInput.MembershipRequested) {
        val refusal = MembershipResult.Refused(MembershipRefusal.NOT_LEADER)
        activeLeader?.changeMembership(input.id, input.change)
            ?: core.outbox.emit(Effect.CompleteMembership(input.id, refusal))
    }

    private fun compact(input: ReplicaInput.SnapshotTaken) {
        val latestSnapshotIndex = core.snapshot?.index ?: NoIndex
        if (input.metadata.index <= latestSnapshotIndex) return
        core.snapshot = input.metadata
        core.snapshotBytes = input.bytes
        core.log.compact(input.metadata.index, core.settings.retainedBytes)
    }

    private fun becomeLeader() {
        core.becomeLeader()
        activeLeader = Leader(core).also { it.start() }
    }

    private fun disposeDeposedLeader() {
        if (core.role == RaftRole.LEADER) return
        activeLeader?.dispose()
        activeLeader = null
    }
}
