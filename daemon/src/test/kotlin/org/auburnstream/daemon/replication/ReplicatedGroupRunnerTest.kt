package org.auburnstream.daemon.replication

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.auburnstream.consensus.ConsensusMessage
import org.auburnstream.consensus.EntryPayload
import org.auburnstream.consensus.Envelope
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.LogEntry
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.daemon.peer.MAX_FRAME_BYTES
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MAX_ID_LENGTH
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against lost, duplicated or reordered commands when links lose and duplicate messages, leaders change, and
 * daemons restart, freeze or lose their disks.
 */
class ReplicatedGroupRunnerTest {
    @TempDir
    lateinit var folder: Path

    private fun group(
        seed: Int = 1,
        snapshotEntries: Long = 10_000,
        runnerSeed: Int? = null,
        test: suspend TestScope.(GroupFixture) -> Unit,
    ) = runTest {
        val group = GroupFixture(this, folder, seed, snapshotEntries = snapshotEntries, runnerSeed = runnerSeed)
        group.start()
        group.awaitLeader()
        test(group)
    }

    @Test
    fun aProposalFromAnyDaemonIsAppliedEverywhereAndReturnsTheStateMachineResponse() = group { group ->
        group.names.forEachIndexed { i, name ->
            val result =
                assertIs<ProposeResult.Committed>(group[name].group.propose("c$i".encodeToByteArray(), 5.seconds))
            assertEquals("${i + 1}", result.response.decodeToString())
        }
        group.awaitApplied(group.names.size)
        assertEquals(1, group.running().map { it.machine.commands }.toSet().size)
    }

    @Test
    fun duplicatedAndLostRequestsAreExecutedAtMostOnce() = group { group ->
        group.duplication = 0.5
        group.loss = 0.2
        val results = (1..60).map { i ->
            async { group[group.names.random(group.random)].group.propose("c$i".encodeToByteArray(), 5.seconds) }
        }.awaitAll()
        group.loss = 0.0
        delay(2.seconds)
        val commands = group.awaitLeader().machine.commands
        assertEquals(commands.distinct(), commands)
        results.forEachIndexed { i, result ->
            if (result is ProposeResult.Committed) assertTrue("c${i + 1}" in commands)
            if (result is ProposeResult.Rejected) assertTrue("c${i + 1}" !in commands)
        }
        assertTrue(results.count { it is ProposeResult.Committed } > 30, "$results")
    }

    @Test
    fun aReadBarrierReflectsAllEarlierCommits() = group { group ->
        repeat(10) { i ->
            group[group.names[i % 5]].group.proposeUntilCommitted("c$i")
            val reader = group[group.names[(i + 1) % 5]]
            assertIs<ReadResult.Ready>(reader.group.readBarrier(5.seconds))
            assertEquals("c$i", reader.machine.commands.last())
        }
    }

    @Test
    fun proposalsAndReadsAreRefusedWithoutAQuorum() = group { group ->
        val leader = group.awaitLeader()
        group.names.take(3).filter { it != leader.self }.forEach { group.stop(it) }
        delay(3.seconds)
        assertNull(leader.group.quorumContactTime)
        assertEquals(ProposeResult.Rejected(RejectReason.NO_LEADER), leader.group.propose(ByteArray(1), 1.seconds))
        assertIs<ReadResult.Refused>(leader.group.readBarrier(1.seconds))
    }

    @Test
    fun committedCommandsSurviveLeaderFailuresAndARestartOfAllDaemons() = group(snapshotEntries = 20) { group ->
        repeat(3) { round ->
            repeat(170) { group[group.names[it % 3]].group.proposeUntilCommitted("r$round-$it") }
            val leader = group.awaitLeader()
            group.stop(leader.self)
            group.awaitLeader().group.proposeUntilCommitted("after-$round")
            group.restart(leader.self)
        }
        val accepted = group.awaitLeader().machine.commands.toList()
        group.names.forEach { group.stop(it) }
        group.names.forEach { group.restart(it) }
        group.awaitLeader().group.proposeUntilCommitted("last")
        group.awaitApplied(accepted.size + 1)
        group.running().forEach { assertEquals(accepted + "last", it.machine.commands) }
    }

