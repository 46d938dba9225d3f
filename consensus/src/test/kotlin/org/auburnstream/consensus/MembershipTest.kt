package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks membership changes and automatic replacement of voters in a simulated group. */
class MembershipTest {
    private val fast = ReplicaSettings.Default.copy(replacementDelay = 3.seconds, snapshotChunkBytes = 100)

    private fun startedCluster(seed: Int, settings: ReplicaSettings = fast, spares: Int = 2): Cluster {
        val cluster = Cluster(seed, voters = 3, spares = spares, diskless = 1, settings = settings)
        cluster.awaitLeader()
        val full = 3 + spares + 1
        check(cluster.runUntil(10.seconds) { cluster.leader?.replica?.configuration?.members?.size == full })
        write(cluster, 60)
        return cluster
    }

    private fun write(cluster: Cluster, count: Int) {
        repeat(count) { i ->
            var answer: String? = null
            check(
                cluster.runUntil(15.seconds) {
                    if (answer == null) {
                        answer = "sent"
                        val leader = cluster.leader
                        if (leader == null) answer = null
                        leader?.propose("w${cluster.time.nanoseconds}-$i k 0") { answer = it }
                    }
                    answer != null && answer != "sent"
                },
            ) { "no write: ${cluster.describe()}" }
        }
    }

    private fun voters(cluster: Cluster) = cluster.leader!!.replica!!.configuration.voters.map {
        it.daemon.value
    }.toSet()

    private fun tolerance(cluster: Cluster) = cluster.leader?.replica?.failureTolerance

    private fun Cluster.awaitSafe() =
        check(runUntil(15.seconds) { tolerance(this)?.isSafeAgainstNextLoss == true }) { describe() }

