package org.auburnstream.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against safety and liveness failures that arise only from combinations of faults. */
class FaultScheduleTest {
    /** Guards against acknowledged writes that are lost, reverted or applied twice, and reads that are stale. */
    @Test
    fun randomFaultSchedulesNeverLoseRevertOrDuplicateWrites() {
        val failures = (1..SCHEDULES).mapNotNull { seed ->
            runCatching { FaultSchedule(seed).run() }.exceptionOrNull()?.let { "seed $seed: ${it.message}" }
        }
        assertEquals("", failures.joinToString("\n"))
    }

    /** Guards against elections that take too long after the leader crashes. */
    @Test
    fun newLeaderIsElectedWithinTwoSecondsOfLeaderCrash() {
        repeat(LEADER_KILLS) { seed ->
            val cluster = Cluster(seed, voters = 3, spares = 2, diskless = 1)
            val killed = cluster.awaitLeader()
            cluster.run((seed % 7 * 37).milliseconds)
            killed.crash()
            assertTrue(cluster.runUntil(2.seconds) { cluster.leader?.replica?.quorumContactTime != null }, "seed $seed")
        }
    }

    private companion object {
        const val SCHEDULES = 1000
        const val LEADER_KILLS = 200
    }
}

/**
 * Runs clients and random faults against a group of three voters, two spares and a diskless learner.
 *
 * @property handsOver whether leaders also hand their role over.
 */
internal class FaultSchedule(private val seed: Int, private val handsOver: Boolean = false) {
    private val settings = ReplicaSettings.Default.copy(
        replacementDelay = 2.seconds,
        snapshotChunkBytes = 200,
        allowsHandOver = handsOver,
    )
    val cluster = Cluster(seed, voters = 3, spares = 2, diskless = 1, settings = settings)
    private val random = cluster.random
    private var operations = 0
    private val accepted = HashMap<String, String>()
    private var clientsStop = false

    fun run() {
        cluster.awaitLeader()
        repeat(CLIENTS) { client() }
        repeat(FAULTS) {
            cluster.run(random.nextInt(50, 900).milliseconds)
            fault()
        }
        clientsStop = true
        cluster.healAndCheckConvergence()
        val machine = cluster.nodes.first().machine
        accepted.forEach { (operation, answer) -> check(machine.answers[operation] == answer) { "$operation lost" } }
        val applied = machine.answers.values.count { it.startsWith("accepted") }
        check(machine.versions.values.sum() == applied.toLong()) { "doubled or lost: $applied" }
    }

    private fun fault() {
        val node = cluster.nodes.random(random)
        if (handsOver && random.nextInt(3) == 0) cluster.leader?.receive(ReplicaInput.HandOverRequested)
        when (random.nextInt(12)) {
            0, 1 -> if (node.replica != null) node.crash()
            2, 3 -> cluster.nodes.forEach { if (it.replica == null) it.start() }
            4 -> cluster.isolate(node)
            5 -> cluster.blockLink(node, cluster.nodes.random(random))
            6 -> cluster.heal()
            7 -> node.pause()
            8 -> cluster.nodes.forEach { it.resume() }
            9 -> if (cluster.survivesLossOf(node)) node.wipe()
            10 ->
                cluster.faults =
                    FaultProfile(random.nextDouble(0.3), random.nextDouble(0.3), 80.milliseconds, 40.milliseconds)
            11 -> cluster.leader?.crash()
        }
    }

    private fun client() {
        if (clientsStop) return
        val operation = "op${operations++}"
        val key = "k${random.nextInt(3)}"
        attempt(operation, "$operation $key ${cluster.leader?.machine?.versions?.get(key) ?: 0}")
        if (random.nextInt(3) == 0) read()
        cluster.after(random.nextInt(5, 200).milliseconds) { client() }
    }

    private fun attempt(operation: String, command: String) {
        val leaders = cluster.nodes.filter { it.replica?.role == RaftRole.LEADER }
        val node = leaders.randomOrNull(random)
        val startedAt = cluster.time
        val resend = { cluster.after(100.milliseconds) { if (!clientsStop) attempt(operation, command) } }
        if (node == null) return resend()
        node.propose(command) { answer ->
            if (answer == null) return@propose resend()
            accepted.put(operation, answer)?.let { check(it == answer) { "$operation answered twice" } }
            cluster.history.recordWrite(startedAt, cluster.time, node.machine.applied)
        }
    }

    private fun read() {
        val node = cluster.nodes.filter { it.replica?.role == RaftRole.LEADER }.randomOrNull(random) ?: return
        val startedAt = cluster.time
        node.read { index -> if (index != null) cluster.history.recordRead(startedAt, cluster.time, index) }
    }

    private companion object {
        const val CLIENTS = 2
        const val FAULTS = 20
    }
}
