package org.auburnstream.dispatch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.auburnstream.dispatch.http.ClientMemory
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
 * A process that terminates callers' connections and forwards their requests to the leader.
 *
 * It stores no state: every answer comes from the leader, so an answer never lacks an acknowledged change. A request
 * that arrives while no leader serves waits for one for a limited time and is then refused as not run, at once if the
 * outage is known to last.
 */
public class EntryNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val handler: RequestHandler,
    private val metrics: NodeMetrics,
    private val memory: ClientMemory = ClientMemory(),
) {
    private val log = LineLog("entry")
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val network = PeerNetwork(
        loop = loop,
        self = DaemonId("entry-${settings.name}"),
        address = null,
        scope = scope,
        onStatus = ::onPeerStatus,
    )
    private val view = LeaderView(network::isConnected)
    private val outage = LeaderOutage()
    private var isOutageLogged = false
    private var loggedLeader: Pair<DaemonId?, Long> = null to 0L
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
        memory = memory,
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

    /** Starts to accept callers and to connect to the control group. */
    public fun start() {
        network.addKnownPeers(settings.seeds)
        network.keptOpen = settings.seeds
        housekeeping()
        loop.every("housekeeping", HOUSEKEEPING_INTERVAL, ::housekeeping)
        metrics.gauge("auburnstream_connections", "Connections of callers.") { callers.connections }
        metrics.gauge("auburnstream_requests_in_progress", "Requests without an answer.") { callers.inProgress }
    }

    /** Replaces the seeds with [seeds] after a change of the settings. */
    public fun updateSeeds(seeds: Set<DaemonId>) {
        this.seeds = seeds
        updateLinks()
    }

    /** Stops accepting connections, completes the requests in progress until the grace time ends, and calls [done]. */
    public fun stop(done: () -> Unit) {
        isStopping = true
        callers.drain()
        val latest = loop.now + settings.graceTime - STOP_MARGIN
        val earliest = loop.now + minOf(DEREGISTRATION_TIME, settings.graceTime / 2)
        awaitDrain(earliest, latest, done)
    }

    private fun awaitDrain(earliest: MonotonicTime, latest: MonotonicTime, done: () -> Unit) {
        val now = loop.now
        val isDrained = callers.inProgress == 0 && now >= earliest
        if (isDrained || now >= latest) {
            callers.close()
            network.close()
            return done()
        }
        loop.after(STOP_CHECK_INTERVAL) { awaitDrain(earliest, latest, done) }
    }

    private fun isReady(): Boolean {
        val seen = lastLeaderAt ?: return false
        return !isStopping && status.hasCatalog && loop.now - seen < MAX_READY_TIME_WITHOUT_LEADER
    }

    private val status: GroupStatus
        get() = view.newest

    private fun connectedLeader(): DaemonId? = status.leader?.takeIf(network::isConnected)

    private fun onPeerStatus(from: DaemonId, bytes: ByteArray) {
        val received = Messages.status(bytes) ?: return log.note("status_unreadable", "peer" to from)
        view.update(from, received)
        logLeader(from)
        if (received.hasCatalog) limits = received.limits
        network.addKnownPeers(received.members.toSet())
        updateLinks()
    }

    /** Logs the leader if a status [from] a process has changed it, or the end of a link, for which [from] is null. */
    private fun logLeader(from: DaemonId?) {
        val current = status
        if (loggedLeader == current.leader to current.term) return
        loggedLeader = current.leader to current.term
        log.note("leader_changed", "leader" to current.leader, "term" to current.term, "from" to from)
    }

    private fun updateLinks() {
        val current = status
        network.keptOpen = (seeds + current.members + setOfNotNull(current.leader)).toSet()
    }

    private fun serve(request: HttpRequest, respond: (HttpResponse) -> Unit) {
        val since = loop.now
        val timeout = handler.clientTimeoutMs(request)?.milliseconds ?: DEFAULT_REQUEST_TIME
        val answer = { response: HttpResponse, cause: String ->
            metrics.recordResponse("callers", response.status, loop.now - since)
            if (response.status >= MIN_HTTP_ERROR) {
                log.note(
                    "request_failed",
                    "path" to request.path,
                    "method" to request.method,
                    "status" to response.status,
                    "leader" to status.leader,
                    "term" to status.term,
                    "age_ms" to (loop.now - since).inWholeMilliseconds,
                    "outage_ms" to outage.age(loop.now)?.inWholeMilliseconds,
                    "cause" to cause,
                )
            }
            respond(response)
        }
        val kind = ListenerKind.CALLERS
        val message = Messages.encode(ForwardedRequest(kind.name, request))
        Forwarding(
            since = since,
            timeout = timeout,
            isRepeatable = handler.isRepeatable(kind, request),
            clock = loop::now,
            schedule = { delay, block -> loop.after(delay, block) },
            isClosed = callers::isClosed,
            connectedLeader = ::connectedLeader,
            call = { leader, limit, done -> network.call(leader, message, limit, done) },
            onAnswer = { response -> answer(response, "answered") },
            onGiveUp = { cause ->
                metrics.countNotForwarded(cause.label)
                val mayHaveRun = cause == GiveUpCause.NO_ANSWER
                val response = if (mayHaveRun) {
                    handler.unknown(kind, request)
                } else {
                    handler.noLeader(kind, request, outage.returnAfter(loop.now, request.path.hashCode()))
                }
                answer(response, cause.label)
            },
            hasEffects = request.method != "GET",
            outage = outage,
        ).attempt()
    }

    private fun housekeeping() {
        logLeader(from = null)
        callers.closeTimedOutConnections()
        readiness?.closeTimedOutConnections()
        if (connectedLeader() != null) {
            lastLeaderAt = loop.now
            outage.connected(loop.now)
        } else {
            outage.missing(loop.now)
        }
        logOutage()
    }

    /** Logs once that an outage is known to last, and once that it is over. */
    private fun logOutage() {
        val age = outage.age(loop.now)
        val isKnown = age != null && (isOutageLogged || !outage.mayEndSoon(loop.now))
        if (isKnown == isOutageLogged) return
        isOutageLogged = isKnown
        log.note(if (isKnown) "outage_known" else "outage_over", "age_ms" to age?.inWholeMilliseconds)
    }

    private companion object {
        const val HTTP_OK = 200
        const val MIN_HTTP_ERROR = 400
        const val HTTP_UNAVAILABLE = 503
        const val READINESS_BYTES = 4096
        const val READINESS_CONNECTIONS = 32

        /** File descriptors kept for the runtime, the links and the other listeners. */
        const val RESERVED_FILES = 300
        val HOUSEKEEPING_INTERVAL: Duration = 250.milliseconds

        /** Time without a leader after which the process reports that it is not ready; covers two elections. */
        val MAX_READY_TIME_WITHOUT_LEADER: Duration = 4.seconds
        val STOP_MARGIN: Duration = 500.milliseconds
        val STOP_CHECK_INTERVAL: Duration = 50.milliseconds

        /** Time in which the load balancer sees two failed readiness probes and stops sending connections. */
        val DEREGISTRATION_TIME: Duration = 2_500.milliseconds
    }
}
