package org.auburnstream.daemon.rollout

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.control.DaemonLease
import org.auburnstream.control.LeaseGrantor
import org.auburnstream.control.LeaseMessage
import org.auburnstream.control.LeasePolicy
import org.auburnstream.control.RollOutProgress
import org.auburnstream.control.RollOutTracker
import org.auburnstream.control.SettingsLease
import org.auburnstream.daemon.launchRestarting
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Renews this daemon's settings lease and, while this daemon leads, grants leases to all daemons.
 *
 * A daemon may use its settings only while it holds a lease. As the leader, this service also tracks when a change of
 * the settings is in force, that is, when every daemon has applied it or lost its lease.
 *
 * A single coroutine owns the state. [isLeaseLive] and [leaseRemaining] are thread-safe and read the clock on
 * each call.
 *
 * @param status state of this daemon's replica; its applied index must not be ahead of the state visible to readers.
 * @param leadership provides the confirmed leadership of this daemon.
 * @param clock reads the monotonic clock.
 */
public class RollOutService(
    private val scope: CoroutineScope,
    private val transport: PeerTransport,
    private val status: StateFlow<ReplicaStatus>,
    private val leadership: LeadershipSource,
    private val clock: () -> MonotonicTime,
    random: Random,
    policy: LeasePolicy = LeasePolicy(),
) {
    private val inbox = Channel<Event>(INBOX_CAPACITY)
    private val lease = SettingsLease(random.nextLong(), policy)
    private val grantor = LeaseGrantor(policy)
    private val rollOut = RollOutTracker(grantor, policy)
    private val queries = HashMap<Long, CompletableDeferred<RollOutProgress>>()
    private var lastQuery = 0L
    private var leadingTerm: Long? = null
    private var renewedTerm: Long? = null
    private var jobs: List<Job> = emptyList()

    @Volatile
    private var expiry: MonotonicTime? = null

    @Volatile
    private var grantedLeases: List<DaemonLease> = emptyList()

    /** Whether this daemon may use its settings now; must be checked on each use. */
    public val isLeaseLive: Boolean get() = leaseRemaining > Duration.ZERO

    /** Remaining time of the lease; zero if it is not live. */
    public val leaseRemaining: Duration
        get() = expiry?.let { (it - clock()).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    /** Whether this daemon has held a lease since it started. */
    public val everHeldLease: Boolean get() = expiry != null

    /** Leases of all daemons as of the last event; empty unless this daemon leads. */
    public val leases: List<DaemonLease> get() = grantedLeases

    /** Starts renewing and granting leases. */
    public fun start() {
        check(jobs.isEmpty()) { "roll-out was started before" }
        transport.register(PeerChannel.LEASE) { from, payload ->
            LeaseCodec.decode(payload)?.let { inbox.trySend(Event.MessageReceived(from, it)) }
        }
        jobs = listOf(
            scope.launchRestarting("roll-out status") { status.collect { inbox.send(Event.StatusChanged) } },
            scope.launchRestarting("roll-out") { run() },
        )
    }

    /** Stops renewing and granting leases; the current lease expires. */
    public fun stop() {
        jobs.forEach { it.cancel() }
    }

    /**
     * Polls the leader until the change at [index] is in force or [timeout] expires, and returns the latest progress.
     */
    public suspend fun awaitInForce(index: LogIndex, timeout: Duration): RollOutProgress {
        val start = clock()
        var latest = RollOutProgress(inForce = false, elapsed = Duration.ZERO)
        withTimeoutOrNull(timeout) {
            while (!latest.inForce) {
                val answer = CompletableDeferred<RollOutProgress>()
                inbox.send(Event.ProgressRequested(index, answer))
                latest = withTimeoutOrNull(QUERY_TIMEOUT) { answer.await() } ?: latest
                if (!latest.inForce) delay(QUERY_INTERVAL)
            }
        }
        // Without a report from the leader, only the elapsed wait is known.
        return if (latest.elapsed == Duration.ZERO &&
            !latest.inForce
        ) {
            latest.copy(elapsed = clock() - start)
        } else {
            latest
        }
    }

    private suspend fun run() {
        while (true) {
            val pause = (lease.nextRenewal() - clock()).coerceIn(MIN_PAUSE, MAX_PAUSE)
            val event = withTimeoutOrNull(pause) { inbox.receive() }
            if (event != null) handle(event)
            advance()
        }
    }

    private fun handle(event: Event) {
        when (event) {
            Event.StatusChanged -> Unit
            is Event.MessageReceived -> receive(event.from, event.message)
            is Event.ProgressRequested -> requestProgress(event)
        }
    }

    private fun advance() {
        val replica = status.value
        val now = clock()
        updateLeadership(replica, now)
        rollOut.onCommitted(replica.commitIndex, now)
        rollOut.advance(now)
        grantor.prune(now)
        lease.onApplied(replica.appliedIndex)
        expiry = lease.expiry
        grantedLeases = if (leadingTerm == null) emptyList() else grantor.leases(now)
        renewIfDue(replica, now)
    }

    private fun updateLeadership(replica: ReplicaStatus, now: MonotonicTime) {
        val term = replica.term.takeIf { replica.role == ReplicaRole.LEADER }
        if (term == leadingTerm) return
        leadingTerm = term
        rollOut.onLeadershipChanged()
        if (term == null) grantor.onLeadershipLost() else grantor.onLeadershipAcquired(term, now)
    }

    private fun renewIfDue(replica: ReplicaStatus, now: MonotonicTime) {
        val leader = replica.leader ?: return
        // Renews immediately with a new leader; otherwise leases could expire although no daemon has failed.
        val isNewLeader = renewedTerm != replica.term
        if (!isNewLeader && now < lease.nextRenewal()) return
        renewedTerm = replica.term
        send(leader, lease.renew(now, rollOut.inForceIndex))
    }

    private fun receive(from: DaemonId, message: LeaseMessage) {
        when (message) {
            is LeaseMessage.Renewal -> onRenewal(from, message)
            is LeaseMessage.Grant -> {
                rollOut.onKnownInForce(message.inForceIndex)
                lease.onGrant(message)
            }
            is LeaseMessage.Query -> {
                if (leadingTerm == null) return
                send(from, LeaseMessage.Report(message.query, rollOut.progress(message.index, clock())))
            }
            is LeaseMessage.Report -> queries.remove(message.query)?.complete(message.progress)
        }
    }

    private fun onRenewal(from: DaemonId, renewal: LeaseMessage.Renewal) {
        rollOut.onKnownInForce(renewal.inForceIndex)
        updateLeadership(status.value, clock())
        val confirmed = leadership.confirmedLeadership() ?: return
        val grant = grantor.onRenewal(from, renewal, confirmed, clock()) ?: return
        send(from, grant.copy(inForceIndex = rollOut.inForceIndex))
    }

    private fun requestProgress(event: Event.ProgressRequested) {
        val leader = status.value.leader ?: return
        lastQuery += 1
        queries[lastQuery] = event.answer
        queries.values.removeAll { it.isCompleted || it.isCancelled }
        while (queries.size > MAX_QUERIES) queries.remove(queries.keys.min())
        send(leader, LeaseMessage.Query(lastQuery, event.index))
    }

    private fun send(to: DaemonId, message: LeaseMessage) {
        if (to == transport.self) {
            receive(to, message)
        } else {
            transport.send(to, PeerChannel.LEASE, LeaseCodec.encode(message))
        }
    }

    private sealed interface Event {
        data object StatusChanged : Event

        class MessageReceived(val from: DaemonId, val message: LeaseMessage) : Event

        class ProgressRequested(val index: LogIndex, val answer: CompletableDeferred<RollOutProgress>) : Event
    }

    private companion object {
        const val INBOX_CAPACITY = 1_024
        const val MAX_QUERIES = 256
        val QUERY_INTERVAL = 50.milliseconds
        val QUERY_TIMEOUT = 300.milliseconds
        val MIN_PAUSE = 1.milliseconds
        val MAX_PAUSE = 100.milliseconds
    }
}
