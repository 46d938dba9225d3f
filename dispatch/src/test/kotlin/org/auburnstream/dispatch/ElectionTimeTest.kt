package org.auburnstream.dispatch

import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.scheduling.SchedulingSettings
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against elections that take longer than the leases allow for, see [SchedulingSettings.electionTime]. */
class ElectionTimeTest {
    @Test
    fun anElectionWithoutARepeatedVoteTakesLongerThanTheLeasesAllowFor() {
        val longest = ReplicaSettings().electionTimeoutMax

        assertTrue(longest < SchedulingSettings().electionTime, "an election begins after $longest")
    }
}
