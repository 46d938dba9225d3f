package org.auburnstream.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
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
 * This daemon's part in the management of the fleet.
 *
 * @param inProgress VMs that this daemon has a request in progress on.
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
    private val reported = LatestNotices(log)

    @Volatile
    private var carriers: Map<ServiceId, Set<PoolId>> = emptyMap()

    /** Revision of the placement that the request path has taken over. */
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

    /** The pool that carries [service], or null while none or several do. */
    fun poolOf(service: ServiceId): PoolId? = carriers[service]?.singleOrNull()

    /** What the operators' routes of the fleet need. */
    val operations =
        FleetOperations(
            host = control.fleet,
            propose = control::proposeFleet,
            awaitCurrent = control::awaitCurrent,
        )

    /** Takes an announcement that this daemon's listener received. */
    fun onAnnouncement(announcement: Announcement) {
        shell.onAnnouncement(announcement)
    }

    /** Starts the reports and, while this daemon leads, the plans; calls [onPlacement] with each new placement. */
    fun start(scope: CoroutineScope, onPlacement: (RoutingPlacement?) -> Unit) {
        shell.start(scope)
        scope.launch {
            placement.collect {
                onPlacement(follow(it))
                adopted = it.revision
            }
        }
        scope.launch { register() }
    }

    /** Drains wait for every registered daemon, so a daemon routes only once it is registered. */
    private suspend fun register() {
        while (settings.id !in placement.value.daemons) {
            if (control.status.leader != null) control.proposeFleet(self, FleetCommand.RegisterDaemon(settings.id))
            delay(REGISTER_INTERVAL)
        }
    }

    /** Without any placed VM the request path accepts what targets announce. */
    private fun follow(placement: Placement): RoutingPlacement? {
        if (placement.vms.isEmpty()) return null
        if (settings.id !in placement.daemons) return RoutingPlacement(services = emptyMap(), vms = emptyMap())
        val vms = placement.vms
        carriers = vms.values.flatMap { vm -> vm.services.map { it to vm.pool } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }
        return RoutingPlacement(
            services = carriers,
            vms = vms.mapValues { it.value.pool },
            leaving = vms.values.filter { it.state != PlacedState.ACTIVE }.mapTo(HashSet()) { it.id },
        )
    }

    private companion object {
        val REGISTER_INTERVAL = 1.seconds
    }
}

/** Logs a notice when it first appears; the planner repeats each one for as long as it holds. */
private class LatestNotices(private val log: EventLog) {
    private val seen = LinkedHashSet<FleetNotice>()

    fun onNotice(notice: FleetNotice) {
        if (!seen.add(notice)) return
        if (seen.size > MAX_SEEN) seen.remove(seen.first())
        log.warn("fleet_notice", LogKeys.Detail of notice.toString())
    }

    private companion object {
        const val MAX_SEEN = 1024
    }
}
