package org.auburnstream.daemon

import io.ktor.network.selector.SelectorManager
import io.ktor.server.routing.Route
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.config.ListenerPorts
import org.auburnstream.daemon.fleet.Platform
import org.auburnstream.daemon.fleet.fleetRoutes
import org.auburnstream.daemon.observability.DaemonMetrics
import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.GracefulStop
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.observability.Readiness
import org.auburnstream.daemon.observability.StopResult
import org.auburnstream.daemon.observability.UnreadyReason
import org.auburnstream.daemon.observability.healthRoutes
import org.auburnstream.daemon.operator.OperatorRoutes
import org.auburnstream.daemon.operator.OperatorServices
import org.auburnstream.daemon.operator.TokenTable
import org.auburnstream.daemon.operator.operatorRoutes
import org.auburnstream.daemon.peer.SocketPeerTransport
import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StoreResult
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.milliseconds

/**
 * A running daemon: creates, starts and stops its listeners, peer links, replicated groups and request path.
 *
 * @param platform executes the actions that the fleet plans permit, or null if the daemon has no platform.
 * @param stores opened stores of the replicated groups; closed by [stop].
 * @param clock reads the monotonic clock.
 */
internal class Daemon(
    private val settings: DaemonSettings,
    tokens: TokenTable,
    stores: GroupStores,
    platform: Platform? = null,
    private val clock: () -> MonotonicTime = monotonicClock(),
) {
    private val log = EventLog.of("daemon")
    private val scope =
        CoroutineScope(
            SupervisorJob() + Dispatchers.Default +
                CoroutineExceptionHandler { _, cause -> log.error("coroutine_failed", cause = cause) },
        )
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = LinkEventLog()
    private val metrics = DaemonMetrics()
    private val transport =
        SocketPeerTransport(settings.id, settings.peers, settings.seed, onEvent = links::onEvent)
    private val control = ControlPlane(settings, scope, transport, stores.control, clock)
    private val ledger = LedgerPlane(settings, scope, transport, stores.ledger, clock)
    private val requests: RequestPath =
        RequestPath(
            settings = settings,
            scope = scope,
            selector = selector,
            transport = transport,
            control = control,
            ledger = ledger,
            metrics = metrics,
            clock = clock,
            poolOf = ::poolOf,
            onAnnouncement = ::forwardAnnouncement,
        )
    private val fleet: FleetPlane =
        FleetPlane(settings, transport, control, platform, clock, inProgress = requests::busyVms)
    private val operators =
        HttpListener(settings.bindAddress, settings.ports.operators) { addOperatorRoutes(control.services(tokens)) }
    private val health =
        HttpListener(settings.bindAddress, settings.ports.health) { healthRoutes(::readiness, metrics) }

    @Volatile
    private var stopping = false

    /** Starts all components and returns the bound ports, or the error of a store. */
    suspend fun start(): StoreResult<ListenerPorts> {
        val peerPort = transport.start(scope, settings.bindAddress, settings.ports.peers)
        for (started in listOf(control.start(), ledger.start())) {
            if (started is StoreResult.Failed) return started
        }
        fleet.start(scope, onPlacement = requests::applyPlacement)
        registerStateMetrics(metrics, control, requests)
        registerLinkMetrics(metrics, links)
        val ports =
            ListenerPorts(
                callers = requests.startCallers(),
                operators = operators.start(),
                targets = requests.startTargets(),
                peers = peerPort,
                health = health.start(),
            )
        settings.portsFile?.writeText(ports.toText())
        return StoreResult.Done(ports)
    }

    /** Stops gracefully: requests in progress complete unless the drain timeout expires first. */
    suspend fun stop(): StopResult = GracefulStop(
        markUnready = { stopping = true },
        unreadyPeriod = settings.unreadyPeriod,
        refuseNewWork = requests::refuseNewWork,
        awaitIdle = { while (requests.inProgress > 0) delay(IDLE_CHECK_INTERVAL) },
        drainTimeout = settings.drainTimeout,
        close = ::close,
    ).run()

    private fun poolOf(service: ServiceId): PoolId? = fleet.poolOf(service)

    private fun forwardAnnouncement(announcement: Announcement) {
        fleet.onAnnouncement(announcement)
    }

    private fun Route.addOperatorRoutes(services: OperatorServices) {
        operatorRoutes(services)
        fleetRoutes(OperatorRoutes(services), fleet.operations)
    }

    private suspend fun close() {
        requests.close()
        operators.close()
        ledger.close()
        control.close()
        health.close()
        transport.close()
        scope.cancel()
        selector.close()
        log.info("stopped", LogKeys.Detail of settings.id.value)
    }

    private fun readiness(): Readiness = when {
        stopping -> Readiness.Unready(UnreadyReason.STOPPING)
        control.isLeaseLive() -> Readiness.Ready
        control.everHeldLease -> Readiness.Unready(UnreadyReason.SETTINGS_LEASE_EXPIRED)
        else -> Readiness.Unready(UnreadyReason.STARTING)
    }

    private companion object {
        val IDLE_CHECK_INTERVAL = 20.milliseconds
    }
}

/** Stores of the replicated groups of a daemon. */
internal class GroupStores(val control: ReplicaStore, val ledger: ReplicaStore)