    /** Guards against losing the quorum when a second voter fails after the first was replaced. */
    @Test
    fun spareReplacesLostVoterAndGroupSurvivesSecondLoss() {
        repeat(30) { seed ->
            val cluster = startedCluster(seed)
            val lost = cluster.nodes.take(3).filter { it != cluster.leader }.random(cluster.random)
            lost.crash()
            cluster.run(2.seconds)
            assertFalse(tolerance(cluster)!!.isSafeAgainstNextLoss, "one more loss must count as unsafe, seed $seed")
            cluster.awaitSafe()
            assertFalse(lost.daemon.value in voters(cluster))
            cluster.leader!!.crash()
            write(cluster, 5)
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against a voter that lost its disk and votes or is promoted before it has caught up. */
    @Test
    fun voterWithLostDiskRejoinsAsLearnerAndIsPromotedOnceCaughtUp() {
        repeat(30) { seed ->
            val cluster = startedCluster(seed, fast.copy(maxPromotionLag = 2), spares = 0)
            val lost = cluster.nodes.take(3).filter { it != cluster.leader }.random(cluster.random)
            val old = lost.id
            lost.wipe()
            lost.start()
            assertFalse(cluster.leader!!.replica!!.configuration.isVoter(lost.id))
            cluster.runUntil(10.seconds) { cluster.leader?.replica?.configuration?.isVoter(lost.id) == true }
            assertTrue(lost.replica!!.lastIndex + 3 >= cluster.leader!!.replica!!.lastIndex, "promoted too early")
            cluster.awaitSafe()
            val configuration = cluster.leader!!.replica!!.configuration
            assertTrue(lost.id in configuration.voters && configuration.member(old) == null, "$configuration")
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against reads that delay the check for lost voters: each read resets the heartbeat timer. */
    @Test
    fun lostVoterIsReplacedDespiteContinuousReads() {
        repeat(10) { seed ->
            val cluster = startedCluster(seed)
            val lost = cluster.nodes.take(3).filter { it != cluster.leader }.random(cluster.random)

            fun readAgain() {
                cluster.leader?.read {}
                cluster.after(5.milliseconds) { readAgain() }
            }
            readAgain()
            lost.crash()
            cluster.run(2.seconds)
            cluster.awaitSafe()
            assertFalse(lost.daemon.value in voters(cluster), "seed $seed")
        }
    }

    /** Guards against a group left without a leader, or in a joint configuration, by a leader crash during a change. */
    @Test
    fun leaderCrashAtAnyStepOfReplacementLeavesOldOrNewVoters() {
        val steps = (0..40).map { it.milliseconds } + listOf(60, 90, 150, 250).map { it.milliseconds }
        for ((seed, step) in steps.withIndex()) {
            val cluster = startedCluster(seed, ReplicaSettings.Default.copy(automaticReplacement = false))
            val old = voters(cluster)
            val leader = cluster.leader!!
            val lost = cluster.nodes.take(3).first { it != leader }
            leader.change(MembershipChange.Replace(lost.id, cluster.nodes[3].id))
            cluster.run(step)
            leader.crash()
            write(cluster, 3)
            val new = old - lost.daemon.value + "d4"
            assertTrue(voters(cluster).let { it == old || it == new }, "seed $seed: ${voters(cluster)}")
            assertFalse(cluster.leader!!.replica!!.configuration.isJoint, "seed $seed")
            if (leader.membershipResults.any { it is MembershipResult.Committed }) assertEquals(new, voters(cluster))
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against a replacement that never ends when another voter crashes and restarts during it. */
    @Test
    fun groupRecoversFromVoterCrashAndRestartDuringReplacement() {
        repeat(40) { seed ->
            val cluster = startedCluster(seed, ReplicaSettings.Default.copy(automaticReplacement = false))
            val leader = cluster.leader!!
            val (lost, other) = cluster.nodes.take(3).filter { it != leader }.shuffled(cluster.random)
            leader.change(MembershipChange.Replace(lost.id, cluster.nodes[3].id))
            cluster.run((seed / 4).milliseconds)
            other.crash()
            cluster.run((seed * 97 % 3000).milliseconds)
            other.start()
            write(cluster, 3)
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against a removed member that campaigns or is admitted again without an operator. */
    @Test
    fun removedMemberDoesNotTriggerElection() {
        repeat(20) { seed ->
            val cluster = startedCluster(seed)
            val removed = cluster.nodes.take(3).first { it != cluster.leader }
            cluster.blockLink(cluster.leader!!, removed)
            cluster.leader!!.change(MembershipChange.Remove(removed.daemon))
            cluster.run(1.seconds)
            val term = cluster.leader!!.replica!!.term
            cluster.heal()
            cluster.run(20.seconds)
            assertEquals(term, cluster.leader!!.replica!!.term, "seed $seed: ${cluster.describe()}")
            assertFalse(cluster.leader!!.replica!!.configuration.recipients.any { it.daemon == removed.daemon })
            cluster.leader!!.change(MembershipChange.Readmit(removed.daemon))
            cluster.run(3.seconds)
            val learners = cluster.leader!!.replica!!.configuration.learners.map { it.id }
            assertTrue(removed.id in learners, "seed $seed")
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against a removed leader that keeps its role, and a group that elects no successor. */
    @Test
    fun leaderStepsDownAfterItsRemovalCommits() {
        repeat(20) { seed ->
            val cluster = startedCluster(seed)
            val leader = cluster.leader!!
            leader.change(MembershipChange.Remove(leader.daemon))
            cluster.run(3.seconds)
            assertFalse(leader.daemon.value in voters(cluster), "seed $seed")
            assertTrue(leader.membershipResults.any { it is MembershipResult.Committed }, "seed $seed")
            write(cluster, 3)
        }
    }

    /** Guards against membership changes that would break the quorum or overlap. */
    @Test
    fun invalidMembershipChangesAreRefused() {
        val cluster = startedCluster(1, ReplicaSettings.Default.copy(automaticReplacement = false))
        val leader = cluster.leader!!
        val behind = cluster.nodes[4]
        behind.crash()
        cluster.run(2.seconds)
        write(cluster, 70)
        val refusals = listOf(
            MembershipChange.Promote(DaemonId("d9")) to MembershipRefusal.NO_SUCH_MEMBER,
            MembershipChange.Promote(DaemonId("d6")) to MembershipRefusal.NOT_DURABLE,
            MembershipChange.Promote(behind.daemon) to MembershipRefusal.NOT_CAUGHT_UP,
            MembershipChange.Remove(DaemonId("d9")) to MembershipRefusal.NO_SUCH_MEMBER,
            MembershipChange.Demote(DaemonId("d4")) to MembershipRefusal.NO_SUCH_MEMBER,
            MembershipChange.Replace(behind.id, cluster.nodes[3].id) to MembershipRefusal.NO_SUCH_MEMBER,
        )
        for ((change, refusal) in refusals) {
            leader.change(change)
            assertEquals(MembershipResult.Refused(refusal), leader.membershipResults.last(), "$change")
        }
        leader.change(MembershipChange.Promote(DaemonId("d4")))
        leader.change(MembershipChange.Promote(DaemonId("d4")))
        assertEquals(MembershipResult.Refused(MembershipRefusal.CHANGE_IN_PROGRESS), leader.membershipResults.last())
        cluster.nodes.first { it != leader }.change(MembershipChange.Promote(DaemonId("d5")))
        assertEquals(
            listOf<MembershipResult>(MembershipResult.Refused(MembershipRefusal.NOT_LEADER)),
            cluster.nodes.first { it != leader }.membershipResults.toList(),
        )
    }
}
