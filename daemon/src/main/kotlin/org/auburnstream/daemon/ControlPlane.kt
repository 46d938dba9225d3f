package org.auburnstream.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import org.auburnstream.api.DaemonLeaseView
import org.auburnstream.api.LeaseView
import org.auburnstream.api.StatusView
import org.auburnstream.control.LeasePolicy
import org.auburnstream.control.OperationIds
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.fleet.FleetProposal
import org.auburnstream.daemon.fleet.FleetStateHolder
import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.operator.GroupControlService
import org.auburnstream.daemon.operator.OperatorServices
import org.auburnstream.daemon.operator.Proposal
import org.auburnstream.daemon.operator.ReadOutcome
import org.auburnstream.daemon.operator.TokenTable
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.GroupConfiguration
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import org.auburnstream.daemon.rollout.GroupLeadership
import org.auburnstream.daemon.rollout.RollOutService
import org.auburnstream.daemon.state.CommandAnswer
import org.auburnstream.daemon.state.CommandBody
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.daemon.state.ReplicatedState
import org.auburnstream.daemon.state.StateView
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.OperatorId
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StoreResult
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs this daemon's replica of the control group, which replicates settings and fleet, and its settings lease.
 *
 * While this daemon leads the group, it also proposes which daemons are live.
 */
internal class ControlPlane(
    private val settings: DaemonSettings,
    private val scope: CoroutineScope,
    transport: PeerTransport,
    store: ReplicaStore,
    private val clock: () -> MonotonicTime,
) {
    private val log = EventLog.of("control")
    private val operationRandom = SecureRandom().asKotlinRandom()
    private val state = ReplicatedState()
    private val group =
        ReplicatedGroupRunner(
            scope = scope,
            transport = transport,
            machine = state,
            store = store,
            configuration = GroupConfiguration(GROUP, settings.voters, settings.dataCentre),
            clock = clock,
            random = Random(settings.seed),
            onFailure = { log.error("control_group_failed", LogKeys.Detail of it.toString()) },
        )
    private val leadership = GroupLeadership(scope, group, quorumContact = group::quorumContactTime)
    private val rollOut =
        RollOutService(
            scope = scope,
            transport = transport,
            status = group.status,
            leadership = leadership,
            clock = clock,
            random = operationRandom,
        )
    private val service = GroupControlService(group, state, rollOut = rollOut::awaitInForce)
    private val configuredDaemons = transport.peers + settings.id
    private var isStartCommitted = false
    private val leaseEnds = LeaseEnds(LONGEST_LEASE)

    /** Flow of the replicated state, updated after each command. */
    val views: StateFlow<StateView> get() = state.view

    /** Replicated state after the last command applied by this replica. */
    val view: StateView get() = state.view.value

    /** State of this replica. */
    val status: ReplicaStatus get() = group.status.value

    /** Whether this daemon has held a settings lease since it started. */
    val everHeldLease: Boolean get() = rollOut.everHeldLease

    /** Remaining time of the settings lease; zero if it is not live. */
    val leaseRemaining: Duration get() = rollOut.leaseRemaining

    /** Whether this daemon may use its settings now. */
    fun isLeaseLive(): Boolean = rollOut.isLeaseLive

    suspend fun start(): StoreResult<Unit> {
        val started = group.start()
        if (started is StoreResult.Done) {
            leadership.start()
            rollOut.start()
            scope.launchRestarting("lease samples") { sampleLeases() }
        }
        return started
    }

    private suspend fun sampleLeases() {
        while (true) {
            val replica = status
            val leads = replica.role == ReplicaRole.LEADER
            leaseEnds.sample(replica.term.takeIf { leads }, rollOut.leases, clock())
            if (!isStartCommitted && isLeaseLive()) isStartCommitted = propose(CommandBody.DaemonStarted(settings.id))
            if (leads) proposeLiveDaemons()
            delay(SAMPLE_INTERVAL)
        }
    }

    /** Proposes to remove each daemon whose lease has certainly expired and to add each daemon that holds a lease. */
    private suspend fun proposeLiveDaemons() {
        val now = clock()
        val known = view.daemons.live
        val holders = rollOut.leases.mapTo(HashSet()) { it.daemon }
        val live = configuredDaemons.filterTo(sortedSetOf()) {
            it in holders ||
                known != null && it in known && now < leaseEnds.endOf(it, now)
        }
        if (live == known || live.isEmpty()) return
        log.info("live_daemons_changed", LogKeys.Detail of live.joinToString(","))
        propose(CommandBody.Daemons(live))
    }

    /** Proposes [body] with this daemon as the operator and returns whether it was applied. */
    private suspend fun propose(body: CommandBody): Boolean {
        val at = Clock.System.now()
        val operation = OperationIds.create(at, operationRandom)
        val command = ReplicatedCommand(operation, OperatorId(settings.id.value), at, body)
        return service.propose(command) is Proposal.Answered
    }

    suspend fun close() {
        rollOut.stop()
        group.stop()
    }

    /** State of the fleet on this replica. */
    val fleet: FleetStateHolder get() = state.fleet

    /** Proposes [command] on behalf of [operator]; only operator commands have an operation id that allows a resend. */
    suspend fun proposeFleet(operator: OperatorId, command: FleetCommand): FleetProposal {
        val now = Clock.System.now()
        val operation = (command as? FleetCommand.Operator)?.operation ?: OperationIds.create(now, operationRandom)
        return when (
            val proposal = service.propose(
                ReplicatedCommand(operation, operator, now, CommandBody.Fleet(command)),
            )
        ) {
            is Proposal.Answered -> fleetAnswer(proposal.answer)
            is Proposal.NotRun -> FleetProposal.NotRun(proposal.reason)
            Proposal.Unknown -> FleetProposal.Unknown
        }
    }

    private fun fleetAnswer(answer: CommandAnswer): FleetProposal = when (answer) {
        is CommandAnswer.Fleet -> FleetProposal.Answered(answer.result)
        else -> FleetProposal.Unknown
    }

    /** Waits until this replica reflects all committed changes; returns the reason if that failed, or null. */
    suspend fun awaitCurrent(): RejectReason? = when (val reading = service.read()) {
        is ReadOutcome.Current -> null
        is ReadOutcome.Unavailable -> reading.reason
    }

    /** Returns the latest time, on this process's clock, at which the settings lease of [daemon] can end. */
    fun leaseEndOf(daemon: DaemonId): MonotonicTime = leaseEnds.endOf(daemon, clock())

    /** Creates the services that the operator routes use. */
    fun services(tokens: TokenTable): OperatorServices =
        OperatorServices(control = service, status = ::statusView, authenticate = tokens::authenticate)

    private fun statusView(): StatusView {
        val replica = status
        return StatusView(
            daemon = settings.id.value,
            group = GROUP.value,
            role = replica.role.name.lowercase(),
            term = replica.term,
            leader = replica.leader?.value,
            commitIndex = replica.commitIndex.value,
            appliedIndex = replica.appliedIndex.value,
            settingsVersion = view.control.version.value,
            epoch = view.control.epoch,
            lease = LeaseView(live = isLeaseLive(), remainingMillis = leaseRemaining.inWholeMilliseconds),
            daemons =
            rollOut.leases.map {
                DaemonLeaseView(it.daemon.value, it.appliedIndex.value, it.remaining.inWholeMilliseconds)
            },
        )
    }

    private companion object {
        // Lease duration plus the drift between two clocks, which stays below 10 %.
        val LONGEST_LEASE = LeasePolicy().duration * 1.1
        val SAMPLE_INTERVAL = 200.milliseconds
        val GROUP = GroupId("control")
    }
}
