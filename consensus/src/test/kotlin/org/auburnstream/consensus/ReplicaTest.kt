package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks elections, reads, proposals and snapshots of a simulated group under single faults. */
class ReplicaTest {
    private fun leaderOf(cluster: Cluster) = cluster.awaitLeader().also { cluster.run(1500.milliseconds) }

    /** Guards against stale reads by an isolated leader, and against a term raised by its return. */
    @Test
    fun isolatedLeaderStepsDownAndRefusesReads() {
        repeat(20) { seed ->
            val cluster = Cluster(seed, voters = 3, spares = 2)
            val old = leaderOf(cluster)
            cluster.isolate(old)
            val answers = ArrayList<Long?>()
            repeat(30) {
                cluster.run(50.milliseconds)
                old.read { answers.add(it) }
            }
            assertEquals(30, answers.size, "every read ends, seed $seed")
            assertTrue(answers.all { it == null }, "a leader without a quorum answered $answers")
            assertNotEquals(RaftRole.LEADER, old.replica!!.role)
            assertNull(old.replica!!.quorumContactTime)
            val term = cluster.awaitLeader().replica!!.term
            cluster.run(10.seconds)
            cluster.heal()
            cluster.run(3.seconds)
            assertEquals(
                term,
                cluster.leader!!.replica!!.term,
                "its return must not end the new leadership, seed $seed",
            )
        }
    }

    /** Guards against a leader without a quorum that keeps its role because one direction of its links works. */
    @Test
    fun oneWayPartitionOfLeaderElectsLeaderWithQuorum() {
        repeat(20) { seed ->
            for (toLeader in listOf(true, false)) {
                val cluster = Cluster(seed, voters = 3, spares = 0)
                val old = leaderOf(cluster)
                cluster.nodes.filter {
                    it != old
                }.forEach { if (toLeader) cluster.blockLink(it, old) else cluster.blockLink(old, it) }
                cluster.run(4.seconds)
                assertTrue(cluster.leader!!.replica!!.quorumContactTime != null)
                assertNotEquals(old, cluster.leader, "seed $seed, to the leader: $toLeader")
            }
        }
    }

    /** Guards against a paused leader that acts on queued requests after another leader was elected. */
    @Test
    fun resumedLeaderRejectsRequestsQueuedWhilePaused() {
        repeat(20) { seed ->
            val cluster = Cluster(seed, voters = 3)
            val old = leaderOf(cluster)
            old.pause()
            cluster.run(100.milliseconds)
            val answers = ArrayList<Any?>()
            old.read { answers.add(it) }
            old.propose("late k 0") { answers.add(it) }
            cluster.run(5.seconds)
            old.resume()
            assertEquals(listOf<Any?>(null, null), answers, "seed $seed")
            assertNotEquals(RaftRole.LEADER, old.replica!!.role)
            cluster.healAndCheckConvergence()
        }
    }

    /** Guards against overlapping leases: a leader may grant them for the minimum election timeout after contact. */
    @Test
    fun noLeaderIsElectedWithinMinElectionTimeoutOfQuorumContact() {
        repeat(100) { seed ->
            val cluster = Cluster(seed, voters = 3)
            cluster.awaitLeader()
            var contact = MonotonicTime.Zero
            cluster.faults = FaultProfile(loss = 0.2, maxDelay = 60.milliseconds)
            repeat(300) {
                if (it % 40 == 39) cluster.leader?.crash()
                if (it % 40 == 20) cluster.nodes.forEach { n -> if (n.replica == null) n.start() }
                val before = cluster.leader?.replica?.term ?: 0
                cluster.run(10.milliseconds)
                val leader = cluster.leader?.replica
                if (leader != null && leader.term > before && before > 0) {
                    assertTrue(cluster.time - contact >= 550.milliseconds, "seed $seed: ${cluster.time - contact}")
                }
                contact = maxOf(contact, leader?.quorumContactTime ?: contact)
            }
        }
    }

    /** Guards against a snapshot transfer that stalls when chunks are lost, duplicated or reordered. */
    @Test
    fun laggingMemberCatchesUpFromSnapshotInBoundedChunks() {
        val settings = ReplicaSettings.Default.copy(snapshotChunkBytes = 64)
        val cluster = Cluster(5, voters = 3, settings = settings, snapshotIntervalEntries = 30)
        val leader = leaderOf(cluster)
        val lagging = cluster.nodes.first { it != leader }
        lagging.crash()
        repeat(100) { i -> cluster.after((i * 5).milliseconds) { leader.propose("op$i k$i 0") {} } }
        cluster.run(2.seconds)
        var parts = 0
        cluster.onSend = { send ->
            val chunk = send.envelope.message as? ConsensusMessage.SnapshotChunk
            if (chunk != null) {
                parts += 1
                assertTrue(chunk.bytes.size <= 64)
            }
        }
        cluster.faults = FaultProfile(loss = 0.2, duplication = 0.2, maxDelay = 20.milliseconds)
        lagging.start()
        assertTrue(cluster.runUntil(30.seconds) { lagging.machine.applied >= leader.machine.applied })
        assertTrue(parts > 5)
        cluster.healAndCheckConvergence()
    }

