package org.auburnstream.dispatch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.auburnstream.consensus.MemberRole
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.daemon.replication.GroupConfiguration
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import org.auburnstream.dispatch.http.HttpLimits
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.dispatch.http.HttpServer
import org.auburnstream.dispatch.http.HttpTimeouts
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.dispatch.operators.OperatorRequests
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.RequestLimits
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import org.auburnstream.storage.StoreResult
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A process of the control group: replicates the scheduling state, and schedules while it leads.
 *
 * Any control process takes a worker's report or an operator's order; one that does not lead passes it on.
 *
 * @property onFatal called with the reason when the process cannot go on.
 */
public class ControlNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val handler: RequestHandler,
    private val gateway: Gateway,
    private val metrics: NodeMetrics,
    private val onFatal: (String) -> Unit,
) {
    private val log = LineLog("control")
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val self = PeerNetwork.idOf(settings.peer.hostString, settings.peer.port)
    private val disk = Executors.newSingleThreadExecutor { Thread(it, "disk").apply { isDaemon = true } }
    private val network = PeerNetwork(loop, self, settings.peer, scope, ::learn, ::forwarded)
    private val replica = StateReplica(SchedulerState(settings.retention.inWholeMilliseconds))
    private lateinit var group: ReplicatedGroupRunner
    private val server = HttpServer(
        loop = loop,
        address = checkNotNull(settings.control) { "a control process needs an address for workers and operators" },
        limits = { HttpLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES) },
        timeouts = { HttpTimeouts(messageTimeout = 5.seconds, idleTimeout = 60.seconds) },
        maxConnections = settings.maxOpenFiles / 2,
        handle = { request, respond -> serve(ListenerKind.CONTROL, request, respond) },
    )
    private val operators = OperatorRequests(nowMs = System::currentTimeMillis)
    private var leadership: Leadership? = null
    private var preparingTerm = 0L
    private var published: GroupStatus? = null
    private var leaderSeen: DaemonId? = null
    private var changesMembers = false
    private val suspension = SuspensionWatch()
    private val access = Access()

    /** Takes part in the group; returns after the store is read. */
    public fun start() {
        network.know(settings.seeds)
        scope.launch { open() }
        loop.onTurn = ::turn
        loop.after(HOUSEKEEPING) { housekeeping() }
        metrics.gauge("auburnstream_jobs_active", "Accepted jobs that are not over.") { replica.state.active.size }
        metrics.gauge("auburnstream_workers", "Workers that are known.") { replica.state.workers.size }
        metrics.gauge("auburnstream_leads", "1 while this process leads.") { if (leadership == null) 0 else 1 }
    }

    /** Notes other [seeds] after a change of the settings. */
    public fun reseed(seeds: Set<DaemonId>) {
        network.know(seeds)
    }

    /** Ends the process's part in the group and calls [done]. */
    public fun stop(done: () -> Unit) {
        endLeadership("stop")
        server.close()
        network.close()
        scope.cancel()
        done()
    }

    private suspend fun open() {
        val random = SecureRandom().asKotlinRandom()
        val path = checkNotNull(settings.dataFolder) { "a control process needs a data folder" }
        val opened = when (val folder = DiskFolder.open(path)) {
            is StoreResult.Failed -> folder
            is StoreResult.Done -> FileReplicaStore.open(folder.value, random)
        }
        val store = when (opened) {
            is StoreResult.Failed -> return onFatal(opened.error.message)
            is StoreResult.Done -> opened.value
        }
        group = ReplicatedGroupRunner(
            scope = scope,
            transport = network,
            machine = replica,
            store = store,
            configuration = GroupConfiguration(
                id = GROUP,
                initialVoters = if (settings.formsGroup) settings.seeds else emptySet(),
                dataCentre = settings.dataCentre,
                settings = CONSENSUS_SETTINGS,
                snapshotEntries = SNAPSHOT_ENTRIES,
            ),
            clock = { loop.now },
            random = Random(random.nextLong()),
            storeDispatcher = disk.asCoroutineDispatcher(),
            onFailure = { onFatal(it.message) },
        )
        val started = group.start()
        if (started is StoreResult.Failed) return onFatal(started.error.message)
        log.note("store_opened", "incarnation" to store.incarnation, "fresh" to store.restored.isEmpty)
        group.status.collect(::onStatus)
    }

    private fun onStatus(status: ReplicaStatus) {
        if (status.leader != leaderSeen) {
            leaderSeen = status.leader
            log.note("leader_changed", "leader" to status.leader, "term" to status.term, "role" to status.role)
        }
        val leads = status.role == ReplicaRole.LEADER
        val current = leadership
        if (current != null && (!leads || current.term != status.term)) endLeadership("term ${status.term} began")
        prepareIfLeading()
        current?.release()
        publish(status)
    }

    /** Also called from time to time, since a barrier that was not confirmed changes nothing that could be heard. */
    private fun prepareIfLeading() {
        val status = group.status.value
        val leads = status.role == ReplicaRole.LEADER
        if (leads && leadership == null && preparingTerm != status.term) prepare(status.term)
    }

    private fun prepare(term: Long) {
        preparingTerm = term
        scope.launch {
            val barrier = group.readBarrier(BARRIER_TIMEOUT)
            val status = group.status.value
            val isStill = status.role == ReplicaRole.LEADER && status.term == term
            if (barrier is ReadResult.Ready && isStill) {
                lead(term)
            } else if (isStill) {
                preparingTerm = 0
            }
        }
    }

    private fun lead(term: Long) {
        log.note("leadership_begun", "term" to term, "jobs" to replica.state.active.size)
        leadership = Leadership(
            term = term,
            state = replica.state,
            settings = settings.scheduling,
            loop = loop,
            gateway = gateway,
            metrics = metrics,
            isConfirmed = ::isConfirmed,
            commit = { batch, done -> commit(term, batch, done) },
        )
        publish(group.status.value)
    }

    private fun endLeadership(cause: String) {
        val ended = leadership ?: return
        leadership = null
        log.note("leadership_ended", "term" to ended.term, "cause" to cause)
        ended.end()
    }

    /** Proposes a batch that was decided in [term]; under another leader it could undo what that one decided. */
    private fun commit(term: Long, batch: RecordBatch, done: (Boolean?) -> Unit) {
        scope.launch {
            when (group.proposeInTerm(term, replica.encode(batch), COMMIT_TIMEOUT)) {
                is ProposeResult.Committed -> done(true)
                is ProposeResult.Rejected -> done(false)
                ProposeResult.Unknown -> {
                    done(null)
                    val status = group.status.value
                    val isStillLeading = status.role == ReplicaRole.LEADER && status.term == term
                    if (leadership?.term == term) endLeadership("batch of unknown fate")
                    // Its orders carry this term, so only another term may decide again.
                    if (isStillLeading) onFatal("a batch was not committed within $COMMIT_TIMEOUT")
                }
            }
        }
    }

    /** Whether a quorum has answered this leader lately, on a clock that was not suspended since. */
    private fun isConfirmed(): Boolean {
        val contact = group.quorumContactTime ?: return false
        return loop.now - contact < CONFIRMATION_TIME && suspension.resumedAt.let { it == null || contact > it }
    }

    private fun turn() {
        if (suspension.check(loop.now, System.currentTimeMillis())) log.note("clock_gap", "at" to loop.now)
    }

    private fun learn(from: DaemonId, bytes: ByteArray) {
        val status = Messages.status(bytes) ?: return log.note("status_unreadable", "peer" to from)
        network.know(status.members.toSet())
    }

    private fun publish(status: ReplicaStatus) {
        val leader = if (leadership != null) self else status.leader.takeIf { it != self }
        val members = group.members.value.members.map { it.id.daemon }
        val current = GroupStatus(
            term = status.term,
            leader = leader,
            members = members.ifEmpty { settings.seeds.toList() },
            limits = replica.state.catalog?.limits ?: published?.limits ?: RequestLimits(),
            hasCatalog = replica.state.catalog != null,
        )
        network.know(members.toSet())
        if (leader != null && leader != self) network.watched = setOf(leader)
        if (current == published) return
        published = current
        network.publish(Messages.encode(current))
    }

    /** Serves a request of the operators' interface; one without the token is refused. */
    public fun operate(request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val token = settings.operatorToken?.encodeToByteArray()
        val given = request.headers["authorization"]?.removePrefix("Bearer ")?.encodeToByteArray()
        // A comparison that takes the same time wherever the tokens differ tells nothing of the right one.
        val isAllowed = token != null && given != null && MessageDigest.isEqual(token, given)
        if (!isAllowed) return respond(OperatorRequests.unauthorized())
        serve(ListenerKind.OPERATORS, request, respond)
    }

    private fun handlerOf(listener: ListenerKind): RequestHandler =
        if (listener == ListenerKind.OPERATORS) operators else handler

    /** Serves [request], which arrived at [listener], or passes it on to the leader. */
    public fun serve(listener: ListenerKind, request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val since = loop.now
        val handler = handlerOf(listener)
        val answer = { response: HttpResponse ->
            metrics.answered(listener.name.lowercase(), response.status, loop.now - since)
            respond(response)
        }
        if (leadership != null) {
            handler.handle(listener, request, access) { answer(it ?: handler.unknown(listener, request)) }
            return
        }
        val leader = leaderSeen ?: return answer(handler.noLeader(listener, request))
        val message = Messages.encode(ForwardedRequest(listener.name, request))
        val isSent = network.call(leader, message, FORWARD_TIMEOUT) { bytes ->
            val reply = bytes?.let(Messages::reply)
            answer(
                when {
                    reply == null -> handler.unknown(listener, request)
                    else -> reply.response ?: handler.noLeader(listener, request)
                },
            )
        }
        if (!isSent) answer(handler.noLeader(listener, request))
    }

    private fun forwarded(bytes: ByteArray, reply: (ByteArray) -> Unit) {
        val message = Messages.request(bytes) ?: return
        val kind = ListenerKind.entries.firstOrNull { it.name == message.listener } ?: return
        if (leadership == null) return reply(Messages.encode(ForwardedReply(null)))
        val handler = handlerOf(kind)
        handler.handle(kind, message.request, access) { response ->
            val known = response ?: handler.unknown(kind, message.request)
            reply(Messages.encode(ForwardedReply(known)))
        }
    }

    private fun housekeeping() {
        server.closeTimedOutConnections()
        if (this::group.isInitialized) {
            prepareIfLeading()
            growGroup()
        }
        loop.after(HOUSEKEEPING) { housekeeping() }
    }

    /** Gives votes to members that have caught up, until the group survives as many losses as it should. */
    private fun growGroup() {
        if (leadership == null || changesMembers) return
        val configuration = group.members.value
        val wanted = 2 * settings.losses + 1
        if (configuration.isJoint || configuration.voters.size >= wanted) return
        val candidate = configuration.members.firstOrNull { it.role == MemberRole.LEARNER && it.durable } ?: return
        changesMembers = true
        scope.launch {
            val result = group.changeMembership(MembershipChange.Promote(candidate.id.daemon), BARRIER_TIMEOUT)
            changesMembers = false
            log.note("vote_given", "member" to candidate.id, "result" to result)
        }
    }

    private inner class Access : LeaderAccess {
        override val controlAddress: String = settings.control?.let { "${it.hostString}:${it.port}" }.orEmpty()

        override val state: SchedulerState
            get() = replica.state

        override fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit) {
            leadership?.offer(event, reply) ?: reply(Reply.Unknown)
        }

        override fun read(use: (SchedulerState?) -> Unit) {
            scope.launch {
                val result = group.readBarrier(BARRIER_TIMEOUT)
                use(replica.state.takeIf { result is ReadResult.Ready })
            }
        }
    }

    private companion object {
        val GROUP = GroupId("scheduling")
        val CONSENSUS_SETTINGS = ReplicaSettings(
            heartbeatInterval = 150.milliseconds,
            electionTimeoutMin = 700.milliseconds,
            electionTimeoutMax = 1300.milliseconds,
            maxCommandBytes = 1024 * 1024,
            replacementDelay = 6.seconds,
            joinInterval = 400.milliseconds,
        )

        /** Entries between two snapshots; a snapshot of the whole state costs as much as some hundred entries. */
        const val SNAPSHOT_ENTRIES = 8_000L
        const val MAX_HEAD_BYTES = 16 * 1024

        /** Bounds a catalog of some thousand queues, and a worker's report. */
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
        val HOUSEKEEPING: Duration = 500.milliseconds
        val BARRIER_TIMEOUT: Duration = 1.seconds

        /** A leader that cannot commit for this long, though a quorum answers it, starts anew. */
        val COMMIT_TIMEOUT: Duration = 25.seconds
        val FORWARD_TIMEOUT: Duration = 900.milliseconds

        /** Below the shortest election timeout, so that no other leader can act before. */
        val CONFIRMATION_TIME: Duration = 600.milliseconds
    }
}

/** Notices that the process was suspended, which its monotonic clock does not show. */
internal class SuspensionWatch {
    private var lastTurn: MonotonicTime? = null
    private var lastMs = 0L

    /** When the process was last found to have been suspended, or null. */
    var resumedAt: MonotonicTime? = null
        private set

    /** Compares both clocks; returns true if the time of day went ahead of the monotonic clock. */
    fun check(now: MonotonicTime, nowMs: Long): Boolean {
        val last = lastTurn
        val gap = if (last == null) 0 else (nowMs - lastMs) - (now - last).inWholeMilliseconds
        val frozen = last != null && now - last > FROZEN_AFTER
        lastTurn = now
        lastMs = nowMs
        val isGap = gap > GAP_MS || frozen
        if (isGap) resumedAt = now
        return isGap
    }

    private companion object {
        /** More than clocks are corrected by between two turns, and less than an election takes. */
        const val GAP_MS = 200L

        /** The loop turns at least ten times a second. */
        val FROZEN_AFTER: Duration = 500.milliseconds
    }
}
