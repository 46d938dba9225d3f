package org.auburnstream.dispatch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.auburnstream.dispatch.http.HttpLimits
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.dispatch.http.HttpServer
import org.auburnstream.dispatch.http.HttpTimeouts
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.RequestLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A process that terminates callers' connections and passes their requests on to the leader.
 *
 * It keeps nothing of its own: every answer comes from the leader, so none is older than what was acknowledged. A
 * request that arrives while no leader is known waits shortly, and is then refused as not run.
 */
public class EntryNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val handler: RequestHandler,
    private val metrics: NodeMetrics,
) {
    private val log = LineLog("entry")
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val network = PeerNetwork(
        loop = loop,
        self = DaemonId("entry-${settings.name}"),
        address = null,
        scope = scope,
        onStatus = ::learn,
    )
    private var status = GroupStatus(term = 0, leader = null, members = emptyList())
    private val statuses = HashMap<DaemonId, GroupStatus>()
    private var limits = RequestLimits()
    private var seeds = settings.seeds
    private var lastLeaderAt: MonotonicTime? = null
    private var isStopping = false
    private val callers = HttpServer(
        loop = loop,
        address = checkNotNull(settings.callers) { "an entry process needs an address for callers" },
        limits = { HttpLimits(limits.maxHeaderBytes, limits.maxBodyBytes) },
        timeouts = { HttpTimeouts(limits.headerTimeoutMs.milliseconds, limits.idleTimeoutMs.milliseconds) },
        maxConnections = settings.maxOpenFiles - RESERVED_FILES,
        handle = ::serve,
    )
    private val readiness = settings.readiness?.let {
        HttpServer(
            loop = loop,
            address = it,
            limits = { HttpLimits(READINESS_BYTES, READINESS_BYTES) },
            timeouts = { HttpTimeouts(messageTimeout = 3.seconds, idleTimeout = 30.seconds) },
            maxConnections = READINESS_CONNECTIONS,
        ) { _, respond -> respond(HttpResponse(if (isReady()) HTTP_OK else HTTP_UNAVAILABLE)) }
    }

    /** Begins to serve. */
    public fun start() {
        network.know(settings.seeds)
        network.watched = settings.seeds
        housekeeping()
        metrics.gauge("auburnstream_connections", "Connections of callers.") { callers.connections }
        metrics.gauge("auburnstream_requests_in_progress", "Requests without an answer.") { callers.inProgress }
    }

    /** Notes other [seeds] after a change of the settings. */
    public fun reseed(seeds: Set<DaemonId>) {
        this.seeds = seeds
        watch()
    }

    /** Takes no further connections, answers what is in progress, and calls [done]. */
    public fun stop(done: () -> Unit) {
        isStopping = true
        callers.drain()
        val latest = loop.now + settings.graceTime - STOP_MARGIN
        val earliest = loop.now + minOf(LEAVE_TIME, settings.graceTime / 2)
        awaitEnd(earliest, latest, done)
    }

    private fun awaitEnd(earliest: MonotonicTime, latest: MonotonicTime, done: () -> Unit) {
        val now = loop.now
        val isEmpty = callers.inProgress == 0 && now >= earliest
        if (isEmpty || now >= latest) {
            callers.close()
            network.close()
            return done()
        }
        loop.after(STOP_CHECK) { awaitEnd(earliest, latest, done) }
    }

    private fun isReady(): Boolean {
        val seen = lastLeaderAt ?: return false
        return !isStopping && status.hasCatalog && loop.now - seen < READY_WITHOUT_LEADER
    }

    private fun leader(): DaemonId? = status.leader?.takeIf(network::isConnected)

    private fun learn(from: DaemonId, bytes: ByteArray) {
        val heard = Messages.status(bytes) ?: return log.note("status_unreadable", "peer" to from)
        statuses[from] = heard
        // The latest term counts; of the same term, a process that knows its leader.
        val newest = statuses.values.maxWith(compareBy({ it.term }, { it.leader != null }))
        if (newest.leader != status.leader || newest.term != status.term) {
            log.note("leader_changed", "leader" to newest.leader, "term" to newest.term, "from" to from)
        }
        status = newest
        if (heard.hasCatalog) limits = heard.limits
        network.know(heard.members.toSet())
        watch()
    }

    private fun watch() {
        network.watched = (seeds + status.members + setOfNotNull(status.leader)).toSet()
    }

    private fun serve(request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val since = loop.now
        val patience = handler.patienceMs(request)?.milliseconds ?: DEFAULT_REQUEST_TIME
        val answer = { response: HttpResponse ->
            metrics.answered("callers", response.status, loop.now - since)
            if (response.status >= HTTP_ERRORS) {
                log.note(
                    "request_failed",
                    "path" to request.path,
                    "method" to request.method,
                    "status" to response.status,
                    "leader" to status.leader,
                    "term" to status.term,
                    "age_ms" to (loop.now - since).inWholeMilliseconds,
                )
            }
            respond(response)
        }
        Forwarding(request, since, patience, answer).advance()
    }

    /**
     * Brings one request to the leader, whichever process that is meanwhile.
     *
     * A request that can be repeated is sent again when its answer is lost with a link or a leadership, so that the
     * caller need not find out that the leader has changed.
     */
    private inner class Forwarding(
        private val request: HttpRequest,
        private val since: MonotonicTime,
        private val patience: Duration,
        private val answer: (HttpResponse) -> Unit,
    ) {
        private val isRepeatable = handler.isRepeatable(ListenerKind.CALLERS, request)
        private val message = Messages.encode(ForwardedRequest(ListenerKind.CALLERS.name, request))
        private var mayHaveRun = false
        private var leaderlessSince: MonotonicTime? = null

        fun advance() {
            val left = patience - (loop.now - since) - ANSWER_MARGIN
            if (left <= Duration.ZERO || callers.isClosed) return giveUp()
            val leader = leader() ?: return awaitLeader(left)
            leaderlessSince = null
            val isSent = network.call(leader, message, minOf(left, ATTEMPT_TIMEOUT)) { bytes -> take(bytes) }
            if (!isSent) awaitLeader(left)
        }

        private fun take(bytes: ByteArray?) {
            val reply = bytes?.let(Messages::reply)
            val response = reply?.response
            when {
                response != null && response.status != HTTP_UNKNOWN -> answer(response)
                reply != null && response == null -> awaitLeader(patience)
                else -> {
                    mayHaveRun = true
                    if (isRepeatable) awaitLeader(patience) else giveUp()
                }
            }
        }

        /** Waits a moment for a leader, but not longer than an election takes in most cases. */
        private fun awaitLeader(left: Duration) {
            val waitingSince = leaderlessSince ?: loop.now.also { leaderlessSince = it }
            val isHopeless = !mayHaveRun && loop.now - waitingSince >= LEADER_WAIT
            if (isHopeless || left <= LEADER_CHECK) return giveUp()
            loop.after(LEADER_CHECK, ::advance)
        }

        private fun giveUp() {
            val kind = ListenerKind.CALLERS
            answer(if (mayHaveRun) handler.unknown(kind, request) else handler.noLeader(kind, request))
        }
    }

    private fun housekeeping() {
        callers.closeTimedOutConnections()
        readiness?.closeTimedOutConnections()
        if (leader() != null) lastLeaderAt = loop.now
        loop.after(HOUSEKEEPING, ::housekeeping)
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_ERRORS = 400
        const val HTTP_UNAVAILABLE = 503
        const val HTTP_UNKNOWN = 504
        const val READINESS_BYTES = 4096
        const val READINESS_CONNECTIONS = 32

        /** Files that the runtime, the links and the other listeners need. */
        const val RESERVED_FILES = 300
        val HOUSEKEEPING: Duration = 250.milliseconds

        /** Time without a leader after which the process asks for no further callers: two elections. */
        val READY_WITHOUT_LEADER: Duration = 4.seconds

        /** An election takes one to two seconds; a caller that is sent away and comes back waits longer. */
        val LEADER_WAIT: Duration = 1_500.milliseconds

        /** Time after which a leader's answer is asked for again; a few times a commit on a slow disk. */
        val ATTEMPT_TIMEOUT: Duration = 1_000.milliseconds
        val LEADER_CHECK: Duration = 50.milliseconds

        /** Time for the answer to reach the caller. */
        val ANSWER_MARGIN: Duration = 100.milliseconds
        val STOP_MARGIN: Duration = 500.milliseconds
        val STOP_CHECK: Duration = 50.milliseconds

        /** Two probes of the balancer and the time until it acts on them. */
        val LEAVE_TIME: Duration = 2_500.milliseconds
    }
}
