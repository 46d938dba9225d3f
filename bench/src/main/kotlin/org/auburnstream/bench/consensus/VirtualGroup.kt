package org.auburnstream.bench.consensus

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.Envelope
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.Member
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.MembershipRequestId
import org.auburnstream.consensus.MembershipResult
import org.auburnstream.consensus.RaftRole
import org.auburnstream.consensus.Replica
import org.auburnstream.consensus.ReplicaInput
import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.consensus.RestoredState
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Replicas on virtual time with links that work, spread in turn over three data centres.
 *
 * @property oneWay latency of each link.
 * @property sync time that the store needs to make a write durable.
 */
internal class VirtualGroup(
    seed: Long,
    voters: Int,
    durableLearners: Int,
    disklessLearners: Int = 0,
    settings: ReplicaSettings = ReplicaSettings.Default,
    private val oneWay: Duration = 500.microseconds,
    private val sync: Duration = 5.milliseconds,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val names = (1..voters + durableLearners + disklessLearners).map { DaemonId("daemon-$it") }
    private val durable = names.take(voters + durableLearners).toSet()
    private var order = 0L
    val nodes: Map<DaemonId, Node>
    var time: MonotonicTime = MonotonicTime.Zero
        private set
    var onSend: (from: DaemonId, envelope: Envelope) -> Unit = { _, _ -> }

    val leader: Node?
        get() = nodes.values.firstOrNull { !it.isDown && it.replica.role == RaftRole.LEADER }

    init {
        val initial = names.take(voters).toSet()
        nodes = names.associateWith { name ->
            val id = MemberId(name, Incarnation(random.nextLong()))
            val peers = names.toSet() - name
            val place = DataCentreId("dc-${names.indexOf(name) % DATA_CENTRES + 1}")
            val member = Member(id, durable = name in durable, dataCentre = place)
            val replicaRandom = Random(random.nextLong())
            Node(id, Replica(member, GROUP, RestoredState(), initial, { peers }, replicaRandom, time, settings))
        }
        nodes.values.forEach { it.schedule() }
    }

    /** Runs until [done], at most for [limit]; returns whether it is done. */
    fun runUntil(limit: Duration, done: () -> Boolean = { false }): Boolean {
        val end = time + limit
        while (!done()) {
            val next = events.peek()?.takeIf { it.at <= end }
            if (next == null) {
                time = end
                return done()
            }
            events.poll()
            time = next.at
            next.action()
        }
        return true
    }

    /** Runs until every daemon is a member and a leader has a quorum. */
    fun awaitFormed() {
        val formed = runUntil(FORMATION_LIMIT) {
            leader?.replica?.let { it.configuration.members.size == names.size && it.failureTolerance != null } == true
        }
        check(formed) { "group of ${names.size} did not form within $FORMATION_LIMIT" }
    }

    private fun after(delay: Duration, action: () -> Unit) {
        events.add(Event(time + delay, order++, action))
    }

    private class Event(val at: MonotonicTime, val order: Long, val action: () -> Unit)

    /** One replica with its timer and store. */
    inner class Node(val id: MemberId, val replica: Replica) {
        private var timer: MonotonicTime? = null
        var isDown: Boolean = false
        var result: MembershipResult? = null
            private set

        fun change(change: MembershipChange) {
            result = null
            receive(ReplicaInput.MembershipRequested(MembershipRequestId(order), change))
        }

        fun schedule() {
            val deadline = maxOf(replica.nextDeadline, time)
            val planned = timer
            if (planned != null && planned <= deadline) return
            timer = deadline
            after(deadline - time) {
                if (timer == time) timer = null
                receive(ReplicaInput.Tick)
            }
        }

        private fun receive(input: ReplicaInput) {
            if (isDown) return
            replica.handle(input, time).forEach(::carryOut)
            schedule()
        }

        private fun carryOut(effect: Effect) {
            when (effect) {
                is Effect.Send -> send(effect)
                is Effect.Persist -> after(sync) { receive(ReplicaInput.PersistCompleted(effect.sequence)) }
                is Effect.CompleteMembership -> result = effect.result
                else -> Unit
            }
        }

        private fun send(effect: Effect.Send) {
            onSend(id.daemon, effect.envelope)
            after(oneWay) { nodes.getValue(effect.to).receive(ReplicaInput.MessageReceived(effect.envelope)) }
        }
    }

    private companion object {
        const val DATA_CENTRES = 3
        val GROUP = GroupId("control")
        val FORMATION_LIMIT = 60_000.milliseconds
    }
}
