package org.auburnstream.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.fleet.FleetOperations
import org.auburnstream.daemon.fleet.FleetRunner
import org.auburnstream.daemon.fleet.FleetServices
import org.auburnstream.daemon.fleet.Platform
import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetNotice
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.PlacedState
import org.auburnstream.fleet.Placement
import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.OperatorId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration.Companion.seconds
import org.auburnstream.routing.Placement as RoutingPlacement

/**
 * Connects fleet management to this daemon: registers the daemon, reports to the fleet's leader, runs the planner while
 * this daemon leads, and passes the placement to the request path.
 *
 * @param inProgress returns the VMs on which this daemon has requests in progress.
 */
internal class FleetPlane(
    private val settings: DaemonSettings,
    transport: PeerTransport,
    private val control: ControlPlane,
    platform: Platform?,
    clock: () -> MonotonicTime,
    inProgress: () -> Set<VmId>,
) {
    private val log = EventLog.of("fleet")
    private val reported = NoticeLog(log)

    @Volatile
    private var poolsByService: Map<ServiceId, Set<PoolId>> = emptyMap()

    /** Revision of the placement that the request path uses. */
    @Volatile
    private var adopted = FleetRevision.Zero

    private val self = OperatorId(settings.id.value)
    private val shell =
        FleetRunner(
            host = control.fleet,
            transport = transport,
            services =
            FleetServices(
                leader = { control.status.leader },
                propose = { control.proposeFleet(self, it) },
                adoptedRevision = { adopted },
                inProgress = inProgress,
                leaseEndOf = control::leaseEndOf,
                clock = clock,
                onNotice = reported::onNotice,
            ),
            platform = platform,
        )

    /** View of the fleet after the last applied command. */
    val placement: StateFlow<Placement> get() = control.fleet.placement

    /** Returns the pool that runs [service], or null if no pool or several pools run it. */
    fun poolOf(service: ServiceId): PoolId? = poolsByService[service]?.singleOrNull()

    /** Operations for the fleet's operator routes. */
    val operations =
        FleetOperations(
            host = control.fleet,
            propose = control::proposeFleet,
            awaitCurrent = control::awaitCurrent,
        )

    /** Handles an announcement that this daemon's target listener received. */
    fun onAnnouncement(announcement: Announcement) {
        shell.onAnnouncement(announcement)
    }

    /** Starts reporting and, while this daemon leads, planning; calls [onPlacement] with each new placement. */
    fun start(scope: CoroutineScope, onPlacement: (RoutingPlacement?) -> Unit) {
        shell.start(scope)
        scope.launchRestarting("placement") {
            placement.collect {
                onPlacement(updatePlacement(it))
                adopted = it.revision
            }
        }
        scope.launchRestarting("registration") { register() }
    }

    /** Registers this daemon; it routes only once registered, because a drain waits for all registered daemons. */
    private suspend fun register() {
        while (settings.id !in placement.value.daemons) {
            if (control.status.leader != null) control.proposeFleet(self, FleetCommand.RegisterDaemon(settings.id))
            delay(REGISTER_INTERVAL)
        }
    }

    /**
     * Updates the pools by service and returns the placement for the request path.
     *
     * Returns null if no VM is placed, in which case the request path accepts the services that targets announce.
     */
    private fun updatePlacement(placement: Placement): RoutingPlacement? {
        if (placement.vms.isEmpty()) return null
        if (settings.id !in placement.daemons) return RoutingPlacement(services = emptyMap(), vms = emptyMap())
        val vms = placement.vms
        poolsByService = vms.values.flatMap { vm -> vm.services.map { it to vm.pool } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }
        return RoutingPlacement(
            services = poolsByService,
            vms = vms.mapValues { it.value.pool },
            leaving = vms.values.filter { it.state != PlacedState.ACTIVE }.mapTo(HashSet()) { it.id },
        )
    }

    private companion object {
        val REGISTER_INTERVAL = 1.seconds
    }
}

/** Logs each notice once, because the planner repeats a notice while its condition holds. */
private class NoticeLog(private val log: EventLog) {
    private val logged = LinkedHashSet<FleetNotice>()

    fun onNotice(notice: FleetNotice) {
        if (!logged.add(notice)) return
        if (logged.size > MAX_REMEMBERED_NOTICES) logged.remove(logged.first())
        log.warn("fleet_notice", LogKeys.Detail of notice.toString())
    }

    private companion object {
        const val MAX_REMEMBERED_NOTICES = 1024
    }
}
