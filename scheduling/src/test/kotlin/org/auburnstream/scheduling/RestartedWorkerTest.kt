package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against tasks that run twice when a worker restarts under its id while a start order is in flight.
 *
 * Orders name the worker and not its incarnation, so the restarted worker carries out an order sent for its earlier
 * incarnation. If the leader has released the run by then, the task also runs at another worker.
 */
class RestartedWorkerTest {
    private val step = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 20_000)
    private val run = RunId(TaskId(StepId(JobId("job"), occurrence = 0, step = 0), index = 0), number = 1)

    @Test
    fun aRunWithAStartInFlightIsReleasedWhenARestartedWorkerReports() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithLateStart(seed)
            fleet.run((seed * 20).milliseconds)
            fleet.restart(claimant(fleet), after = 100.milliseconds)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun aRunWithAStartInFlightIsReleasedWhenARestartedWorkerAnswersAStatusQuery() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithLateStart(seed)
            fleet.run((seed * 20).milliseconds)
            // The later incarnation answers the status query in flight, before any order to stop the run arrives.
            fleet.restart(claimant(fleet), after = Duration.ZERO, firstReport = 1_400.milliseconds)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun aLateStartRunsAtARestartedWorkerThoughItsStopWasAnsweredBefore() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithLateStart(seed)
            while (fleet.state.task(run.task)?.claims?.any { it.number == run.number } == true) fleet.run(POLL_INTERVAL)
            fleet.restart(fleet.workers.values.elementAt(claimantIndex), after = 100.milliseconds)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun aLateStartOfAnEarlierLeaderRunsAtARestartedWorker() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithLateStart(seed)
            fleet.run((seed * 10).milliseconds)
            fleet.changeLeader()
            while (fleet.state.task(run.task)?.claims?.any { it.number == run.number } == true) fleet.run(POLL_INTERVAL)
            fleet.restart(fleet.workers.values.elementAt(claimantIndex), after = 100.milliseconds)
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun aRunIsReleasedWhenTheLeaderChangesAsARestartedWorkerReports() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithLateStart(seed)
            fleet.run((seed * 20).milliseconds)
            fleet.restart(claimant(fleet), after = 100.milliseconds)
            fleet.at((95 + seed).milliseconds) { fleet.changeLeader() }
            runToCompletion(fleet, seed)
        }
    }

    @Test
    fun tasksRunTwiceWhileWorkersRestartAndOrdersAreLate() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithRestarts(seed, firstReport = Duration.ZERO)
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    @Test
    fun aLateStartRunsAtARestartedWorkerThatHasNotReportedYet() {
        repeat(SEEDS) { seed ->
            val fleet = fleetWithRestarts(seed, firstReport = 1_400.milliseconds)
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    private fun fleetWithRestarts(seed: Int, firstReport: Duration): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(6, seed)
        fleet.lateOrderShare = 0.1
        repeat(30) { number ->
            fleet.at((number * 300).milliseconds) {
                fleet.submit("job-$number", step.copy(count = 2, estimateMs = 800))
            }
        }
        repeat(12) { number ->
            fleet.at((900 + number * 800 + seed * 13).milliseconds) { restartAny(fleet, firstReport) }
        }
        repeat(2) { number -> fleet.at((3_000 + number * 4_100 + seed * 17).milliseconds) { fleet.changeLeader() } }
        return fleet
    }

    private fun restartAny(fleet: VirtualFleet, firstReport: Duration) {
        val worker = fleet.workers.values.filter { it.isUp }.randomOrNull(fleet.random) ?: return
        fleet.restart(worker, after = fleet.random.nextLong(20, 1_500).milliseconds, firstReport)
    }

    @Test
    fun runsOfAWorkerWaitForItsLeaseThoughAnotherAnswersAtItsAddress() {
        val fleet = VirtualFleet.withWorkers(2)
        fleet.submit("job", step)
        fleet.run(500.milliseconds)
        val worker = claimant(fleet)
        worker.crash()
        fleet.addWorker("other", address = worker.profile.address)
        fleet.run(3_500.milliseconds)

        assertTrue(fleet.workers.values.any { it.runs(run.task) }, "the run has not started elsewhere")
        assertEquals(emptyList(), fleet.violations)
    }

    /** Returns a fleet whose leader has just sent the only start order, which arrives seconds later. */
    private fun fleetWithLateStart(seed: Int): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(2, seed)
        fleet.lateOrderShare = 1.0
        fleet.submit("job", step)
        // The job and its claim are committed one after the other.
        fleet.run(fleet.commitTime * 2)
        fleet.lateOrderShare = 0.0
        claimantIndex = fleet.workers.values.indexOf(claimant(fleet))
        return fleet
    }

    private var claimantIndex = 0

    private fun claimant(fleet: VirtualFleet): VirtualWorker {
        val claim = checkNotNull(fleet.state.task(run.task)).claims.single()
        return fleet.workers.getValue(claim.incarnation.worker)
    }

    private fun runToCompletion(fleet: VirtualFleet, seed: Int) {
        fleet.run(60.seconds)
        fleet.checkFinalState()

        assertEquals(emptyList(), fleet.violations, "seed $seed")
        assertTrue(fleet.phase("job") == JobPhase.COMPLETE, "seed $seed: the job is not over")
    }

    private companion object {
        const val SEEDS = 40
        val POLL_INTERVAL = 10.milliseconds
    }
}