    @Test
    fun aVoterWithALostDiskRejoinsAsANewMemberAndIsPromoted() = group(snapshotEntries = 20) { group ->
        repeat(50) { group.awaitLeader().group.proposeUntilCommitted("c$it") }
        val lost = group.names.take(3).first { it != group.awaitLeader().self }
        group.stop(lost)
        group.deleteStorage(lost)
        group.restart(lost)
        delay(8.seconds)
        val status = group.awaitLeader().group.membershipStatus(2.seconds)!!
        assertTrue(status.tolerance.isSafeAgainstNextLoss, "$status")
        assertEquals(3, status.configuration.voters.size)
        group.awaitApplied(50)
        assertEquals(1, group.running().map { it.machine.commands }.toSet().size)
    }

    @Test
    fun aRestartedDaemonDoesNotGetRepliesToRequestsOfItsPreviousProcess() = group(runnerSeed = 42) { group ->
        val name = group.names.first { it != group.awaitLeader().self }
        assertIs<ProposeResult.Committed>(group[name].group.propose("before".encodeToByteArray(), 5.seconds))
        group.stop(name)
        group.restart(name)
        delay(3.seconds)
        assertIs<ProposeResult.Committed>(group[name].group.propose("after".encodeToByteArray(), 5.seconds))
        assertEquals(listOf("before", "after"), group.awaitLeader().machine.commands)
    }

    @Test
    fun theLargestAppendRequestFitsIntoAPeerFrame() {
        val settings = ReplicaSettings.Default
        val member = MemberId(DaemonId("d".repeat(MAX_ID_LENGTH)), Incarnation(Long.MAX_VALUE))
        val last = LogIndex(Long.MAX_VALUE)
        val command = EntryPayload.Command(ByteArray(settings.maxCommandBytes))
        val entry = LogEntry(last, Long.MAX_VALUE, command)
        val append = ConsensusMessage.AppendRequest(Long.MAX_VALUE, last, Long.MAX_VALUE, listOf(entry), last)
        val group = GroupId("g".repeat(MAX_ID_LENGTH))
        val bytes = ReplicationCodec.encode(Envelope(group, member, member.incarnation, append))
        assertTrue(bytes.size <= MAX_FRAME_BYTES, "${bytes.size} bytes")
    }

    @Test
    fun aLeaderWithAFailedDiskLeavesTheGroupAndTheOthersContinue() = group { group ->
        val failed = group.awaitLeader()
        failed.makeSyncFail()
        val lost = failed.group.propose("lost".encodeToByteArray(), 2.seconds)
        assertIs<GroupFailure.Storage>(failed.failures.single())
        assertEquals(ProposeResult.Unknown, lost)
        assertNull(failed.group.status.value.leader)
        assertNull(failed.group.quorumContactTime)
        assertEquals(ProposeResult.Rejected(RejectReason.STOPPED), failed.group.propose(ByteArray(1), 1.seconds))
        val other = group.running().first { it != failed }
        other.group.proposeUntilCommitted("next")
    }

    /** A process whose replica has ended unnoticed is never restarted, and the group tolerates one loss less. */
    @Test
    fun aReplicaThatRunsOutOfMemoryEndsUnnoticed() = group { group ->
        assertLeaderEnds(group) { it.machine.error = OutOfMemoryError("Java heap space") }
    }

    /** A leader whose writer has ended commits nothing, and its heartbeats keep others from being elected. */
    @Test
    fun aStoreThatThrowsLeavesALeaderThatCommitsNothing() = group { group ->
        assertLeaderEnds(group) { it.makeSyncThrow() }
    }

