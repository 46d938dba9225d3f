package org.auburnstream.dispatch

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.MembershipResult
import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.daemon.replication.GroupConfiguration
import org.auburnstream.daemon.replication.MembershipChangeResult
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import org.auburnstream.dispatch.http.ClientMemory
import org.auburnstream.dispatch.http.HttpLimits
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.dispatch.http.HttpServer
import org.auburnstream.dispatch.http.HttpTimeouts
import org.auburnstream.dispatch.link.Frame
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.dispatch.metrics.TenantMetrics
import org.auburnstream.dispatch.operators.OperatorRequests
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.RequestLimits
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import org.auburnstream.storage.StoreResult
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A process of the control group, which replicates the scheduling state and schedules jobs while it is the leader.
 *
 * Every control process accepts reports of workers and requests of operators; a follower forwards them to the leader.
 *
 * @property decodeCatalog decodes the text of a catalog that [handler] has accepted.
 * @property tenants metrics by tenant, or null for none.
 * @property onFatal called with the reason when the process cannot continue.
 */
public class ControlNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val handler: RequestHandler,
    private val gateway: Gateway,
    private val metrics: NodeMetrics,
    private val decodeCatalog: (String) -> Catalog,
    private val memory: ClientMemory = ClientMemory(),
    private val tenants: TenantMetrics? = null,
    private val onFatal: (String) -> Unit,
) {
    private val log = LineLog("control")
    private val scope =
        CoroutineScope(SupervisorJob() + loop + CoroutineExceptionHandler { _, e -> coroutineFailed(e) })
    private val self = PeerNetwork.idOf(settings.peer.hostString, settings.peer.port)
    private val disk = Executors.newSingleThreadExecutor { Thread(it, "disk").apply { isDaemon = true } }
    private val network = PeerNetwork(
        loop = loop,
        self = self,
        address = settings.peer,
        scope = scope,
        onStatus = ::onPeerStatus,
        onCall = ::onForwardedRequest,
        maxIncoming = settings.maxOpenFiles / 4,
    )
    private val replica =
        StateReplica(SchedulerState(settings.retention.inWholeMilliseconds, decodeCatalog)) { loop.now }
    private lateinit var group: ReplicatedGroupRunner
    private val server = HttpServer(
        loop = loop,
        address = checkNotNull(settings.control) { "a control process needs an address for workers and operators" },
        limits = { HttpLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES) },
        timeouts = { HttpTimeouts(messageTimeout = 5.seconds, idleTimeout = 60.seconds) },
        maxConnections = settings.maxOpenFiles / 2,
        memory = memory,
        handle = { request, respond -> serve(ListenerKind.CONTROL, request, respond) },
    )
    private val operators = OperatorRequests(nowMs = System::currentTimeMillis)
    private val leadership = LeadershipLifecycle(
        status = { group.status.value },
        clock = { loop.now },
        awaitBarrier = ::awaitBarrier,
        create = ::beginLeadership,
        stepDown = { group.handOver() },
        onFatal = onFatal,
        resumedAt = {
            // A suspension within a turn of the loop is found here first.
            checkSuspension()
            suspension.resumedAt
        },
    )
    private var publishedStatus: GroupStatus? = null
    private var lastSeenLeader: DaemonId? = null
    private val promotions = PromotionOrder()
    private var isChangingMembers = false
    private val suspension = SuspensionDetector()

    init {
        val batchBytes = settings.scheduling.maxBatchBytes
        require(batchBytes <= CONSENSUS_SETTINGS.maxCommandBytes) {
            "maxBatchBytes is $batchBytes; the log takes ${CONSENSUS_SETTINGS.maxCommandBytes} in one command"
        }
    }

    /** Starts the process; reads the store and joins the group in the background. */
    public fun start() {
        network.addKnownPeers(settings.seeds)
        scope.launch { followGroup() }
        loop.onTurn = ::checkSuspension
        loop.every("housekeeping", HOUSEKEEPING_INTERVAL, ::housekeeping)
        metrics.gauge("auburnstream_jobs_active", "Accepted jobs that are not over.") { replica.state.active.size }
        metrics.gauge("auburnstream_workers", "Workers that are known.") { replica.state.workers.size }
        tenants?.show { replica.state }
        metrics.gauge("auburnstream_leads", "1 while this process leads.") { if (leads) 1 else 0 }
        metrics.gauge("auburnstream_replica_leads", "1 while the replica leads, whether or not it schedules.") {
            if (::group.isInitialized && group.status.value.role == ReplicaRole.LEADER) 1 else 0
        }
        metrics.gauge("auburnstream_leader_stalled_seconds", "Time for which a leader has made no progress, else 0.") {
            leadership.stall?.let { (loop.now - it.since).toDouble(DurationUnit.SECONDS) } ?: 0
        }
    }

    /** Adds [seeds] to the known processes after a change of the settings. */
    public fun updateSeeds(seeds: Set<DaemonId>) {
        network.addKnownPeers(seeds)
    }

    /**
     * Ends the leadership, closes all connections and calls [done].
     *
     * A leader first hands its role over and waits for its successor for up to [HAND_OVER_TIME].
     */
    public fun stop(done: () -> Unit) {
        leadership.stop()
        server.close()
        val hasRole = ::group.isInitialized && group.status.value.role == ReplicaRole.LEADER
        if (!hasRole) return close(done)
        group.handOver()
        awaitSuccessor(loop.now + HAND_OVER_TIME, done)
    }

    private fun awaitSuccessor(deadline: MonotonicTime, done: () -> Unit) {
        val leader = group.status.value.leader
        val hasSuccessor = leader != null && leader != self
        if (!hasSuccessor && loop.now < deadline) {
            loop.after(SUCCESSOR_POLL_INTERVAL) { awaitSuccessor(deadline, done) }
            return
        }
        log.note("leadership_handed_over", "successor" to leader.takeIf { hasSuccessor })
        close(done)
    }

    private fun close(done: () -> Unit) {
        network.close()
        scope.cancel()
        done()
    }

    /** Opens the group and follows its status; the process is of no use without it. */
    private suspend fun followGroup() {
        try {
            openGroup()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.error("event=group_not_opened cause=\"{}\"", e.toString(), e)
            onFatal("the replicated state cannot be opened: $e")
        }
    }

    private suspend fun openGroup() {
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
        group.status.collect { updateStatus() }
    }

    /** Called on each change of the status, and periodically in case a change was missed or its handling failed. */
    private fun updateStatus() {
        try {
            onStatus(group.status.value)
        } catch (e: Exception) {
            logger.error("event=status_failed cause=\"{}\"", e.toString(), e)
        }
    }

    private fun onStatus(status: ReplicaStatus) {
        if (status.leader != lastSeenLeader) {
            lastSeenLeader = status.leader
            log.note("leader_changed", "leader" to status.leader, "term" to status.term, "role" to status.role)
        }
        leadership.update()
        leadership.current?.releaseDeferred()
        publish(status)
    }

    private fun awaitBarrier(done: (Boolean) -> Unit) {
        scope.launch { done(group.readBarrier(BARRIER_TIMEOUT) is ReadResult.Ready) }
    }

    private fun beginLeadership(term: Long): Leadership {
        log.note("leadership_begun", "term" to term, "jobs" to replica.state.active.size)
        // The other processes learn who leads once the leadership can take their requests.
        loop.post { updateStatus() }
        return Leadership(
            term = term,
            state = replica.state,
            settings = settings.scheduling.copy(maxStoredBytes = Runtime.getRuntime().maxMemory() / HEAP_PER_STORED),
            loop = loop,
            gateway = gateway,
            metrics = metrics,
            isConfirmed = { isConfirmed(term) },
            commit = { batch, done -> commit(term, batch, done) },
            onFailure = { leadership.fail(term, it) },
        )
    }

    /** Proposes a batch only in the [term] that decided it; later it could revert decisions of another leader. */
    private fun commit(term: Long, batch: RecordBatch, done: (CommitOutcome) -> Unit) {
        val command = replica.encode(batch)
        scope.launch {
            when (val result = group.proposeInTerm(term, command, COMMIT_TIMEOUT)) {
                is ProposeResult.Committed -> done(CommitOutcome.Committed)
                is ProposeResult.Rejected -> done(CommitOutcome.Rejected(result.reason.name.lowercase()))
                ProposeResult.Unknown -> {
                    done(CommitOutcome.Unknown)
                    leadership.end(term, "batch with unknown outcome")
                    // Orders already sent carry this term as fencing token, so only a new term may decide again.
                    if (leadership.leadsIn(term)) onFatal("a batch was not committed within $COMMIT_TIMEOUT")
                }
            }
        }
    }

    /**
     * Whether this process leads in [term], and a quorum answered it within [CONFIRMATION_TIME] and after the latest
     * suspension of the process.
     */
    private fun isConfirmed(term: Long): Boolean {
        val contact = group.quorumContactTime?.takeIf { leadership.leadsIn(term) } ?: return false
        return loop.now - contact < CONFIRMATION_TIME && suspension.resumedAt.let { it == null || contact > it }
    }

    private fun checkSuspension() {
        if (suspension.check(loop.now, System.currentTimeMillis())) log.note("clock_gap", "at" to loop.now)
    }

    private fun onPeerStatus(from: DaemonId, bytes: ByteArray) {
        val status = Messages.status(bytes) ?: return log.note("status_unreadable", "peer" to from)
        network.addKnownPeers(status.members.toSet())
    }

    private fun coroutineFailed(failure: Throwable) {
        logger.error("event=coroutine_failed cause=\"{}\"", failure.toString(), failure)
        // After an error of the virtual machine, such as a lack of memory, any part of the process may be missing.
        if (failure is Error) onFatal(failure.toString())
    }

    private val leads: Boolean
        get() = leadership.current != null

    private fun publish(status: ReplicaStatus) {
        val leader = if (leads) self else status.leader.takeIf { it != self }
        val members = group.members.value.members.map { it.id.daemon }
        val current = GroupStatus(
            term = status.term,
            leader = leader,
            members = members.ifEmpty { settings.seeds.toList() },
            limits = replica.state.catalog?.limits ?: publishedStatus?.limits ?: RequestLimits(),
            hasCatalog = replica.state.catalog != null,
        )
        network.addKnownPeers(members.toSet())
        if (leader != null && leader != self) network.keptOpen = setOf(leader)
        if (current == publishedStatus) return
        network.publish(Messages.encode(current))
        publishedStatus = current
    }

    /** Serves a request of the operators' interface; refuses a request without the operators' token. */
    public fun serveOperator(request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val token = settings.operatorToken?.encodeToByteArray()
        val given = request.headers["authorization"]?.removePrefix("Bearer ")?.encodeToByteArray()
        // Compares in constant time, so that the response time reveals nothing about the token.
        val isAllowed = token != null && given != null && MessageDigest.isEqual(token, given)
        if (!isAllowed) return respond(OperatorRequests.unauthorized())
        serve(ListenerKind.OPERATORS, request, respond)
    }

    private fun handlerOf(listener: ListenerKind): RequestHandler =
        if (listener == ListenerKind.OPERATORS) operators else handler

    /** Serves [request], which arrived at [listener], or forwards it to the leader. */
    public fun serve(listener: ListenerKind, request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val since = loop.now
        val handler = handlerOf(listener)
        val answer = { response: HttpResponse ->
            metrics.recordResponse(listener.name.lowercase(), response.status, loop.now - since)
            respond(response)
        }
        if (leads) return handle(listener, request, answer) { answer(handler.noLeader(listener, request)) }
        val leader = lastSeenLeader ?: return answer(handler.noLeader(listener, request))
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

    private fun onForwardedRequest(bytes: ByteArray, reply: (ByteArray) -> Unit) {
        val message = Messages.request(bytes) ?: return
        val kind = ListenerKind.entries.firstOrNull { it.name == message.listener } ?: return
        if (!leads) return reply(Messages.encode(ForwardedReply(null)))
        val holding = memory.open("links", loop.now) {}
        if (!holding.begin(FORWARDED_COPIES * bytes.size)) {
            return reply(Messages.encode(ForwardedReply(handlerOf(kind).noLeader(kind, message.request))))
        }
        val answer = { response: HttpResponse? ->
            holding.close()
            reply(Messages.encode(ForwardedReply(response)))
        }
        handle(kind, message.request, answer) { answer(null) }
    }

    /**
     * Serves [request] as the leader; a request whose handling fails is answered as one with an unknown outcome.
     *
     * @param notRun called instead of [answer] if the leadership ends before the request is run.
     */
    private fun handle(
        listener: ListenerKind,
        request: HttpRequest,
        answer: (HttpResponse) -> Unit,
        notRun: () -> Unit,
    ) {
        val handler = handlerOf(listener)
        try {
            handler.handle(listener, request, Access(notRun)) { answer(it ?: handler.unknown(listener, request)) }
        } catch (e: Exception) {
            logger.error("event=request_handler_failed path={} cause=\"{}\"", request.path, e.toString(), e)
            answer(handler.unknown(listener, request))
        }
    }

    private fun housekeeping() {
        server.closeTimedOutConnections()
        if (this::group.isInitialized) {
            updateStatus()
            promoteLearner()
        }
    }

    /** Promotes one caught-up learner to voter until the group tolerates the configured number of lost processes. */
    private fun promoteLearner() {
        if (!leads || isChangingMembers) return
        val configuration = group.members.value
        val wantedVoters = 2 * settings.losses + 1
        if (configuration.isJoint || configuration.voters.size >= wantedVoters) return
        val candidate = promotions.next(configuration) ?: return
        isChangingMembers = true
        scope.launch {
            val result = try {
                group.changeMembership(MembershipChange.Promote(candidate.id.daemon), BARRIER_TIMEOUT)
            } finally {
                isChangingMembers = false
            }
            val isPromoted = result is MembershipChangeResult.Completed && result.result is MembershipResult.Committed
            if (!isPromoted) promotions.refused(candidate.id)
            log.note("vote_given", "member" to candidate.id, "result" to result)
        }
    }

    /** Gives request handlers access to the leadership and the replicated state of this process. */
    private inner class Access(private val notRun: () -> Unit) : LeaderAccess {
        override val controlAddress: String = settings.control?.let { "${it.hostString}:${it.port}" }.orEmpty()

        override val state: SchedulerState
            get() = replica.state

        override fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit) {
            val current = leadership.current ?: return notRun()
            current.offer(event) { if (it === NotLeading) notRun() else reply(it) }
        }

        override fun read(use: (SchedulerState?) -> Unit) {
            scope.launch {
                val result = group.readBarrier(BARRIER_TIMEOUT)
                try {
                    use(replica.state.takeIf { result is ReadResult.Ready })
                } catch (e: Exception) {
                    logger.error("event=read_failed cause=\"{}\"", e.toString(), e)
                    use(null)
                }
            }
        }
    }

    private companion object {
        val logger: Logger = LoggerFactory.getLogger(ControlNode::class.java)
        val GROUP = GroupId("scheduling")
        val CONSENSUS_SETTINGS = ReplicaSettings(
            heartbeatInterval = 150.milliseconds,
            electionTimeoutMin = 700.milliseconds,
            electionTimeoutMax = 1300.milliseconds,
            maxCommandBytes = 1024 * 1024,
            replacementDelay = 6.seconds,
            joinInterval = 400.milliseconds,
            allowsHandOver = true,
        )

        /** Longer than an election with one vote that has to be repeated. */
        val HAND_OVER_TIME = 1.seconds
        val SUCCESSOR_POLL_INTERVAL = 10.milliseconds

        /** Entries between two snapshots; a snapshot of the whole state costs as much as several hundred entries. */
        const val SNAPSHOT_ENTRIES = 8_000L
        const val MAX_HEAD_BYTES = 16 * 1024

        /** Large enough for a catalog of several thousand queues and for a worker's report. */
        const val MAX_BODY_BYTES = 4 * 1024 * 1024

        init {
            check(MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES <= Frame.MAX_PAYLOAD_BYTES) {
                "a link takes ${Frame.MAX_PAYLOAD_BYTES} bytes, less than a request that is forwarded"
            }
        }

        /** Heap for each byte of the jobs' state: objects, a snapshot while it is written, the log beside it. */
        const val HEAP_PER_STORED = 10

        /** A forwarded request and what the scheduler decodes from it. */
        const val FORWARDED_COPIES = 2L
        val HOUSEKEEPING_INTERVAL: Duration = 500.milliseconds
        val BARRIER_TIMEOUT: Duration = 1.seconds

        /** A leader that cannot commit a batch within this time, although a quorum answers it, is restarted. */
        val COMMIT_TIMEOUT: Duration = 25.seconds
        val FORWARD_TIMEOUT: Duration = 900.milliseconds

        /** Shorter than the shortest election timeout, so that no other leader can act within it. */
        val CONFIRMATION_TIME: Duration = 600.milliseconds
    }
}
