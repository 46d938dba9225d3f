package org.auburnstream.daemon.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.auburnstream.daemon.launchRestarting
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.fleet.DrainReport
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetNotice
import org.auburnstream.fleet.FleetResult
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.FleetTimings
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Functions of the surrounding daemon that the fleet code depends on.
 *
 * @property leader returns the control group's leader as known to this daemon, or null.
 * @property propose proposes a command to the control group and waits for its result.
 * @property adoptedRevision revision of the placement that the request path selects VMs from, which can be older than
 *   the last applied one. Once this returns a newer revision, [inProgress] must already include every request that was
 *   routed by an older placement; otherwise a drain could end while such a request runs.
 * @property inProgress VMs on which this daemon has a request in progress.
 * @property leaseEndOf latest end of the settings lease that a daemon can hold, on this process's clock; on a new
 *   leader, one lease length after it began to lead.
 * @property onNotice receives notices for operators; called again for each plan in which the condition persists.
 */
public class FleetServices(
    public val leader: () -> DaemonId?,
    public val propose: suspend (FleetCommand) -> FleetProposal,
    public val adoptedRevision: () -> FleetRevision,
    public val inProgress: () -> Set<VmId>,
    public val leaseEndOf: (DaemonId) -> MonotonicTime,
    public val clock: () -> MonotonicTime,
    public val wallClock: Clock = Clock.System,
    public val onNotice: (FleetNotice) -> Unit = {},
)

/** Result of proposing a [FleetCommand]. */
public sealed interface FleetProposal {
    /** The group applied the command with this [result]. */
    public data class Answered(val result: FleetResult) : FleetProposal

    /** The command was not and will not be applied. */
    public data class NotRun(val reason: RejectReason) : FleetProposal

    /** The command may have been applied. */
    public data object Unknown : FleetProposal
}

/**
 * Runs the fleet loops of one daemon: sends reports to the leader, and plans while this daemon is the leader.
 *
 * @param platform executes permitted requests; null if no platform is configured.
 * @param reportInterval delay between two reports to the leader.
 * @param planInterval delay between two planning passes of the leader.
 */
public class FleetRunner(
    private val host: FleetStateHolder,
    private val transport: PeerTransport,
    private val services: FleetServices,
    private val platform: Platform? = null,
    private val timings: FleetTimings = FleetTimings.Default,
    private val reportInterval: Duration = 500.milliseconds,
    private val planInterval: Duration = 200.milliseconds,
) {
    private val relay = AnnouncementRelay()
    private var sequence = 0L

    @Volatile
    private var activeLeader: FleetLeader? = null

    /** Queues an announcement, received by this daemon's listener, for the leader. */
    public fun onAnnouncement(announcement: Announcement) {
        relay.onAnnouncement(announcement)
    }

    /** Starts the loops in [scope]; they stop when it is cancelled. */
    public fun start(scope: CoroutineScope) {
        transport.register(PeerChannel.FLEET) { _, payload -> onPayload(payload) }
        scope.launchRestarting("drain reports") { repeatEvery(reportInterval) { report() } }
        scope.launchRestarting("fleet plans") { lead(scope) }
    }

    private fun onPayload(payload: ByteArray) {
        val message = FleetMessages.decode(payload) ?: return
        activeLeader?.onMessage(message)
    }

    private fun report() {
        val leader = services.leader() ?: return
        // The revision is read before the requests in progress: see FleetServices.adoptedRevision.
        val revision = services.adoptedRevision()
        val report = DrainReport(transport.self, sequence++, revision, services.inProgress())
        val messages = relay.drainMessages(leader) + FleetMessage.Drain(report)
        for (message in messages) {
            if (leader == transport.self) {
                activeLeader?.onMessage(message)
            } else {
                transport.send(leader, PeerChannel.FLEET, FleetMessages.encode(message))
            }
        }
    }

    private suspend fun lead(scope: CoroutineScope) {
        var usage: Job? = null
        try {
            repeatEvery(planInterval) {
                if (services.leader() == transport.self) {
                    val leader = activeLeader ?: FleetLeader(host, services, platform, timings)
                    activeLeader = leader
                    if (usage == null) usage = scope.launchUsage(leader)
                    leader.planAndExecute(scope)
                } else {
                    usage?.cancel()
                    usage = null
                    activeLeader = null
                }
            }
        } finally {
            usage?.cancel()
        }
    }

    private fun CoroutineScope.launchUsage(leader: FleetLeader): Job =
        launchRestarting("usage") { repeatEvery(USAGE_INTERVAL) { leader.readUsage() } }

    private companion object {
        val USAGE_INTERVAL = 2_000.milliseconds
    }
}

private suspend fun repeatEvery(interval: Duration, action: suspend () -> Unit) {
    while (kotlin.coroutines.coroutineContext.isActive) {
        action()
        delay(interval)
    }
}
