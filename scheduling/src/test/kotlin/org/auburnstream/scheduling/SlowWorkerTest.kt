package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.math.exp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Workers that look healthy while their tasks hardly progress. */
class SlowWorkerTest {
    private val task = StepDescription(count = 2, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun fleet(seed: Int) = VirtualFleet.withWorkers(6, seed)

    /** Half of what six workers hold is asked for in each of ten seconds. */
    private fun VirtualFleet.playLoad(step: StepDescription) {
        repeat(60) { number -> at((number * 160).milliseconds) { offer("job$number", step) } }
        run(40.seconds)
        checkEnd()
        assertEquals(emptyList(), violations)
    }

    private fun lateJobs(slowness: Double, step: StepDescription): Int = (0 until 10).sumOf { seed ->
        val fleet = fleet(seed)
        fleet.workers.values.first().slowness = slowness
        fleet.playLoad(step)
        fleet.state.jobs.values.count { it.endedMs - it.acceptedMs > 2_800 }
    }

    @Test
    fun aSlowWorkerMakesFewJobsLate() {
        // Without a watch all jobs with a task there are late: more than a sixth.
        val late = lateJobs(slowness = 8.0, task)

        assertTrue(late <= 6, "$late of 600 jobs were late")
    }

    @Test
    fun tasksThatStandStillStartElsewhere() {
        val late = lateJobs(slowness = 1_000.0, task.copy(savesProgress = true))

        assertTrue(late <= 60, "$late of 600 jobs were late")
    }

    @Test
    fun noWorkerIsSetAsideBecauseEstimatesAreWrong() {
        repeat(10) { seed ->
            val fleet = fleet(seed)
            // Errors of a factor of e to the power of 0.9, as one standard deviation.
            fleet.workOf = { id, step -> (step.estimateMs * exp(0.9 * normal(id.hashCode()))).toLong() }
            fleet.playLoad(task)

            assertEquals(null, fleet.eventCounts["run_evacuated"], "seed $seed")
        }
    }

    /** A number of the normal distribution that depends on [seed] alone. */
    private fun normal(seed: Int): Double {
        val random = Random(seed)
        return List(12) { random.nextDouble() }.sum() - 6
    }
}