    /** A process that is out of file descriptors for a while must not go on without its replica. */
    @Test
    fun aTransportThatThrowsEndsTheReplica() = group { group ->
        for (error in listOf(IOException("Too many open files"), IllegalArgumentException("unresolved address"))) {
            val leader = group.awaitLeader()
            leader.sendError = error
            // Its followers elect another leader, to which it cannot forward either.
            val lost = leader.group.propose("lost-$error".encodeToByteArray(), 4.seconds)
            group.running().first { it != leader }.group.proposeUntilCommitted("c-$error")
            leader.sendError = null
            delay(2.seconds)

            assertEquals(emptyList(), leader.failures)
            assertIs<ProposeResult.Committed>(leader.group.proposeUntilCommitted("back-$error"))
            assertTrue(lost !is ProposeResult.Committed, "$lost")
            assertTrue("lost-$error" !in leader.machine.commands)
        }
    }

    /** A state machine is not expected to do I/O; a replica that ends by it must not end unnoticed. */
    @Test
    fun aStateMachineThatThrowsACheckedExceptionEndsTheReplicaUnnoticed() = group { group ->
        assertLeaderEnds(group) { it.machine.error = IOException("Input/output error") }
    }

    /** The state may differ from that of the other replicas, so the operator has to keep it. */
    @Test
    fun aReplicaWhoseStateMachineThrowsIsTakenForOneThatMayBeRestarted() = group { group ->
        val leader = group.awaitLeader()
        leader.machine.error = IllegalStateException("unexpected command")
        leader.group.propose("c1".encodeToByteArray(), 1.seconds)
        delay(1.seconds)

        assertIs<GroupFailure.Inconsistent>(leader.failures.single())
    }

    /** Asserts that a leader which [fail] has broken reports its end, and that the others go on without it. */
    private suspend fun assertLeaderEnds(group: GroupFixture, fail: (GroupFixture.DaemonUnderTest) -> Unit) {
        val leader = group.awaitLeader()
        fail(leader)
        leader.group.propose("c1".encodeToByteArray(), 1.seconds)
        delay(1.seconds)

        assertIs<GroupFailure.Ended>(leader.failures.single())
        group.stop(leader.self)
        group.awaitLeader().group.proposeUntilCommitted("c2")
    }

    @Test
    fun callsAreRejectedAfterTheGroupStopped() = group { group ->
        val stopped = group[group.names.last()].group
        stopped.stop()
        assertEquals(ProposeResult.Rejected(RejectReason.STOPPED), stopped.propose(ByteArray(1), 1.seconds))
    }

    @Test
    fun proposalsAreCommittedOverSlowAndLossyLinks() = group(seed = 7) { group ->
        group.maxDelay = 60.milliseconds
        group.loss = 0.05
        repeat(20) { group[group.names[it % 5]].group.proposeUntilCommitted("c$it") }
        group.awaitApplied(20)
    }

    @Test
    fun aProposalForAnEndedTermIsNotCommittedByTheNextLeader() = group { group ->
        val deposed = group.awaitLeader()
        val term = deposed.group.status.value.term
        group.isolate(deposed.self)
        group.awaitLeader()
        while (deposed.group.quorumContactTime != null) delay(50.milliseconds)
        // The isolated replica knows no leader, so a call that is not bound to a term would wait.
        val stale = async { deposed.group.proposeInTerm(term, "stale".encodeToByteArray(), 25.seconds) }
        delay(100.milliseconds)
        group.reconnect(deposed.self)
        group.awaitLeader().group.proposeUntilCommitted("next")
        delay(5.seconds)

        group.running().forEach { assertEquals(listOf("next"), it.machine.commands) }
        assertEquals(ProposeResult.Rejected(RejectReason.NOT_LEADING), stale.await())
    }

    @Test
    fun aProposalForATermIsNotForwardedToItsLeader() = group { group ->
        val leader = group.awaitLeader()
        val term = leader.group.status.value.term
        val results = group.names.filter { it != leader.self }
            .map { group[it].group.proposeInTerm(term, "forwarded".encodeToByteArray(), 5.seconds) }
        assertIs<ProposeResult.Committed>(leader.group.proposeInTerm(term, "own".encodeToByteArray(), 5.seconds))
        delay(2.seconds)

        assertEquals(setOf(ProposeResult.Rejected(RejectReason.NOT_LEADING)), results.toSet())
        group.running().forEach { assertEquals(listOf("own"), it.machine.commands) }
    }

