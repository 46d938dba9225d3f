package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.consensus.ConsensusMessage.VoteResponse
import org.auburnstream.model.LogIndex
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks when a replica grants its vote and when it campaigns. */
class VoteTest {
    private val entries = listOf(
        membershipEntry(1, 1, votersOf("a", "b", "c")),
        LogEntry(LogIndex(2), 2, EntryPayload.NoOp),
    )
    private val script = ScriptedReplica(HardState(2), entries)

    private fun isGranted(request: VoteRequest) = script.receive(request).sent<VoteResponse>().single().granted

    /**
     * Guards against electing a second leader while the first still relies on its quorum contact: a replica that has
     * just restarted may have answered that leader's heartbeat before.
     */
    @Test
    fun restartedReplicaDoesNotVoteWithinMinElectionTimeout() {
        script.now += 599.milliseconds
        assertEquals(false, isGranted(VoteRequest(3, LogIndex(2), 2)))
        script.now += 1.milliseconds
        assertEquals(true, isGranted(VoteRequest(3, LogIndex(2), 2)))
    }

    /** Guards against electing a leader whose log lacks committed entries. */
    @Test
    fun voteIsGrantedOnlyToUpToDateLog() {
        script.now += 600.milliseconds
        for (preVote in listOf(true, false)) {
            assertEquals(false, isGranted(VoteRequest(3, LogIndex(1), 2, preVote)), "shorter log")
            assertEquals(false, isGranted(VoteRequest(3, LogIndex(9), 1, preVote)), "earlier last term")
            assertEquals(true, isGranted(VoteRequest(4, LogIndex(1), 3, preVote)), "later last term")
        }
    }

    /** Guards against a full election timeout after a split vote. */
    @Test
    fun undecidedCampaignIsRepeatedWithinCampaignTimeout() {
        script.now += 2.seconds
        script.handle(ReplicaInput.Tick)
        assertTrue(script.replica.nextDeadline - script.now <= ReplicaSettings.Default.campaignTimeoutMax)
    }
}
