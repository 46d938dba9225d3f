package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random

/**
 * One replica of a group: decides on elections, replication and membership.
 *
 * Follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), with pre-vote, a check
 * of the quorum by the leader, reads confirmed by a quorum and membership by joint configurations. The shell feeds
 * inputs one at a time and carries out the effects in order. A replica is not thread-safe.
 *
 * @param self this replica; its role is ignored, the group's configuration decides.
 * @param restored what the store holds.
 * @param initialVoters daemons that form the group if it does not exist yet.
 * @param peers other daemons that can be asked for admission; read at each request, since more may become known.
 * @param random source of the election jitter.
 * @param now reading of the clock at the start.
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

    /** Leader that this replica follows or is, or null. */
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

    /** When [handle] must be called at the latest, with [ReplicaInput.Tick] if nothing else arrives. */
    public val nextDeadline: MonotonicTime
        get() {
            val roleDeadline = activeLeader?.deadline ?: core.electionDeadline
            return minOf(bootstrap.deadline, roleDeadline)
        }

    /**
     * When the latest heartbeat that a quorum answered was sent, or null if this replica does not lead.
     *
     * No other leader can be elected before [ReplicaSettings.electionTimeoutMin] has passed since then, so leases
     * may be granted from this time on.
     */
    public val quorumContactTime: MonotonicTime?
        get() = activeLeader?.quorumContactTime

    /** How many losses the group survives, or null if this replica does not lead. */
    public val failureTolerance: FailureTolerance?
        get() = activeLeader?.failureTolerance()

    /**
     * Handles [input] at the reading [now] and returns what the shell must do.
     *
     * @throws IllegalStateException if the log contradicts itself or another replica; the replica must stop then.
     */
    public fun handle(input: ReplicaInput, now: MonotonicTime): List<Effect> {
        core.now = now
        // A process that was frozen must notice before it acts on anything that queued up meanwhile.
        activeLeader?.checkQuorum()
        disposeDeposedLeader()
        dispatch(input)
        val effects = core.outbox.drain()
        disposeDeposedLeader()
        return effects + core.outbox.drain()
    }

    /** Returns what a snapshot of the state machine after [applied] stands for. */
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
