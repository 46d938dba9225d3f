package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.AppendRequest
import org.auburnstream.consensus.ConsensusMessage.AppendResponse
import org.auburnstream.consensus.ConsensusMessage.Heartbeat
import org.auburnstream.consensus.ConsensusMessage.HeartbeatResponse
import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.consensus.ConsensusMessage.VoteResponse
import org.auburnstream.model.LogIndex
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Checks heartbeats and elections while the store is slow to make writes durable. */
class SlowStoreTest {
    private val script = ScriptedReplica(HardState(1), listOf(membershipEntry(1, 1, votersOf("a", "b", "c"))))

    /**
     * Guards against the loss of a leadership because heartbeat responses wait for slow writes of entries, and against
     * confirming a term that is not durable.
     */
    @Test
    fun heartbeatIsAnsweredWhileEntriesPersistButNotWhileItsTermPersists() {
        val entry = LogEntry(LogIndex(2), 1, EntryPayload.NoOp)
        val append = script.receiveWithoutPersist(AppendRequest(1, LogIndex(1), 1, listOf(entry), LogIndex(1)))
        assertEquals(emptyList(), append.sent<AppendResponse>())
        assertEquals(listOf(HeartbeatResponse(1, 5)), script.receiveWithoutPersist(Heartbeat(1, 5, LogIndex(1))).sent())
        val newTerm = script.receiveWithoutPersist(Heartbeat(2, 1, LogIndex(1)), from = "c")
        assertEquals(emptyList(), newTerm.sent<HeartbeatResponse>())
        val sequence = newTerm.filterIsInstance<Effect.Persist>().single().sequence
        val written = script.handle(ReplicaInput.PersistCompleted(sequence))
        assertEquals(listOf(HeartbeatResponse(2, 1)), written.sent())
    }

    /** Guards against repeated campaigns that raise the term faster than a slow store persists the votes. */
    @Test
    fun noCampaignStartsWhileVoteIsBeingPersisted() {
        script.now += 2.seconds
        script.handle(ReplicaInput.Tick)
        val vote = script.receiveWithoutPersist(VoteResponse(2, granted = true, preVote = true))
        val sequence = vote.filterIsInstance<Effect.Persist>().single().sequence
        repeat(10) {
            script.now += 2.seconds
            assertEquals(emptyList(), script.replica.handle(ReplicaInput.Tick, script.now))
        }
        val requests = script.handle(ReplicaInput.PersistCompleted(sequence)).sent<VoteRequest>()
        assertTrue(requests.size == 2 && requests.all { it.term == 2L && !it.preVote }, "$requests")
    }
}
