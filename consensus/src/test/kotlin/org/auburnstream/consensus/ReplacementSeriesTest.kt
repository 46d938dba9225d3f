package org.auburnstream.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replaces three of five voters one after the other, the oldest first, with a lost leader, a wiped disk or a hand-over
 * between.
 *
 * Guards against a group that counts a departed voter, loses an acknowledged write, or is disturbed by a departed voter
 * that comes back with its old disk.
 */
class ReplacementSeriesTest {
    private val settings = ReplicaSettings.Default.copy(replacementDelay = 2.seconds, allowsHandOver = true)

    @Test
    fun departedVotersCountAfterReplacementsInSeries() {
        repeat(SEEDS) { seed ->
            val cluster = startedCluster(seed)
            val departed = replaceOldest(cluster, seed)
            val voters = cluster.leader!!.replica!!.configuration.voters

            assertEquals(VOTERS, voters.size, "seed $seed")
            assertFalse(departed.any { it.id in voters }, "seed $seed: $voters")
            // Two of the five voters may be lost at once, and none of the departed helps.
            cluster.nodes.filter { it.id in voters && it != cluster.leader }.take(2).forEach { it.crash() }
            write(cluster, "after-two-losses-$seed")
        }
    }

    @Test
    fun departedVoterThatComesBackDisturbsTheLeaderOrRevertsWrites() {
        repeat(SEEDS) { seed ->
            val cluster = startedCluster(seed)
            val departed = replaceOldest(cluster, seed)
            val leader = cluster.leader!!
            val term = leader.replica!!.term
            val voters = leader.replica!!.configuration.voters
            departed.forEach { it.start() }
            cluster.run(5.seconds)

            assertEquals(leader, cluster.leader, "seed $seed: ${cluster.describe()}")
            assertEquals(term, cluster.leader!!.replica!!.term, "seed $seed")
            assertEquals(voters, cluster.leader!!.replica!!.configuration.voters, "seed $seed")
            cluster.healAndCheckConvergence()
        }
    }

    @Test
    fun voterIsReplacedBeforeTheGroupIsSafeAgainstTheNextLoss() {
        val cluster = startedCluster(seed = 1)
        val leader = cluster.leader!!
        val lost = cluster.nodes.take(VOTERS).filter { it != leader }.take(2)
        lost.forEach { it.crash() }
        cluster.run(1_600.milliseconds)
        val tolerance = leader.replica!!.failureTolerance!!

        assertEquals(0, tolerance.furtherLosses)
        assertFalse(tolerance.isSafeAgainstNextLoss)
        awaitTolerance(cluster)
    }

    private fun startedCluster(seed: Int): Cluster {
        val cluster = Cluster(seed, voters = VOTERS, spares = 3, settings = settings)
        cluster.awaitLeader()
        check(cluster.runUntil(10.seconds) { cluster.leader?.replica?.configuration?.members?.size == VOTERS + 3 })
        write(cluster, "first-$seed")
        return cluster
    }

    /** Ends the first three voters for good, waiting each time until the group can lose two again, and returns them. */
    private fun replaceOldest(cluster: Cluster, seed: Int): List<Cluster.Node> {
        val oldest = cluster.nodes.take(3)
        oldest.forEachIndexed { number, node ->
            node.crash()
            write(cluster, "w-$seed-$number")
            awaitTolerance(cluster)
            disturb(cluster, oldest, (seed + number) % 3)
            write(cluster, "d-$seed-$number")
            awaitTolerance(cluster)
        }
        return oldest
    }

    private fun disturb(cluster: Cluster, oldest: List<Cluster.Node>, kind: Int) {
        val leader = cluster.awaitLeader()
        when (kind) {
            0 -> leader.receive(ReplicaInput.HandOverRequested)
            1 -> leader.takeIf { it !in oldest }?.let {
                it.crash()
                cluster.run(500.milliseconds)
                it.start()
            }
            else -> cluster.nodes.firstOrNull { it !in oldest && it != leader && it.replica != null }?.let {
                it.wipe()
                it.start()
            }
        }
    }

    private fun awaitTolerance(cluster: Cluster) {
        // The leader notices a loss only after the contact timeout.
        cluster.run(settings.contactTimeout + 1.seconds)
        val isSafe = cluster.runUntil(30.seconds) {
            cluster.leader?.replica?.failureTolerance?.let { it.furtherLosses >= 2 && !it.changeInProgress } == true
        }
        check(isSafe) { "not safe against two losses: ${cluster.describe()}" }
    }

    private fun write(cluster: Cluster, operation: String) {
        var answer: String? = null
        val isWritten = cluster.runUntil(15.seconds) {
            if (answer == null) {
                answer = PENDING
                cluster.leader?.propose("$operation $operation 0") { answer = it } ?: run { answer = null }
            }
            answer != null && answer != PENDING
        }
        assertTrue(isWritten, "$operation is not written: ${cluster.describe()}")
    }

    private companion object {
        const val SEEDS = 30
        const val VOTERS = 5
        const val PENDING = "pending"
    }
}
