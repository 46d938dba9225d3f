package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.HandOver
import org.auburnstream.model.GroupId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against planned stops of a leader that interrupt the group for an election timeout. */
class HandOverTest {
    private val settings = ReplicaSettings.Default.copy(allowsHandOver = true)

    @Test
    fun plannedStopOfLeaderInterruptsGroupForElectionTimeout() {
        val planned = (0 until STOPS).map { seed -> outage(seed, isPlanned = true) }.sorted()
        val killed = (0 until STOPS).map { seed -> outage(seed, isPlanned = false) }.sorted()

        assertTrue(planned.last() < settings.electionTimeoutMin / 2, "longest outage of a stop: ${planned.last()}")
        assertTrue(planned.last() < killed.first(), "outages of kills: $killed")
    }

    /** Stops or kills the leader of five voters and returns the time until another leads. */
    private fun outage(seed: Int, isPlanned: Boolean): Duration {
        val cluster = Cluster(seed, voters = 5, settings = settings)
        val old = cluster.awaitLeader()
        cluster.run((500 + seed * 37).milliseconds)
        val startedAt = cluster.time
        if (isPlanned) {
            old.receive(ReplicaInput.HandOverRequested)
            assertNotEquals(RaftRole.LEADER, old.replica?.role, "the old leader leads on, seed $seed")
            cluster.after(50.milliseconds) { old.crash() }
        } else {
            old.crash()
        }
        val hasSuccessor = {
            cluster.nodes.any {
                it != old && it.replica?.role == RaftRole.LEADER &&
                    it.replica?.quorumContactTime != null
            }
        }
        assertTrue(cluster.runUntil(5.seconds, hasSuccessor), "seed $seed: ${cluster.describe()}")
        return cluster.time - startedAt
    }

    @Test
    fun lostHandOverLeavesGroupWithoutLeader() {
        repeat(20) { seed ->
            val cluster = Cluster(seed, voters = 3, settings = settings)
            val old = cluster.awaitLeader()
            cluster.run(1.seconds)
            cluster.isolate(old)
            old.receive(ReplicaInput.HandOverRequested)
            old.crash()
            cluster.heal()
            cluster.awaitLeader(2.seconds)
            old.start()
            cluster.healAndCheckConvergence()
        }
    }

    @Test
    fun lateHandOverDisturbsLaterLeader() {
        repeat(20) { seed ->
            val cluster = Cluster(seed, voters = 3, settings = settings)
            val old = cluster.awaitLeader()
            cluster.run(1.seconds)
            val term = old.replica!!.term
            old.crash()
            val later = cluster.awaitLeader()
            val other = cluster.nodes.first { it != old && it != later }
            val late = Envelope(GroupId("control"), old.id, other.id.incarnation, HandOver(term))
            cluster.run(1.seconds)
            other.receive(ReplicaInput.MessageReceived(late))
            cluster.run(3.seconds)

            assertEquals(later, cluster.leader, "seed $seed: ${cluster.describe()}")
        }
    }

    @Test
    fun handOversAmongOtherFaultsLoseRevertOrDuplicateWrites() {
        repeat(300) { seed -> FaultSchedule(seed, handsOver = true).run() }
    }

    @Test
    fun handOverIsAcceptedThoughLeasesDependOnElectionTimeout() {
        val cluster = Cluster(1, voters = 3)
        val leader = cluster.awaitLeader()
        cluster.run(1.seconds)
        leader.receive(ReplicaInput.HandOverRequested)

        assertEquals(RaftRole.LEADER, leader.replica?.role)
        assertNotNull(leader.replica?.quorumContactTime)
    }

    private companion object {
        const val STOPS = 50
    }
}
