package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against callers that are told to come back for ever, because their records share a batch that is larger than
 * the log takes, or are larger than that themselves.
 */
class BatchSizeTest {
    private val settings = SchedulingSettings(maxBatchBytes = 4_000)
    private val step = StepDescription(count = 1, demand = Resources(100, 10), estimateMs = 200)

    @Test
    fun callsThatShareALargeBatchAreRefusedTogether() {
        val fleet = VirtualFleet.withWorkers(2, seed = 1, settings)
        var largest = 0
        fleet.mutate = { action ->
            if (action is Action.Commit) largest = maxOf(largest, action.batch.records.sumOf { it.maxSize() })
            listOf(action)
        }
        val calls = (0 until 40).map { fleet.submitOf("job-$it", payload = 300 + 10 * it) }
        fleet.run(6.seconds)
        fleet.checkFinalState()

        assertEquals(emptyList(), fleet.violations)
        assertTrue(calls.all { fleet.replies[it] == Reply.Accepted })
        assertTrue(largest <= settings.maxBatchBytes, "a batch takes $largest bytes")
        assertTrue((0 until 40).all { fleet.phase("job-$it") == JobPhase.COMPLETE })
    }

    @Test
    fun aCallThatNeverFitsIsRefusedWithAllOthersAndToldToComeBack() {
        val fleet = VirtualFleet.withWorkers(2, seed = 1, settings)
        val before = fleet.submitOf("before", payload = 100)
        val large = fleet.submitOf("large", payload = 5_000)
        val after = fleet.submitOf("after", payload = 100)
        fleet.run(2.seconds)

        assertIs<Reply.TooLarge>(fleet.replies[large])
        assertEquals(listOf(Reply.Accepted, Reply.Accepted), listOf(fleet.replies[before], fleet.replies[after]))
        assertEquals(null, fleet.phase("large"))
    }

    private fun VirtualFleet.submitOf(id: String, payload: Int): CallId = call {
        Event.JobSubmitted(it, JobId(id), VirtualFleet.QUEUE, JobDescription("x".repeat(payload), listOf(step)))
    }
}
