package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against lost or duplicate runs and unanswered calls when a worker deregisters.
 *
 * A worker executes its runs until it gets the reply, or for seconds without one, so a run released too early runs
 * twice.
 */
class DeregistrationsTest {
    private val step =
        StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 6_000, savesProgress = true)
    private val task = TaskId(StepId(JobId("job"), occurrence = 0, step = 0), index = 0)

    @Test
    fun aRunIsReleasedWhileItsDeregisteringWorkerStillExecutesIt() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithRunningJob(seed)
            fleet.run((500 + seed * 10).milliseconds)
            runningWorker(fleet).leave(isAnswerLost = true)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun aRunClaimedWhileItsWorkerDeregistersStartsThereAsWell() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(2, seed)
            fleet.submit("job", step)
            // The claim is being committed.
            fleet.run(fleet.commitTime + 5.milliseconds)
            fleet.workers.values.first().leave(isAnswerLost = true)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun theSavedProgressOfADeregisteringWorkerIsLost() {
        val fleet = fleetWithRunningJob(seed = 1)
        fleet.run(3.seconds)
        runningWorker(fleet).leave(isAnswerLost = false)
        // 3 s of the 6 s of work are done.
        fleet.run(4_500.milliseconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun aDeregistrationWaitsForLeaseExpiryThoughTheWorkerAnswersItsStops() {
        val fleet = fleetWithRunningJob(seed = 1)
        fleet.run(500.milliseconds)
        val worker = runningWorker(fleet)
        val call = worker.leave(isAnswerLost = false)
        fleet.run(1.seconds)

        assertEquals(Reply.Accepted, fleet.replies[call])
        assertNull(fleet.state.worker(worker.profile.incarnation))
    }

    @Test
    fun aDeregistrationIsNeverAnsweredWhenItsWorkerFallsSilent() {
        val fleet = fleetWithRunningJob(seed = 1)
        fleet.run(500.milliseconds)
        val worker = runningWorker(fleet)
        val call = worker.leave(isAnswerLost = true)
        worker.isReachable = false
        fleet.run(30.seconds)

        assertEquals(Reply.Accepted, fleet.replies[call])
        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun aDeregisteringWorkerIsAssignedTasksByTheNextLeader() {
        val fleet = fleetWithRunningJob(seed = 1)
        fleet.run(500.milliseconds)
        val worker = runningWorker(fleet)
        // The worker does not answer the stop before the leader changes.
        worker.leave(isAnswerLost = true)
        worker.isReachable = false
        fleet.run(50.milliseconds)
        fleet.changeLeader()
        worker.isReachable = true
        val starts = worker.starts
        repeat(8) { fleet.submit("other-$it", step) }
        fleet.run(3.seconds)

        assertEquals(starts, worker.starts)
    }

    private fun fleetWithRunningJob(seed: Int): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(2, seed)
        fleet.submit("job", step)
        fleet.run(100.milliseconds)
        return fleet
    }

    private fun runningWorker(fleet: VirtualFleet): VirtualWorker = fleet.workers.values.single { it.runs(task) }

    private fun runToCompletion(fleet: VirtualFleet, seed: Int) {
        fleet.run(30.seconds)
        fleet.checkFinalState()

        assertEquals(emptyList(), fleet.violations, "seed $seed")
        assertTrue(fleet.phase("job") == JobPhase.COMPLETE, "seed $seed: the job is not over")
    }

    private companion object {
        const val SEEDS = 40
    }
}
