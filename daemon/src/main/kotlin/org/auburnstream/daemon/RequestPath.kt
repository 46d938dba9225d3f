package org.auburnstream.daemon

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.auburnstream.daemon.caller.CallerServer
import org.auburnstream.daemon.caller.CallerSettings
import org.auburnstream.daemon.caller.CreditLink
import org.auburnstream.daemon.caller.RouterDriver
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.observability.DaemonMetrics
import org.auburnstream.daemon.observability.RequestTracing
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.state.LiveDaemons
import org.auburnstream.daemon.state.StateView
import org.auburnstream.daemon.target.TargetGateway
import org.auburnstream.daemon.target.TargetListener
import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.routing.Placement
import org.auburnstream.routing.Router
import org.auburnstream.routing.RoutingInput
import org.auburnstream.routing.RoutingSettings
import org.auburnstream.routing.ServiceLoad
import org.auburnstream.routing.ServicePolicy
import org.auburnstream.routing.TargetLoad
import org.auburnstream.routing.credit.DaemonView
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Request processing of this daemon: the callers' listener, the router and the connections to targets. */
internal class RequestPath(
    settings: DaemonSettings,
    private val scope: CoroutineScope,
    selector: SelectorManager,
    private val transport: PeerTransport,
    private val control: ControlPlane,
    ledger: LedgerPlane,
    metrics: DaemonMetrics,
    private val clock: () -> MonotonicTime,
    poolOf: (ServiceId) -> PoolId?,
    onAnnouncement: (Announcement) -> Unit,
) {
    private val routing = RoutingSettings(leaseRequired = true)
    private val epoch = System.currentTimeMillis()
    private val tracing = RequestTracing(settings.traceExport)
    private val gateway = TargetGateway(selector, clock)
    private val configuredDaemons = transport.peers + settings.id
    private val router =
        Router(
            self = settings.id,
            dataCentre = settings.dataCentre,
            view = DaemonView(version = 0, configured = configuredDaemons, live = emptySet(), leased = true),
            epoch = epoch,
            start = clock(),
            random = Random(settings.seed),
            settings = routing,
        )
    private val credits = CreditLink(transport)
    private val driver =
        RouterDriver(
            router = router,
            gateway = gateway,
            clock = clock,
            sendCredit = credits::send,
            hops = tracing,
            tick = routing.tick,
        )
    private val policies = ServicePolicies(settings.region, settings.dataCentre, poolOf)
    private val gate =
        RequestGate(
            view = control::view,
            isLeaseLive = control::isLeaseLive,
            policies = policies,
            metrics = metrics,
            clock = clock,
            next = ledger.withIdempotencyKeys(epoch, driver::handle),
        )
    private val requestIds = RequestIds(settings.id.value)
    private val callers =
        CallerServer(
            scope = scope,
            selector = selector,
            clock = clock,
            nextId = requestIds::next,
            handler = gate::handle,
            settings =
            CallerSettings(
                host = settings.bindAddress,
                port = settings.ports.callers,
                connections = settings.limits.connections,
                headBytes = settings.limits.headerBytes,
                bodyBytes = settings.limits.bodyBytes,
            ),
        )
    private val targets =
        TargetListener(host = settings.bindAddress, port = settings.ports.targets, announce = {
            onAnnouncement(it)
            driver.announce(it).also { updateRouter(control.view) }
        })
    private val appliedPolicies = ConcurrentHashMap<ServiceId, ServicePolicy>()
    private var appliedDaemonsVersion = 0L
    private var ticks: Job? = null

    /** Returns the load of this daemon by service. */
    fun load(): List<ServiceLoad> = driver.load()

    /** Returns the load of the targets known to this daemon. */
    fun targetLoads(): List<TargetLoad> = driver.targets()

    /** Number of requests whose answer is not yet completely written. */
    val inProgress: Int get() = callers.inProgress

    /** Returns the VMs on which this daemon has requests in progress. */
    fun busyVms(): Set<VmId> = driver.busyVms()

    /** Passes changed live daemons and service policies of the replicated state [view] to the router. */
    private fun updateRouter(view: StateView) {
        updateDaemons(view.daemons)
        for (load in driver.load()) {
            val policy = policies.policy(view, load.service)
            if (appliedPolicies.put(load.service, policy) != policy) {
                driver.input(RoutingInput.PolicyChanged(load.service, policy))
            }
        }
    }

    @Synchronized
    private fun updateDaemons(daemons: LiveDaemons) {
        if (daemons.version == appliedDaemonsVersion) return
        appliedDaemonsVersion = daemons.version
        val live = daemons.live ?: configuredDaemons
        driver.input(
            RoutingInput.DaemonViewChanged(DaemonView(daemons.version, configuredDaemons, live, leased = true)),
        )
    }

    /** Makes the router use [placement]; with null it accepts the services that targets announce. */
    fun applyPlacement(placement: Placement?) {
        driver.input(RoutingInput.PlacementChanged(placement))
    }

    /** Starts listening for callers and returns the bound port. */
    suspend fun startCallers(): Int {
        credits.start { from, message -> driver.input(RoutingInput.CreditMessageReceived(from, message)) }
        ticks = driver.start(scope)
        scope.launchRestarting("lease end") { publishLeaseEnd() }
        scope.launchRestarting("router settings") { control.views.collect { updateRouter(it) } }
        return callers.start()
    }

    /** Informs the router of the end of the lease, since it must drop queued requests when the lease expires. */
    private suspend fun publishLeaseEnd() {
        while (true) {
            val remaining = control.leaseRemaining
            if (remaining.isPositive()) driver.input(RoutingInput.SettingsLeaseRenewed(clock() + remaining))
            delay(LEASE_UPDATE_INTERVAL)
        }
    }

    /** Starts listening for announcements of targets and returns the bound port. */
    suspend fun startTargets(): Int = targets.start()

    /** Rejects all further requests as not run. */
    fun refuseNewWork() {
        driver.input(RoutingInput.Stopping)
    }

    suspend fun close() {
        callers.close()
        targets.close()
        ticks?.cancel()
        gateway.close()
        tracing.close()
    }

    private companion object {
        val LEASE_UPDATE_INTERVAL = 250.milliseconds
    }
}

/** Generates request ids unique across processes: the daemon's id, a random part per process start, and a counter. */
private class RequestIds(daemon: String) {
    private val prefix = "$daemon-${SecureRandom().nextInt().toUInt().toString(RADIX)}-"
    private val count = AtomicLong()

    fun next(): RequestId = RequestId(prefix + count.incrementAndGet())

    private companion object {
        const val RADIX = 36
    }
}
