package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against tasks that start again after they are done, because a status query that was sent for the earlier
 * incarnation of a restarted worker drops the ends of the later one.
 */
class RestartedWorkerEndsTest {
    private val step = StepDescription(count = 4, demand = Resources(1_000, 100), estimateMs = 500)

    @Test
    fun aDoneTaskStartsAgainBecauseALateStatusQueryDropsItsEnd() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithJobs(seed)
            repeat(5) { number ->
                fleet.at((5_000 + number * 5_000 + seed * 37).milliseconds) { restart(fleet, "w$number", seed) }
            }
            finish(fleet, seed)
        }
    }

    /** The start order of the task is carried out by the later incarnation before the leader learns of it. */
    @Test
    fun aDoneTaskStartsAgainBecauseItEndsBeforeTheRestartOfItsWorkerIsKnown() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithJobs(seed, estimateMs = 20)
            repeat(5) { number ->
                fleet.at((5_000 + number * 5_000 + seed * 37).milliseconds) {
                    val worker = fleet.workers.getValue(WorkerId("w$number"))
                    fleet.restart(worker, after = (1 + seed % 20).milliseconds, firstReport = 1_400.milliseconds)
                }
            }
            finish(fleet, seed)
        }
    }

    private fun fleetWithJobs(seed: Int, estimateMs: Long = step.estimateMs): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(8, seed)
        repeat(150) { number ->
            fleet.at((number * 200).milliseconds) { fleet.submit("job-$number", step.copy(estimateMs = estimateMs)) }
        }
        return fleet
    }

    private fun restart(fleet: VirtualFleet, name: String, seed: Int) {
        val id = WorkerId(name)
        fleet.restart(fleet.workers.getValue(id), after = 400.milliseconds, firstReport = (seed % 8 * 175).milliseconds)
        fleet.at(400.milliseconds) { fleet.workers.getValue(id).delaysNextDrop = true }
        fleet.at(2_000.milliseconds) { fleet.workers.getValue(id).delaysNextDrop = false }
    }

    private fun finish(fleet: VirtualFleet, seed: Int) {
        fleet.run(60.seconds)
        fleet.checkFinalState()

        assertEquals(emptyList(), fleet.violations, "seed $seed")
    }

    private companion object {
        const val SEEDS = 40
    }
}
