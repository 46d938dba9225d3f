package org.auburnstream.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
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

/** This daemon's part in the control group, and the state that it replicates. */
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
    private val configured = transport.peers + settings.id
    private var isStartKnown = false
    private val leaseEnds = LeaseEnds(LONGEST_LEASE)

    /** Latest and later states, each after a command. */
    val views: StateFlow<StateView> get() = state.view

    /** Settings and fleet as replicated here. */
    val view: StateView get() = state.view.value

    /** State of this replica. */
    val status: ReplicaStatus get() = group.status.value

    /** Whether a settings lease was ever obtained. */
    val hadLease: Boolean get() = rollOut.hadLease

    /** How long the settings lease is still live; zero if it is not. */
    val leaseRemaining: Duration get() = rollOut.remaining

    /** Whether the settings known here may be acted upon now. */
    fun isLeaseLive(): Boolean = rollOut.isLive

    suspend fun start(): StoreResult<Unit> {
        val started = group.start()
        if (started is StoreResult.Done) {
            leadership.start()
            rollOut.start()
            scope.launch { sampleLeases() }
        }
        return started
    }

    private suspend fun sampleLeases() {
        while (true) {
            val replica = status
            val leads = replica.role == ReplicaRole.LEADER
            leaseEnds.sample(replica.term.takeIf { leads }, rollOut.leases, clock())
            if (!isStartKnown && isLeaseLive()) isStartKnown = propose(CommandBody.DaemonStarted(settings.id))
            if (leads) agreeOnLiveDaemons()
            delay(SAMPLE_INTERVAL)
        }
    }

    /** Leaves out a daemon once its lease has certainly run out, and takes it back when it holds one again. */
    private suspend fun agreeOnLiveDaemons() {
        val now = clock()
        val known = view.daemons.live
        val holders = rollOut.leases.mapTo(HashSet()) { it.daemon }
        val live = configured.filterTo(sortedSetOf()) {
            it in holders ||
                known != null && it in known && now < leaseEnds.endOf(it, now)
        }
        if (live == known || live.isEmpty()) return
        log.info("live_daemons_changed", LogKeys.Detail of live.joinToString(","))
        propose(CommandBody.Daemons(live))
    }

    /** Proposes [body] in this daemon's own name and returns whether it was applied. */
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

    /** This replica's state of the fleet. */
    val fleet: FleetStateHolder get() = state.fleet

    /** Proposes [command] in the name of [operator]; only an operator's command can be resent under its own id. */
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

    /** Waits until this replica reflects every accepted change; returns why that failed, or null. */
    suspend fun awaitCurrent(): RejectReason? = when (val reading = service.read()) {
        is ReadOutcome.Current -> null
        is ReadOutcome.Unavailable -> reading.reason
    }

    /** Latest end of the settings lease that [daemon] can hold, on this process's clock. */
    fun leaseEndOf(daemon: DaemonId): MonotonicTime = leaseEnds.endOf(daemon, clock())

    /** Builds what the operators' routes need. */
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
        // The lease with the drift of two clocks, which stays below a tenth.
        val LONGEST_LEASE = LeasePolicy().duration * 1.1
        val SAMPLE_INTERVAL = 200.milliseconds
        val GROUP = GroupId("control")
    }
}
