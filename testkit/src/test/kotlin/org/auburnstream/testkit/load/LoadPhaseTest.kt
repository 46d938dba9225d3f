package org.auburnstream.testkit.load

import kotlinx.coroutines.runBlocking
import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.VmId
import org.auburnstream.testkit.target.TargetBehaviour
import org.auburnstream.testkit.target.TargetStandIn
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LoadPhaseTest {
    @Test
    fun countsAnsweredAndFailedRequests() = runBlocking {
        val answered = load(TargetBehaviour.ECHO)
        val refused = load(TargetBehaviour.REFUSE)

        assertEquals(40, answered.answered)
        assertEquals(0, answered.failed)
        assertTrue(answered.percentile(50.0) <= answered.percentile(99.9))
        assertEquals(0, refused.answered)
        assertEquals(40, refused.failed)
    }

    private suspend fun load(behaviour: TargetBehaviour): LoadResult {
        val announcement =
            Announcement(VmId("vm-1"), 1, DataCentreId("dc"), RackId("r"), PoolId("p"), address = "127.0.0.1", port = 0)
        return TargetStandIn(announcement, behaviour = behaviour).use { target ->
            target.start()
            LoadPhase(
                target = LoadTarget("127.0.0.1", target.port, "/x", bodyBytes = 100),
                connections = 2,
                duration = 60.seconds,
                requestsPerConnection = 20,
            ).run()
        }
    }
}
