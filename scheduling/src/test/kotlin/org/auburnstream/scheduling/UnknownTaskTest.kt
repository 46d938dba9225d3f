package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against leaders that fail one after the other because a worker lists a run of a task that its job lacks.
 *
 * A worker may list such a run when the id of a removed job was used again for a job with fewer tasks.
 */
class UnknownTaskTest {
    private val step = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 2_000)
    private val job = JobId("job")

    private val unknownTasks = listOf(
        TaskId(StepId(job, occurrence = 0, step = 99), index = 0),
        TaskId(StepId(job, occurrence = 0, step = -1), index = 0),
        TaskId(StepId(job, occurrence = 99, step = 0), index = 0),
        TaskId(StepId(job, occurrence = -1, step = 0), index = 0),
        TaskId(StepId(job, occurrence = 0, step = 0), index = 99),
        TaskId(StepId(job, occurrence = 0, step = 0), index = -1),
    )

    /** A leader that fails on the row is followed by one that fails on it as well. */
    @Test
    fun aListedRunOfATaskThatItsJobLacksEndsTheLeader() {
        for (task in unknownTasks) {
            val run = RunId(task, number = 1)
            val fleet = fleetWithRun()
            val worker = fleet.workers.values.single()
            worker.listAsRunning(run)
            fleet.run(1_500.milliseconds)

            assertFalse(worker.runs(task), "$run was not stopped")
            assertTrue((fleet.eventCounts["unknown_run"] ?: 0) > 0, "$run was not logged")
            assertJobCompletes(fleet, run)
        }
    }

    /** The end is listed until a leader acknowledges it, so that every leader would fail on it. */
    @Test
    fun aListedEndOfATaskThatItsJobLacksEndsTheLeader() {
        for (task in unknownTasks) {
            for (end in RunEnd.entries) {
                val run = RunId(task, number = 1)
                val fleet = fleetWithRun()
                fleet.workers.values.single().listAsEnded(run, end)
                fleet.run(500.milliseconds)

                assertEquals(1, fleet.eventCounts["unknown_run"], "$run $end was not logged once")
                assertJobCompletes(fleet, run)
            }
        }
    }

    /** A leader that does not know when the run started must not fail on it either. */
    @Test
    fun aListedRunOfATaskThatItsJobLacksEndsTheNextLeader() {
        for (task in unknownTasks) {
            val run = RunId(task, number = 1)
            val fleet = fleetWithRun()
            val worker = fleet.workers.values.single()
            fleet.changeLeader()
            worker.listAsRunning(run)
            worker.listAsEnded(run.copy(number = 2), RunEnd.DONE)
            fleet.run(1_500.milliseconds)

            assertFalse(worker.runs(task), "$run was not stopped")
            assertFalse(worker.listsEnd(run.copy(number = 2)), "the end of $run was not acknowledged")
            assertJobCompletes(fleet, run)
        }
    }

    /** Returns a fleet whose only worker runs the only task of a job. */
    private fun fleetWithRun(): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(1)
        fleet.submit(job.value, step)
        fleet.run(300.milliseconds)
        assertTrue(fleet.isRunning(TaskId(StepId(job, occurrence = 0, step = 0), index = 0)))
        return fleet
    }

    private fun assertJobCompletes(fleet: VirtualFleet, run: RunId) {
        fleet.run(4.seconds)

        assertFalse(fleet.workers.values.single().listsEnd(run), "the end of $run was not acknowledged")
        assertEquals(JobPhase.COMPLETE, fleet.phase(job.value), "$run")
    }
}
