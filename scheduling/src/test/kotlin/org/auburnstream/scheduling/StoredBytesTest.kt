package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against control processes that run out of memory, again after each start, because nothing bounds the state of
 * the jobs that are accepted or have ended.
 */
class StoredBytesTest {
    private val step =
        StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 200, image = "i".repeat(500))

    @Test
    fun theStateOfAcceptedJobsGrowsWithoutBound() {
        val fleet = VirtualFleet.withWorkers(2, seed = 1, SchedulingSettings(maxStoredBytes = 40_000))
        val calls = (0 until 60).map { fleet.submitOf("job-$it") }
        fleet.run(300.milliseconds)
        assertTrue(fleet.state.storedBytes <= 40_000, "${fleet.state.storedBytes} bytes")
        val (refused, accepted) = calls.partition { fleet.replies[it] is Reply.NotAccepted }
        assertTrue(refused.isNotEmpty() && accepted.size > 5, "${accepted.size} accepted")
        assertTrue(refused.all { (fleet.replies[it] as Reply.NotAccepted).reason == RefusalReason.STORE_FULL })

        fleet.run(20.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations)
        // What the ended jobs no longer need makes room.
        val later = fleet.submitOf("later")
        fleet.run(1.seconds)
        assertEquals(Reply.Accepted, fleet.replies[later])
    }

    @Test
    fun anEndedJobKeepsItsPayload() {
        val fleet = VirtualFleet.withWorkers(2, seed = 1)
        fleet.submitOf("job")
        fleet.run(200.milliseconds)
        val active = fleet.state.storedBytes
        fleet.run(3.seconds)
        val job = checkNotNull(fleet.state.jobs[JobId("job")])

        assertEquals(JobPhase.COMPLETE, job.phase)
        assertEquals("", job.description.payload)
        assertTrue(fleet.state.storedBytes < active / 4, "${fleet.state.storedBytes} of $active bytes")
        val restored = SchedulerState(retentionMs = 150_000).also { it.restore(fleet.state.image(), fleet.now) }
        assertEquals(fleet.state.storedBytes, restored.storedBytes)
    }

    @Test
    fun theStateOfJobsThatAreForgottenStillCounts() {
        val fleet = VirtualFleet.withWorkers(2, seed = 1)
        fleet.submitOf("job")
        fleet.run(160.seconds)
        val late = fleet.submitOf("late")
        fleet.run(3.seconds)

        assertIs<Reply.Accepted>(fleet.replies[late])
        assertEquals(setOf(JobId("late")), fleet.state.jobs.keys)
        assertEquals(checkNotNull(fleet.state.jobs[JobId("late")]).storedBytes.toLong(), fleet.state.storedBytes)
    }

    private fun VirtualFleet.submitOf(id: String): CallId = call {
        Event.JobSubmitted(it, JobId(id), VirtualFleet.QUEUE, JobDescription("x".repeat(3_000), listOf(step)))
    }
}
