package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.Heartbeat
import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.model.LogIndex
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a group that cannot elect a leader: if the removal of a voter is not committed, the removed voter can
 * hold the only log that is up to date enough to win.
 */
class RemovedVoterTest {
    private val entries = listOf(
        membershipEntry(1, 1, votersOf("a", "b", "c")),
        membershipEntry(2, 1, votersOf("b", "c", "d").copy(outgoingVoters = votersOf("a", "b", "c").voters)),
        membershipEntry(3, 1, votersOf("b", "c", "d")),
    )

    private fun campaign(script: ScriptedReplica): Int {
        script.now += 2.seconds
        return script.handle(ReplicaInput.Tick).sent<VoteRequest>().size
    }

    @Test
    fun removedVoterCampaignsUntilItsRemovalIsKnownCommitted() {
        val script = ScriptedReplica(HardState(1), entries)
        assertEquals(3, campaign(script))
        script.receive(Heartbeat(1, 1, LogIndex(2)))
        assertEquals(3, campaign(script))
        script.receive(Heartbeat(1, 2, LogIndex(3)))
        assertEquals(0, campaign(script))
    }
}
