package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.math.exp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests the detection of workers that appear healthy while their tasks progress slowly or not at all.
 *
 * Guards against a slow worker that delays all jobs with a task on it, and against healthy workers that are
 * quarantined because estimates are wrong.
 */
class SlowWorkerTest {
    private val task = StepDescription(count = 2, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun fleet(seed: Int) = VirtualFleet.withWorkers(6, seed)

    /** Submits jobs that require half the capacity of six workers for ten seconds, and runs them. */
    private fun VirtualFleet.submitLoad(step: StepDescription) {
        repeat(60) { number -> at((number * 160).milliseconds) { submit("job$number", step) } }
        run(40.seconds)
        checkFinalState()
        assertEquals(emptyList(), violations)
    }

    private fun lateJobs(slowness: Double, step: StepDescription): Int = (0 until 10).sumOf { seed ->
        val fleet = fleet(seed)
        fleet.workers.values.first().slowness = slowness
        fleet.submitLoad(step)
        fleet.state.jobs.values.count { it.endedMs - it.acceptedMs > 2_800 }
    }

    @Test
    fun aSlowWorkerDelaysFewJobs() {
        // Without the detection all jobs with a task on the slow worker are late: more than a sixth.
        val late = lateJobs(slowness = 8.0, task)

        assertTrue(late <= 6, "$late of 600 jobs were late")
    }

    @Test
    fun stalledTasksRestartElsewhere() {
        val late = lateJobs(slowness = 1_000.0, task.copy(savesProgress = true))

        assertTrue(late <= 60, "$late of 600 jobs were late")
    }

    @Test
    fun wrongEstimatesDoNotQuarantineWorkers() {
        repeat(10) { seed ->
            val fleet = fleet(seed)
            // The standard deviation of the error is a factor of e to the power of 0.9.
            fleet.workOf = { id, step -> (step.estimateMs * exp(0.9 * normal(id.hashCode()))).toLong() }
            fleet.submitLoad(task)

            assertEquals(null, fleet.eventCounts["run_evacuated"], "seed $seed")
        }
    }

    /** Returns an approximately normal number that depends only on [seed]. */
    private fun normal(seed: Int): Double {
        val random = Random(seed)
        return List(12) { random.nextDouble() }.sum() - 6
    }
}