    /** Guards against unbounded memory use by pending proposals and oversized commands. */
    @Test
    fun proposalsAreBoundedInNumberAndSize() {
        val settings = ReplicaSettings.Default.copy(
            maxCommandBytes = 40,
            maxPendingProposals = 5,
            maxPendingBytes = 100,
        )
        val cluster = Cluster(1, voters = 3, settings = settings)
        val leader = leaderOf(cluster)
        var refused = 0
        leader.propose("x".repeat(41)) { refused += 1 }
        assertEquals(1, refused)
        repeat(6) { i -> leader.propose("op$i k 0") { if (it == null) refused += 1 } }
        assertEquals(2, refused)
        cluster.run(1.seconds)
        repeat(3) { i -> leader.propose("big$i ${"k".repeat(30)} 0") { if (it == null) refused += 1 } }
        assertEquals(3, refused)
        cluster.run(1.seconds)
        assertEquals(3, refused, "accepted proposals are answered")
    }

    /** Guards against forgetting a vote or acknowledged entries in a crash. */
    @Test
    fun votesAndAppendsAreAcknowledgedOnlyOnceDurable() {
        val self = MemberId(DaemonId("a"), Incarnation(1))
        val other = MemberId(DaemonId("b"), Incarnation(1))
        val members = Configuration(listOf(self, other).map { Member(it, MemberRole.VOTER) })
        val genesis = LogEntry(LogIndex(1), 1, EntryPayload.Membership(members))
        val group = GroupId("g")
        val replica = Replica(
            Member(self),
            group,
            RestoredState(HardState(1), entries = listOf(genesis)),
            emptySet(),
            { emptySet() },
            Random(1),
            MonotonicTime.Zero,
        )
        var now = MonotonicTime.Zero + 700.milliseconds

        fun receive(message: ConsensusMessage, from: MemberId = other) =
            replica.handle(ReplicaInput.MessageReceived(Envelope(group, from, self.incarnation, message)), now)

        fun sent(effects: List<Effect>) = effects.filterIsInstance<Effect.Send>().map { it.envelope.message }

        val vote = receive(ConsensusMessage.VoteRequest(2, LogIndex(1), 1))
        assertEquals(emptyList(), sent(vote))
        val persist = vote.filterIsInstance<Effect.Persist>().single()
        assertEquals(HardState(2, other), persist.hardState)
        val afterVote = replica.handle(ReplicaInput.PersistCompleted(persist.sequence), now)
        assertEquals(listOf<ConsensusMessage>(ConsensusMessage.VoteResponse(2, granted = true)), sent(afterVote))
        val rival = MemberId(DaemonId("c"), Incarnation(1))
        val second = receive(ConsensusMessage.VoteRequest(2, LogIndex(1), 1), from = rival)
        assertEquals(listOf<ConsensusMessage>(ConsensusMessage.VoteResponse(2, granted = false)), sent(second))
        now += 1.milliseconds
        val entry = LogEntry(LogIndex(2), 2, EntryPayload.NoOp)
        val append = receive(ConsensusMessage.AppendRequest(2, LogIndex(1), 1, listOf(entry), LogIndex(2)))
        assertEquals(emptyList(), sent(append))
        val sequence = append.filterIsInstance<Effect.Persist>().single().sequence
        val acknowledged = ConsensusMessage.AppendResponse(2, true, LogIndex(2), LogIndex(1))
        assertEquals(
            listOf<ConsensusMessage>(acknowledged),
            sent(replica.handle(ReplicaInput.PersistCompleted(sequence), now)),
        )
    }

    /** Guards against a quorum that counts a voter which lost its log and its earlier vote. */
    @Test
    fun voteOfUnknownIncarnationDoesNotCount() {
        val cluster = Cluster(3, voters = 3)
        val leader = leaderOf(cluster)
        val (kept, wiped) = cluster.nodes.filter { it != leader }
        leader.crash()
        wiped.wipe()
        wiped.start()
        cluster.run(10.seconds)
        assertNotEquals(RaftRole.LEADER, kept.replica!!.role, "one voter and a wiped one are not a quorum")
        leader.start()
        cluster.healAndCheckConvergence()
    }

    /** Guards against campaigns that never succeed because the store persists votes too slowly. */
    @Test
    fun slowDiskDelaysButDoesNotPreventElectionsAndWrites() {
        repeat(20) { seed ->
            val cluster = Cluster(seed, voters = 3)
            cluster.faults = FaultProfile(maxSyncDelay = 600.milliseconds)
            cluster.awaitLeader(30.seconds)
            var answer: String? = null
            val answered = cluster.runUntil(30.seconds) {
                val leader = cluster.leader
                if (answer == null && leader != null) {
                    answer = "sent"
                    leader.propose("op${cluster.time.nanoseconds} k 0") { answer = it }
                }
                answer?.startsWith("accepted") == true
            }
            assertTrue(answered, "seed $seed: ${cluster.describe()}")
            val term = cluster.leader!!.replica!!.term
            cluster.run(10.seconds)
            assertEquals(term, cluster.leader!!.replica!!.term, "seed $seed")
        }
    }

    /** Guards against a group of one voter that waits for responses of other daemons. */
    @Test
    fun singleVoterFormsGroupAlone() {
        val cluster = Cluster(1, voters = 1)
        cluster.awaitLeader()
        cluster.healAndCheckConvergence()
    }
}
