package org.auburnstream.daemon.replication

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.Envelope
import org.auburnstream.consensus.FailureTolerance
import org.auburnstream.consensus.Member
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.MembershipResult
import org.auburnstream.consensus.RaftRole
import org.auburnstream.consensus.Replica
import org.auburnstream.consensus.StateMachine
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StorageError
import org.auburnstream.storage.StoreResult
import org.slf4j.LoggerFactory
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * [ReplicatedGroup] that runs a [Replica] over a [PeerTransport] and a [ReplicaStore].
 *
 * A single coroutine owns the replica and [machine]; store operations run on [storeDispatcher].
 *
 * @param scope scope in which the group's coroutines run.
 * @param clock reads the monotonic clock.
 * @param random source of the election jitter; daemons may share its seed because the daemon id is mixed in.
 * @param processId id of this process; it must never repeat, because the leader detects duplicate requests by it.
 * @param onApplied called on the group's coroutine after entries up to the given index have been applied.
 * @param onFailure called once if the store or the replica fails; this daemon then no longer participates in the group.
 */
public class ReplicatedGroupRunner(
    private val scope: CoroutineScope,
    private val transport: PeerTransport,
    private val machine: StateMachine,
    private val store: ReplicaStore,
    private val configuration: GroupConfiguration,
    private val clock: () -> MonotonicTime,
    private val random: Random,
    private val processId: Long = SecureRandom().nextLong(),
    private val storeDispatcher: CoroutineDispatcher = Dispatchers.IO,
    private val onApplied: (LogIndex) -> Unit = {},
    private val onFailure: (GroupFailure) -> Unit = {},
) : ReplicatedGroup {
    private val inbox = Channel<GroupEvent>(INBOX_CAPACITY)
    private val member =
        Member(
            MemberId(transport.self, store.incarnation),
            durable = store.durable,
            dataCentre = configuration.dataCentre,
        )
    private val writer = StoreWriter(store, storeDispatcher) { inbox.send(GroupEvent.StoreTaskFinished(it)) }
    private val mutableStatus =
        MutableStateFlow(ReplicaStatus(ReplicaRole.LEARNER, 0, null, LogIndex(0), LogIndex(0)))
    private val mutableMembers = MutableStateFlow(Configuration())
    private var job: Job? = null

    @Volatile
    private var lastQuorumContact: MonotonicTime? = null

    @Volatile
    private var isStopped = false

    override val id: GroupId
        get() = configuration.id

    override val status: StateFlow<ReplicaStatus> = mutableStatus.asStateFlow()

    /** Members according to this replica; [membershipStatus] queries the leader. */
    public val members: StateFlow<Configuration> = mutableMembers.asStateFlow()

    /** See [Replica.quorumContactTime]; null unless this replica leads. */
    public val quorumContactTime: MonotonicTime?
        get() = lastQuorumContact

    /**
     * Restores the state machine from the store and starts participating in the group.
     *
     * @return the error if the snapshot cannot be read; the replica is not started in this case.
     */
    public suspend fun start(): StoreResult<Unit> {
        check(job == null) { "group ${configuration.id} was started before" }
        val restored = store.restored
        restored.snapshot?.let { snapshot ->
            when (val read = store.readSnapshot(snapshot, offset = 0, maxBytes = restored.snapshotBytes.toInt())) {
                is StoreResult.Failed -> return read
                is StoreResult.Done -> machine.restore(snapshot.index, checkNotNull(read.value))
            }
        }
        transport.register(PeerChannel.CONSENSUS) { _, payload ->
            ReplicationCodec.decodeEnvelope(payload)?.let { inbox.trySend(GroupEvent.EnvelopeReceived(it)) }
        }
        transport.register(PeerChannel.PROPOSAL) { from, payload ->
            ReplicationCodec.decodeGroupMessage(payload)?.let { inbox.trySend(GroupEvent.MessageReceived(from, it)) }
        }
        val replica = Replica(
            self = member,
            group = configuration.id,
            restored = restored,
            initialVoters = configuration.initialVoters,
            peers = { transport.peers },
            random = Random(random.nextLong() xor transport.self.value.hashCode().toLong()),
            now = clock(),
            settings = configuration.settings,
        )
        job = scope.launch { run(replica) }
        return StoreResult.Done(Unit)
    }

    /** Stops participating in the group, completes all open calls and closes the store. */
    public suspend fun stop() {
        isStopped = true
        job?.cancelAndJoin()
        store.close()
    }

    /** Hands the leadership over if this replica leads; the successor is elected in the background. */
    public fun handOver() {
        inbox.trySend(GroupEvent.HandOverRequested)
    }

    override suspend fun propose(command: ByteArray, timeout: Duration): ProposeResult =
        resultOf(call(PendingCall(RequestBody.Propose(command)), timeout))

    /**
     * Proposes [command] as the leader of [term] and waits until this replica has committed and applied it.
     *
     * Intended for commands that depend on decisions of the leader of one term. Only this replica appends the command,
     * and only while it leads in [term]; the command is never queued for a leader and never forwarded. If this replica
     * does not lead, or leads in another term, it immediately rejects the command with [RejectReason.NOT_LEADING]. An
     * appended command may still be committed after [term] has ended, but before every command of a later term.
     */
    public suspend fun proposeInTerm(term: Long, command: ByteArray, timeout: Duration): ProposeResult =
        resultOf(call(PendingCall(RequestBody.Propose(command), term), timeout))

    override suspend fun readBarrier(timeout: Duration): ReadResult =
        when (val reply = call(PendingCall(RequestBody.Read), timeout)) {
            is ReplyBody.ReadAt -> ReadResult.Ready(reply.index)
            is ReplyBody.Rejected -> ReadResult.Refused(reply.reason)
            else -> ReadResult.Refused(RejectReason.NO_LEADER)
        }

    /** Requests [change] from the leader and waits until the leader has completed it. */
    public suspend fun changeMembership(change: MembershipChange, timeout: Duration): MembershipChangeResult =
        when (val reply = call(PendingCall(RequestBody.ChangeMembership(change)), timeout)) {
            is ReplyBody.MembershipCompleted -> MembershipChangeResult.Completed(reply.result)
            is ReplyBody.Rejected -> MembershipChangeResult.Rejected(reply.reason)
            else -> MembershipChangeResult.Completed(MembershipResult.Unknown)
        }

    /** Queries the leader for the members and the failure tolerance of the group; returns null without a reply. */
    public suspend fun membershipStatus(timeout: Duration): MembershipStatus? =
        (call(PendingCall(RequestBody.Status), timeout) as? ReplyBody.Status)?.let {
            MembershipStatus(it.configuration, it.tolerance)
        }

    private fun resultOf(reply: ReplyBody): ProposeResult = when (reply) {
        is ReplyBody.Committed -> ProposeResult.Committed(reply.index, reply.response)
        is ReplyBody.Rejected -> ProposeResult.Rejected(reply.reason)
        else -> ProposeResult.Unknown
    }

    private suspend fun call(call: PendingCall, timeout: Duration): ReplyBody {
        val accepted = !isStopped && inbox.trySend(GroupEvent.CallSubmitted(call)).isSuccess
        if (!accepted) {
            val reason = if (isStopped) RejectReason.STOPPED else RejectReason.OVERLOADED
            return ReplyBody.Rejected(reason)
        }
        return call.await(minOf(timeout, configuration.maxTimeout))
    }

    private suspend fun run(replica: Replica) {
        val sender = PeerSender(configuration.id, transport)
        val outputs = GroupOutputs(
            sendEnvelope = { to, envelope ->
                sender.send(to, PeerChannel.CONSENSUS, ReplicationCodec.encode(envelope))
            },
            sendGroupMessage = { to, message ->
                sender.send(to, PeerChannel.PROPOSAL, ReplicationCodec.encode(message))
            },
            submitStoreTask = writer::submit,
            onApplied = onApplied,
        )
        val actor = GroupActor(configuration, member.id, replica, machine, clock, processId, outputs)
        val writerJob = scope.launch { runWriter() }
        try {
            processEvents(replica, actor)
        } catch (e: CancellationException) {
            // The state machine may throw one as well, which does not cancel this coroutine.
            currentCoroutineContext().ensureActive()
            fail(failureOf(e))
        } catch (e: Throwable) {
            fail(failureOf(e))
        } finally {
            isStopped = true
            lastQuorumContact = null
            mutableStatus.update { it.copy(role = ReplicaRole.LEARNER, leader = null) }
            withContext(NonCancellable) { writerJob.cancelAndJoin() }
            actor.close()
            rejectQueuedCalls()
        }
    }

    /** Runs the writer; the replica would wait forever for the writes of one that has ended. */
    private suspend fun runWriter() {
        try {
            writer.run()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            inbox.send(GroupEvent.WriterEnded(e))
        }
    }

    private suspend fun processEvents(replica: Replica, actor: GroupActor) {
        while (true) {
            val event = nextEvent(actor.deadline)
            if (event is GroupEvent.StoreTaskFinished && event.result is StoreTaskResult.Failed) {
                return fail(GroupFailure.Storage(event.result.error))
            }
            if (event is GroupEvent.WriterEnded) return fail(GroupFailure.Ended(event.cause.toString()))
            handle(actor, event)
            publish(replica, actor)
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextEvent(deadline: MonotonicTime): GroupEvent? {
        val timeout = maxOf(deadline - clock(), MIN_WAIT)
        return select {
            inbox.onReceive { it }
            onTimeout(timeout) { null }
        }
    }

    private fun handle(actor: GroupActor, event: GroupEvent?) {
        when (event) {
            null -> Unit
            is GroupEvent.EnvelopeReceived -> actor.onEnvelope(event.envelope)
            is GroupEvent.MessageReceived -> actor.onGroupMessage(event.from, event.message)
            is GroupEvent.CallSubmitted -> actor.onCall(event.call)
            is GroupEvent.StoreTaskFinished -> actor.onStoreTaskResult(event.result)
            GroupEvent.HandOverRequested -> actor.onHandOver()
            is GroupEvent.WriterEnded -> Unit
        }
        if (clock() >= actor.deadline) actor.tick()
    }

    private fun publish(replica: Replica, actor: GroupActor) {
        lastQuorumContact = replica.quorumContactTime
        mutableMembers.value = replica.configuration
        mutableStatus.value = ReplicaStatus(
            role = roleOf(replica),
            term = replica.term,
            leader = replica.leader?.daemon,
            commitIndex = replica.commitIndex,
            appliedIndex = actor.appliedIndex,
        )
    }

    private fun roleOf(replica: Replica): ReplicaRole = when {
        replica.role == RaftRole.LEADER -> ReplicaRole.LEADER
        !replica.configuration.isVoter(member.id) -> ReplicaRole.LEARNER
        replica.role == RaftRole.FOLLOWER -> ReplicaRole.FOLLOWER
        else -> ReplicaRole.CANDIDATE
    }

    private fun failureOf(cause: Throwable): GroupFailure = when (cause) {
        is RuntimeException -> GroupFailure.Inconsistent(cause.toString())
        else -> GroupFailure.Ended(cause.toString())
    }

    private fun fail(failure: GroupFailure) {
        logger.error("event=group_failed group={} failure=\"{}\"", configuration.id, failure.message)
        onFailure(failure)
    }

    private fun rejectQueuedCalls() {
        while (true) {
            val event = inbox.tryReceive().getOrNull() ?: return
            if (event is GroupEvent.CallSubmitted) event.call.complete(ReplyBody.Rejected(RejectReason.STOPPED))
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(ReplicatedGroupRunner::class.java)
        val MIN_WAIT = 1.milliseconds
        const val INBOX_CAPACITY = 4096
    }
}

/** Failure for which a replica stopped participating in its group. */
public sealed interface GroupFailure {
    /** Message for the operator. */
    public val message: String

    /** The store failed. */
    public data class Storage(val error: StorageError) : GroupFailure {
        override val message: String
            get() = error.message
    }

    /** The replica detected that its log conflicts with itself or with a peer's, or the state machine threw. */
    public data class Inconsistent(val detail: String) : GroupFailure {
        override val message: String
            get() = "replicated state is inconsistent: $detail; keep the data folder for analysis"
    }

    /** The replica or its writer ended by an error that says nothing about the state, such as a lack of memory. */
    public data class Ended(val cause: String) : GroupFailure {
        override val message: String
            get() = "the replica ended: $cause; restart the process"
    }
}

/** Members and failure tolerance of a group as reported by its leader. */
public data class MembershipStatus(val configuration: Configuration, val tolerance: FailureTolerance)

/** Result of a membership change requested on any daemon. */
public sealed interface MembershipChangeResult {
    /** The leader completed or refused the change, or its outcome is unknown. */
    public data class Completed(val result: MembershipResult) : MembershipChangeResult

    /** The request was rejected before a leader processed it. */
    public data class Rejected(val reason: RejectReason) : MembershipChangeResult
}

private sealed interface GroupEvent {
    class EnvelopeReceived(val envelope: Envelope) : GroupEvent

    class MessageReceived(val from: DaemonId, val message: GroupMessage) : GroupEvent

    class CallSubmitted(val call: PendingCall) : GroupEvent

    class StoreTaskFinished(val result: StoreTaskResult) : GroupEvent

    class WriterEnded(val cause: Throwable) : GroupEvent

    data object HandOverRequested : GroupEvent
}
