package org.auburnstream.daemon.replication

import org.auburnstream.consensus.ConsensusMessage
import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.EntryPayload
import org.auburnstream.consensus.Envelope
import org.auburnstream.consensus.LogEntry
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.RaftRole
import org.auburnstream.consensus.Replica
import org.auburnstream.consensus.ReplicaInput
import org.auburnstream.consensus.StateMachine
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory

/**
 * Owns the replica and the state machine of one group and executes the effects that the replica requests.
 *
 * Not thread-safe: all functions must be called from the group's coroutine.
 */
internal class GroupActor(
    private val configuration: GroupConfiguration,
    private val self: MemberId,
    private val replica: Replica,
    private val machine: StateMachine,
    private val clock: () -> MonotonicTime,
    processId: Long,
    private val outputs: GroupOutputs,
) {
    private val requests = LeaderRequests(replica, ::handleInput)
    private val receivedRequests = RequestTable(configuration.maxTimeout * 2, MAX_REMEMBERED_REQUESTS)
    private val forwarder =
        CallForwarder(configuration, replica, requests, processId, { appliedIndex }, outputs.sendGroupMessage)
    private val snapshots = SnapshotTrigger(configuration)

    /** Index of the last entry that the state machine has applied. */
    var appliedIndex = replica.commitIndex
        private set
    private var loggedRole = RaftRole.FOLLOWER

    /** Time at which [tick] is due. */
    val deadline: MonotonicTime
        get() = forwarder.deadline?.let { minOf(it, replica.nextDeadline) } ?: replica.nextDeadline

    fun tick() {
        handleInput(ReplicaInput.Tick)
        forwarder.tick(clock())
    }

    fun onHandOver() = handleInput(ReplicaInput.HandOverRequested)

    fun onCall(call: PendingCall) = forwarder.accept(call, clock())

    fun onEnvelope(envelope: Envelope) {
        handleInput(ReplicaInput.MessageReceived(envelope))
        forwarder.dispatchWaiting(clock())
    }

    fun onGroupMessage(from: DaemonId, message: GroupMessage) {
        when (message) {
            is GroupMessage.Request -> onRequest(from, message)
            is GroupMessage.Reply -> forwarder.onReply(message)
        }
    }

    /** Handles the [result] of a store task; the caller handles failures by ending the actor. */
    fun onStoreTaskResult(result: StoreTaskResult) {
        when (result) {
            is StoreTaskResult.Persisted -> handleInput(ReplicaInput.PersistCompleted(result.sequence))
            is StoreTaskResult.SnapshotSaved -> {
                snapshots.onSaved()
                handleInput(ReplicaInput.SnapshotTaken(result.metadata, result.bytes))
            }
            is StoreTaskResult.ChunkRead -> sendChunk(result)
            is StoreTaskResult.Failed -> Unit
        }
    }

    /** Completes all open calls and requests. */
    fun close() {
        requests.abandonAll()
        forwarder.abandonAll()
    }

    private fun onRequest(from: DaemonId, request: GroupMessage.Request) {
        val reply = { body: ReplyBody ->
            outputs.sendGroupMessage(
                from,
                GroupMessage.Reply(request.group, request.processId, request.correlation, body),
            )
        }
        val leads = replica.role == RaftRole.LEADER && replica.term == request.term
        if (!leads && receivedRequests.find(from, request) == null) return reply(ReplyBody.NotLeader)
        when (val registration = receivedRequests.register(from, request, clock())) {
            is RequestRegistration.New -> requests.execute(request.body) {
                registration.record.reply = it
                reply(it)
            }
            is RequestRegistration.Duplicate -> registration.record.reply?.let(reply)
            RequestRegistration.Settled -> Unit
            RequestRegistration.Full -> reply(ReplyBody.Rejected(RejectReason.OVERLOADED))
        }
    }

    private fun handleInput(input: ReplicaInput) {
        replica.handle(input, clock()).forEach(::execute)
        logRole()
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Send -> outputs.sendEnvelope(effect.to, effect.envelope)
            is Effect.Persist -> outputs.submitStoreTask(StoreTask.Persist(effect))
            is Effect.InstallSnapshot -> install(effect)
            is Effect.Apply -> apply(effect.entries)
            is Effect.SendSnapshotChunk -> outputs.submitStoreTask(StoreTask.ReadChunk(effect))
            is Effect.CompleteProposal -> requests.onCompleted(effect)
            is Effect.RejectProposal -> requests.onRejected(effect)
            is Effect.AbandonProposal -> requests.onAbandoned(effect)
            is Effect.CompleteRead -> requests.onReadReady(effect)
            is Effect.RejectRead -> requests.onReadRejected(effect)
            is Effect.CompleteMembership -> requests.onMembershipCompleted(effect)
        }
    }

    private fun apply(entries: List<LogEntry>) {
        for (entry in entries) {
            val payload = entry.payload
            appliedIndex = entry.index
            if (payload is EntryPayload.Command) {
                requests.onApplied(entry.index, machine.apply(entry.index, payload.bytes))
            }
            if (payload is EntryPayload.Membership) logMembership(entry, payload)
            snapshots.onApplied(entry)
        }
        outputs.onApplied(appliedIndex)
        forwarder.onApplied(appliedIndex)
        if (!snapshots.isDue) return
        snapshots.onStarted()
        outputs.submitStoreTask(StoreTask.SaveSnapshot(replica.snapshotMetadata(appliedIndex), machine.snapshot()))
    }

    private fun install(effect: Effect.InstallSnapshot) {
        machine.restore(effect.metadata.index, effect.bytes)
        appliedIndex = effect.metadata.index
        outputs.submitStoreTask(StoreTask.InstallSnapshot(effect))
        outputs.onApplied(appliedIndex)
        forwarder.onApplied(appliedIndex)
        logger.info("event=snapshot_installed group={} index={}", configuration.id, appliedIndex)
    }

    private fun sendChunk(result: StoreTaskResult.ChunkRead) {
        val bytes = result.bytes ?: return
        val effect = result.effect
        val total = replica.snapshotBytes
        val chunk = ConsensusMessage.SnapshotChunk(effect.term, effect.metadata, effect.offset, total, bytes)
        outputs.sendEnvelope(effect.to.daemon, Envelope(configuration.id, self, effect.to.incarnation, chunk))
    }

    private fun logRole() {
        val role = replica.role
        if (role == loggedRole) return
        loggedRole = role
        logger.info("event=role_changed group={} role={} term={}", configuration.id, role, replica.term)
    }

    private fun logMembership(entry: LogEntry, payload: EntryPayload.Membership) {
        logger.info(
            "event=members_changed group={} index={} voters={} joint={}",
            configuration.id,
            entry.index,
            payload.configuration.voters,
            payload.configuration.isJoint,
        )
    }

    private companion object {
        val logger = LoggerFactory.getLogger(GroupActor::class.java)
        const val MAX_REMEMBERED_REQUESTS = 16_384
    }
}

/** Callbacks through which a [GroupActor] sends messages, writes to the store and reports applied entries. */
internal class GroupOutputs(
    val sendEnvelope: (DaemonId, Envelope) -> Unit,
    val sendGroupMessage: (DaemonId, GroupMessage) -> Unit,
    val submitStoreTask: (StoreTask) -> Unit,
    val onApplied: (LogIndex) -> Unit,
)
