package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.consensus.ConsensusMessage.VoteResponse
import org.auburnstream.model.LogIndex
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VoteTest {
    private val entries = listOf(
        membershipEntry(1, 1, votersOf("a", "b", "c")),
        LogEntry(LogIndex(2), 2, EntryPayload.NoOp),
    )
    private val script = ScriptedReplica(HardState(2), entries)

    private fun isGranted(request: VoteRequest) = script.receive(request).sent<VoteResponse>().single().granted

    @Test
    fun aReplicaThatRestartsDoesNotVoteWhileTheLeaderThatItMayHaveAnsweredIsFresh() {
        script.now += 599.milliseconds
        assertEquals(false, isGranted(VoteRequest(3, LogIndex(2), 2)))
        script.now += 1.milliseconds
        assertEquals(true, isGranted(VoteRequest(3, LogIndex(2), 2)))
    }

    @Test
    fun onlyALogThatIsAsUpToDateGetsTheVote() {
        script.now += 600.milliseconds
        for (trial in listOf(true, false)) {
            assertEquals(false, isGranted(VoteRequest(3, LogIndex(1), 2, trial)), "shorter log")
            assertEquals(false, isGranted(VoteRequest(3, LogIndex(9), 1, trial)), "earlier last term")
            assertEquals(true, isGranted(VoteRequest(4, LogIndex(1), 3, trial)), "later last term")
        }
    }

    @Test
    fun anUndecidedCampaignIsRepeatedSoon() {
        script.now += 2.seconds
        script.feed(ReplicaInput.Tick)
        assertTrue(script.replica.nextDeadline - script.now <= ReplicaSettings.Default.campaignTimeoutMax)
    }
}
