package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates the lease protocol of six daemons in virtual time, with failing leaders and random faults.
 *
 * Consensus is replaced by a model with one actual leader. The model elects a new leader at most 2 s after a failure
 * if a daemon is connected, and only the actual leader commits. A replaced leader may still consider itself the
 * leader. Clock rates deviate by up to 0.9% from virtual time.
 */
internal class LeaseSimulation(seed: Int, private val faults: Boolean = true) {
    private val random = Random(seed)
    private val policy = LeasePolicy()
    private val nodes = List(DAEMONS) { Node(DaemonId("d$it"), 1 + random.nextDouble(-0.009, 0.009)) }
    private val network = ArrayList<Packet>()
    private val committedAt = ArrayList<Duration>()
    private val inForceKnownAt = HashMap<Int, Duration>()
    private val elections = ArrayList<Duration>()
    private var now = 1.seconds
    private var term = 1L
    private var leader: Node? = nodes[0]
    private var electedAt = now
    private var nextElection: Duration? = null
    private var nextCommit = now
    private var inForce = 0
    private val violations = ArrayList<String>()

    /** Times from the commit of a change until the actual leader knew that it was in force. */
    val rollOutTimes = ArrayList<Duration>()
    var messages = 0
        private set

    /** Runs the simulation for [length] of virtual time and returns the violations found. */
    fun run(length: Duration = 22.seconds): List<String> {
        nodes[0].becomeLeader(term)
        val end = now + length
        while (now < end && violations.isEmpty()) step(end)
        checkRollOutTimes(end)
        return violations
    }

    private fun step(end: Duration) {
        now += STEP
        if (faults && now < end - 8.seconds) injectFault()
        if (leader?.isConnected() == false) deposeLeader()
        elect()
        commit()
        deliver()
        nodes.filter { it.isRunning() }.forEach { it.step() }
        checkLiveLeases()
    }

    private fun injectFault() {
        if (random.nextInt(30) != 0) return
        val node = nodes.random(random)
        // At most two daemons are faulty at a time, because five voters tolerate two failures. A restarted daemon
        // counts as faulty until it has had time to learn the commit index again.
        if (nodes.count { it.isFaulty() } >= 2 && !node.isFaulty()) return
        val length = random.nextInt(100, 9_000).milliseconds
        when (random.nextInt(5)) {
            0 -> node.frozenUntil = now + length
            1 -> node.isolatedUntil = now + length
            2 -> node.inboundBlockedUntil = now + length
            3 -> node.outboundBlockedUntil = now + length
            else -> node.restart()
        }
        if (leader != null && random.nextInt(12) == 0) deposeLeader()
    }

    /** Removes the actual leader, which may still consider itself the leader, and schedules an election. */
    private fun deposeLeader() {
        leader = null
        nextElection = now + random.nextInt(300, 1_900).milliseconds
    }

    private fun elect() {
        val due = nextElection ?: return
        if (now < due) return
        val winner = nodes.filter { it.isConnected() }.ifEmpty { return }.random(random)
        nextElection = null
        term += 1
        electedAt = now
        elections += now
        leader = winner
        winner.becomeLeader(term)
    }

    private fun commit() {
        val current = leader ?: return
        if (now < nextCommit || now < electedAt + LEADER_READY_DELAY) return
        committedAt += now
        nextCommit = now + random.nextInt(20, 1_500).milliseconds
    }

    private fun deliver() {
        val due = network.filter { it.at <= now }
        network.removeAll(due.toSet())
        due.shuffled(random).forEach { packet ->
            if (packet.to.isRunning()) packet.to.receive(packet) else network += packet.copy(at = packet.to.frozenUntil)
        }
    }

    private fun send(from: Node, to: Node, message: LeaseMessage) {
        messages++
        if (from === to) return to.receive(Packet(now, from, to, message))
        val blocked =
            now < from.isolatedUntil || now < to.isolatedUntil ||
                now < from.outboundBlockedUntil || now < to.inboundBlockedUntil
        if (blocked || (faults && random.nextInt(20) == 0)) return
        repeat(if (faults && random.nextInt(20) == 0) 2 else 1) {
            val late = faults && random.nextInt(20) == 0
            val delay = if (late) random.nextInt(30, 5_000) else random.nextInt(1, 20)
            network += Packet(now + delay.milliseconds, from, to, message)
        }
    }

    /** Checks that no daemon with a live lease uses settings older than those in force or those the lease allows. */
    private fun checkLiveLeases() {
        val bound = committedAt.indexOfLast { it <= now - policy.duration * (1 + 2 * policy.clockDrift) } + 1
        for (node in nodes.filter { it.isRunning() }) {
            if (!node.lease.isLive(node.clock())) continue
            if (node.applied < inForce) violations += "$now ${node.id} acts on ${node.applied}, $inForce is in force"
            if (node.applied <
                bound
            ) {
                violations += "$now ${node.id} acts on ${node.applied}, older than the lease allows: $bound"
            }
        }
    }

