package org.auburnstream.daemon.rollout

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.auburnstream.control.HoldCause
import org.auburnstream.control.Leadership
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a daemon that uses its settings after losing contact with the leader, and against a change reported as
 * in force before every daemon has acknowledged it or lost its lease.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RollOutServiceTest {
    private val ids = List(3) { DaemonId("d$it") }

    @Test
    fun `every daemon holds a lease while the leader answers, and an isolated daemon loses it`() = runTest {
        val cluster = Cluster(this)
        delay(5.seconds)
        assertTrue(cluster.services.all { it.isLeaseLive })
        assertEquals(ids, cluster.services[0].leases.map { it.daemon })
        cluster.isolated += ids[2]
        delay(2_200.milliseconds)
        assertTrue(cluster.services[2].isLeaseLive)
        delay(800.milliseconds)
        assertEquals(listOf(true, true, false), cluster.services.map { it.isLeaseLive })
        cluster.isolated.clear()
        delay(500.milliseconds)
        assertTrue(cluster.services[2].isLeaseLive)
        cluster.stop()
    }

    @Test
    fun `waiting on any daemon ends when all daemons have acknowledged the change`() = runTest {
        val cluster = Cluster(this)
        delay(5.seconds)
        cluster.commit(1)
        launch {
            delay(200.milliseconds)
            cluster.apply(1)
        }
        val progress = cluster.services[1].awaitInForce(LogIndex(1), 6.seconds)
        assertTrue(progress.inForce && progress.elapsed in 200.milliseconds..400.milliseconds, "$progress")
        assertTrue(progress.heldBackBy.all { it.cause == HoldCause.ACKNOWLEDGEMENT })
        cluster.stop()
    }

    @Test
    fun `an isolated daemon delays a change until its lease expires and is reported as the cause`() = runTest {
        val cluster = Cluster(this)
        delay(5.seconds)
        cluster.isolated += ids[2]
        cluster.commit(1)
        cluster.apply(1)
        val early = cluster.services[1].awaitInForce(LogIndex(1), 1.seconds)
        assertFalse(early.inForce)
        assertEquals(listOf(ids[2]), early.heldBackBy.map { it.daemon })
        val progress = cluster.services[1].awaitInForce(LogIndex(1), 6.seconds)
        assertTrue(progress.inForce && progress.elapsed <= 3_100.milliseconds, "$progress")
        assertFalse(cluster.services[2].isLeaseLive)
        assertEquals(ids[2] to HoldCause.LEASE, progress.heldBackBy.first().let { it.daemon to it.cause })
        cluster.stop()
    }

    @Test
    fun `malformed messages on the lease channel are ignored`() = runTest {
        val cluster = Cluster(this)
        for (payload in listOf(byteArrayOf(), byteArrayOf(1, 2, 3), byteArrayOf(9), ByteArray(20_000) { 1 })) {
            cluster.deliver(ids[1], ids[0], payload)
        }
        delay(4.seconds)
        assertTrue(cluster.services.all { it.isLeaseLive })
        cluster.stop()
    }

    /** Three daemons, led by the first; messages take 1 ms, and messages to and from isolated daemons are lost. */
    private inner class Cluster(private val test: TestScope) {
        val isolated = mutableSetOf<DaemonId>()
        private val statuses = ids.map { MutableStateFlow(status(it, commit = 0, applied = 0)) }
        private val handlers = HashMap<DaemonId, suspend (DaemonId, ByteArray) -> Unit>()
        private val leadership =
            LeadershipSource { Leadership(term = 1, statuses[0].value.commitIndex, quorumContact = clock()) }
        val services = ids.mapIndexed { index, id -> service(index, id) }

        init {
            services.forEach { it.start() }
        }

        fun stop() = services.forEach { it.stop() }

        fun commit(index: Long) = statuses.forEach { it.value = it.value.copy(commitIndex = LogIndex(index)) }

        fun apply(index: Long) = ids.forEachIndexed { position, id ->
            if (id !in isolated) {
                statuses[position].value = statuses[position].value.copy(appliedIndex = LogIndex(index))
            }
        }

        suspend fun deliver(from: DaemonId, to: DaemonId, payload: ByteArray) = handlers.getValue(to)(from, payload)

        private fun clock() = MonotonicTime.Zero + test.currentTime.milliseconds

        private fun service(index: Int, id: DaemonId): RollOutService {
            val scope: CoroutineScope = test.backgroundScope
            val proof = if (index == 0) leadership else LeadershipSource { null }
            return RollOutService(scope, Transport(id), statuses[index], proof, ::clock, Random(index))
        }

        private fun status(id: DaemonId, commit: Long, applied: Long): ReplicaStatus {
            val role = if (id == ids[0]) ReplicaRole.LEADER else ReplicaRole.FOLLOWER
            return ReplicaStatus(role, 1, ids[0], LogIndex(commit), LogIndex(applied))
        }

        private inner class Transport(override val self: DaemonId) : PeerTransport {
            override val peers = ids.toSet() - self

            override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean {
                if (self in isolated || to in isolated) return true
                test.backgroundScope.launch {
                    delay(1.milliseconds)
                    deliver(self, to, payload)
                }
                return true
            }

            override fun register(channel: PeerChannel, handler: suspend (DaemonId, ByteArray) -> Unit) {
                handlers[self] = handler
            }
        }
    }
}
