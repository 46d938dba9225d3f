package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.AppendResponse
import org.auburnstream.consensus.ConsensusMessage.HeartbeatResponse
import org.auburnstream.consensus.ConsensusMessage.VoteResponse
import org.auburnstream.model.LogIndex
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Checks which responses let a leader commit entries and serve reads. */
class CommitRuleTest {
    private val genesis = membershipEntry(1, 1, votersOf("a", "b", "c"))
    private val inherited = LogEntry(LogIndex(2), 2, EntryPayload.Command(byteArrayOf(1)))
    private val script = ScriptedReplica(HardState(2), listOf(genesis, inherited))

    private fun lead() {
        script.now += 2.seconds
        script.handle(ReplicaInput.Tick)
        script.receive(VoteResponse(3, granted = true, preVote = true))
        script.receive(VoteResponse(3, granted = true))
        assertEquals(RaftRole.LEADER, script.replica.role)
    }

    /**
     * Guards against committing an entry of an earlier term by counting replicas: a later leader could still overwrite
     * it.
     */
    @Test
    fun leaderCommitsEarlierTermEntriesOnlyWithEntryOfItsOwnTerm() {
        lead()
        val quorumHoldsInherited = AppendResponse(3, true, LogIndex(2), LogIndex(1))
        assertEquals(emptyList(), script.receive(quorumHoldsInherited).appliedIndices())
        val quorumHoldsOwn = AppendResponse(3, true, LogIndex(3), LogIndex(2))
        assertEquals(listOf(1L, 2L, 3L), script.receive(quorumHoldsOwn).appliedIndices())
    }

    /** Guards against stale reads by a new leader that does not know the latest commit index yet. */
    @Test
    fun readIsServedOnlyAfterLeaderCommitsEntryOfItsOwnTerm() {
        lead()
        val early = script.handle(ReplicaInput.ReadRequested(ReadId(7)))
        val confirmed = (1L..2).flatMap { script.receive(HeartbeatResponse(3, it)) }
        assertEquals(emptyList(), (early + confirmed).filterIsInstance<Effect.CompleteRead>())
        val committed = script.receive(AppendResponse(3, true, LogIndex(3), LogIndex(2)))
        val served = committed + (1L..9).flatMap { script.receive(HeartbeatResponse(3, it)) }
        assertEquals(
            listOf(Effect.CompleteRead(ReadId(7), LogIndex(3))),
            served.filterIsInstance<Effect.CompleteRead>(),
        )
    }

    /** Guards against counting acknowledgements of non-members or of earlier terms towards the quorum. */
    @Test
    fun responsesFromNonMembersAndOtherTermsDoNotAdvanceCommit() {
        lead()
        val strangers = script.receive(AppendResponse(3, true, LogIndex(3), LogIndex(2)), from = "x")
        val late = script.receive(AppendResponse(2, true, LogIndex(3), LogIndex(2)))
        assertEquals(emptyList(), (strangers + late).appliedIndices())
        script.receive(HeartbeatResponse(99, 1), from = "x")
        assertEquals(RaftRole.LEADER, script.replica.role)
    }
}