    /** Checks that every change with at most one election around it is known to be in force within 6 s. */
    private fun checkRollOutTimes(end: Duration) {
        committedAt.forEachIndexed { position, at ->
            if (at + ROLL_OUT_LIMIT > end) return@forEachIndexed
            val known = inForceKnownAt[position + 1]
            if (known != null) rollOutTimes += known - at
            val elected = elections.count { it > at - 2.seconds && it <= at + ROLL_OUT_LIMIT }
            if (elected <= 1 &&
                (known == null || known - at > ROLL_OUT_LIMIT)
            ) {
                violations +=
                    "change ${position + 1} of $at known in force at $known"
            }
        }
    }

    private data class Packet(val at: Duration, val from: Node, val to: Node, val message: LeaseMessage)

    private inner class Node(val id: DaemonId, private val rate: Double) {
        var frozenUntil = Duration.ZERO
        var isolatedUntil = Duration.ZERO
        var inboundBlockedUntil = Duration.ZERO
        var outboundBlockedUntil = Duration.ZERO
        private var restartedAt = -ROLL_OUT_LIMIT
        var applied = 0
        lateinit var lease: SettingsLease
        private lateinit var grantor: LeaseGrantor
        private lateinit var rollOut: RollOutTracker
        private var believedTerm: Long? = null
        private var believedLeader: Node? = null
        private var contact = MonotonicTime.Zero
        private var commit = 0
        private var isReady = false

        init {
            start()
        }

        fun clock() = MonotonicTime((now.inWholeNanoseconds * rate).toLong())

        fun isRunning() = now >= frozenUntil

        fun isConnected() =
            isRunning() && now >= isolatedUntil && now >= inboundBlockedUntil && now >= outboundBlockedUntil

        fun isFaulty() = !isConnected() || now < restartedAt + ROLL_OUT_LIMIT

        fun restart() {
            start()
            restartedAt = now
            applied = maxOf(0, applied - random.nextInt(0, 10))
            commit = applied
            if (leader === this) deposeLeader()
        }

        private fun start() {
            lease = SettingsLease(random.nextLong(), policy)
            grantor = LeaseGrantor(policy)
            rollOut = RollOutTracker(grantor, policy)
            believedTerm = null
        }

        fun becomeLeader(term: Long) {
            believedTerm = term
            isReady = false
            grantor.onLeadershipAcquired(term, clock())
            rollOut.onLeadershipChanged()
        }

        fun step() {
            replicate()
            rollOut.onCommitted(LogIndex(commit.toLong()), clock())
            rollOut.advance(clock())
            inForce = maxOf(inForce, rollOut.inForceIndex.value.toInt())
            lease.onApplied(LogIndex(applied.toLong()))
            if (clock() >=
                lease.nextRenewal()
            ) {
                believedLeader?.let { send(this, it, lease.renew(clock(), rollOut.inForceIndex)) }
            }
            if (believedTerm != null) checkRollOuts()
        }

        fun receive(packet: Packet) {
            when (val message = packet.message) {
                is LeaseMessage.Renewal -> {
                    rollOut.onKnownInForce(message.inForceIndex)
                    // A leader knows the commit index only after it has committed an entry of its own term.
                    if (!isReady) return
                    val proof = Leadership(believedTerm ?: return, LogIndex(commit.toLong()), contact)
                    grantor.onRenewal(packet.from.id, message, proof, clock())?.let {
                        send(this, packet.from, it.copy(inForceIndex = rollOut.inForceIndex))
                    }
                }
                is LeaseMessage.Grant -> {
                    rollOut.onKnownInForce(message.inForceIndex)
                    lease.onGrant(message)
                }
                else -> error("unexpected message in the simulation: $message")
            }
        }

        /** Models log replication from the actual leader to this daemon. */
        private fun replicate() {
            val current = leader ?: return
            val isReachable =
                now >= isolatedUntil && now >= inboundBlockedUntil &&
                    now >= current.isolatedUntil && now >= current.outboundBlockedUntil
            if (current === this) {
                contact = clock() - random.nextInt(0, 60).milliseconds
                isReady = now >= electedAt + LEADER_READY_DELAY
                if (isReady) commit = committedAt.size
                applied = maxOf(applied, commit - random.nextInt(0, 2))
                believedLeader = this
            } else if (current.isRunning() && isReachable && random.nextInt(2) == 0) {
                believedTerm = null
                believedLeader = current
                commit = maxOf(commit, current.commit)
                applied = maxOf(applied, commit - random.nextInt(0, 3))
            }
        }

        private fun checkRollOuts() {
            grantor.prune(clock())
            for (index in maxOf(1, commit - 12)..commit) {
                if (!rollOut.progress(LogIndex(index.toLong()), clock()).inForce) continue
                inForce = maxOf(inForce, index)
                if (leader === this) inForceKnownAt.putIfAbsent(index, now)
            }
        }
    }

    private companion object {
        const val DAEMONS = 6
        val STEP = 20.milliseconds
        val LEADER_READY_DELAY = 30.milliseconds
        val ROLL_OUT_LIMIT = 6.seconds
    }
}
