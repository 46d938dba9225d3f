package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replays a load in which workers leave three of ten orders and status queries unanswered for 20 s.
 *
 * A job of two steps with six tasks each nearly always has an unanswered order, so the time until an order is known to
 * be unanswered decides whether jobs are in time.
 */
class LostAnswersTest {
    private val step = StepDescription(count = 6, demand = Resources(1_000, 100), estimateMs = 1_000)

    @Test
    fun jobsAreLateWhileWorkersLeaveOrdersUnanswered() {
        repeat(SEEDS) { seed ->
            val served = shareServed(seed, SchedulingSettings())

            assertTrue(served >= TARGET, "seed $seed: $served of the jobs are in time, at least $TARGET expected")
        }
    }

    @Test
    fun theLoadDoesNotShowTheCostOfALongTimeout() {
        val longTimeout = SchedulingSettings().let { it.copy(shortestOrderTimeout = it.orderTimeout) }
        val served = (0 until SEEDS).map { shareServed(it, longTimeout) }.average()

        assertTrue(served < TARGET, "$served of the jobs are in time with the long timeout")
    }

    private fun shareServed(seed: Int, settings: SchedulingSettings): Double {
        val fleet = VirtualFleet(seed, settings)
        fleet.start()
        repeat(12) { fleet.addWorker("w$it", cpu = 16_000) }
        fleet.run(2.seconds)
        fleet.lateOrderShare = 0.3
        fleet.lostQueryShare = 0.3
        val lateJobs = HashSet<JobId>()
        repeat(JOBS) { number ->
            val id = "job-$number"
            fleet.at((number * 200).milliseconds) {
                fleet.submit(id, step, step.copy(dependsOn = listOf(0)))
                fleet.at(OBJECTIVE) { if (fleet.phase(id) != JobPhase.COMPLETE) lateJobs.add(JobId(id)) }
            }
        }
        fleet.run(20.seconds)
        fleet.lateOrderShare = 0.0
        fleet.lostQueryShare = 0.0
        fleet.run(60.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        return 1 - lateJobs.size / JOBS.toDouble()
    }

    private companion object {
        const val SEEDS = 5
        const val JOBS = 90

        /** Share of the jobs that users want served in time while workers are in trouble. */
        const val TARGET = 0.8

        /** Twice the objective of the queue, after which a result is of little use. */
        val OBJECTIVE = (VirtualFleet.QUEUE.stretch * 2_000 + VirtualFleet.QUEUE.objectiveMs).milliseconds * 2
    }
}