    @Test
    fun aProposalForAnEarlierTermIsRejectedWhenItsReplicaLeadsALaterTerm() = group { group ->
        val replica = group.awaitLeader()
        val first = replica.group.status.value.term
        var leader = replica
        while (leader != replica || leader.group.status.value.term == first) {
            group.isolate(leader.self)
            // The isolated leader steps down in this time, and another leader is elected.
            delay(4.seconds)
            val next = group.awaitLeader()
            group.reconnect(leader.self)
            delay(1.seconds)
            leader = next
        }
        val term = replica.group.status.value.term
        val stale = replica.group.proposeInTerm(first, "stale".encodeToByteArray(), 5.seconds)
        assertIs<ProposeResult.Committed>(replica.group.proposeInTerm(term, "own".encodeToByteArray(), 5.seconds))

        assertEquals(ProposeResult.Rejected(RejectReason.NOT_LEADING), stale)
        assertEquals(listOf("own"), replica.machine.commands)
    }

    @Test
    fun aProposalOfALeaderThatStepsDownAfterAFreezeIsNotCommittedByTheNextLeader() = group { group ->
        val frozen = group.awaitLeader()
        val term = frozen.group.status.value.term
        // The replica is still the leader when the call arrives, and steps down before it appends the command.
        frozen.clockAdvance = 10.seconds
        val stale = frozen.group.proposeInTerm(term, "stale".encodeToByteArray(), 25.seconds)
        group.awaitLeader().group.proposeUntilCommitted("next")
        delay(5.seconds)

        assertEquals(ProposeResult.Rejected(RejectReason.NOT_LEADING), stale)
        group.running().forEach { assertEquals(listOf("next"), it.machine.commands) }
    }

    @Test
    fun proposalsForTermsAreCommittedInTermOrderWhileLeadersAreIsolated() {
        repeat(4) { seed -> proposeWhileLeadersAreIsolated(seed) }
    }

    /** Each daemon proposes for the last term that it led, while one leader after another is isolated. */
    private fun proposeWhileLeadersAreIsolated(seed: Int) = runTest {
        val group = GroupFixture(this, folder.resolve("$seed"), seed)
        group.start()
        group.awaitLeader()
        group.loss = 0.05
        val termsLed = HashMap<DaemonId, Long>()
        val results = LinkedHashMap<String, Deferred<ProposeResult>>()
        repeat(200) { number ->
            val isolated = group.names.filter { group[it].isIsolated }
            if (number % 20 == 0) group.isolate(group.awaitLeader().self)
            if (number % 20 == 13) isolated.forEach(group::reconnect)
            group.names.forEach { name ->
                val status = group[name].group.status.value
                if (status.role == ReplicaRole.LEADER) termsLed[name] = status.term
                val term = termsLed[name] ?: return@forEach
                val command = "$term-$name-$number"
                results[command] =
                    async { group[name].group.proposeInTerm(term, command.encodeToByteArray(), 25.seconds) }
            }
            delay(100.milliseconds)
        }
        group.names.forEach(group::reconnect)
        group.loss = 0.0
        delay(30.seconds)
        group.awaitLeader().group.proposeUntilCommitted("last")
        val commands = group.awaitLeader().machine.commands - "last"
        val terms = commands.map { it.substringBefore('-').toLong() }

        assertNull(terms.zipWithNext().firstOrNull { (term, next) -> term > next }, "seed $seed")
        assertTrue(terms.distinct().size > 2, "seed $seed: commands of terms ${terms.distinct()}")
        for ((command, result) in results) {
            val outcome = result.await()
            if (outcome is ProposeResult.Committed) assertTrue(command in commands, "seed $seed: $command")
            if (outcome is ProposeResult.Rejected) assertTrue(command !in commands, "seed $seed: $command")
        }
    }
}
