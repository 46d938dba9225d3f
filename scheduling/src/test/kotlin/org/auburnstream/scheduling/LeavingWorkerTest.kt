package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a lasting task that is down for longer than a restart takes after its worker announced a shutdown. */
class LeavingWorkerTest {
    private val plates = VirtualFleet.QUEUE.copy(name = QueueName("plates"), service = ServiceId("plates"))
    private val proofs = VirtualFleet.QUEUE.copy(name = QueueName("proofs"), service = ServiceId("proofs"))
    private val step = StepDescription(count = 4, demand = Resources(1_000, 100), lasting = true, maxPerWorker = 1)
    private val tasks = List(step.count) { TaskId(StepId(JobId("lasting"), occurrence = 0, step = 0), index = it) }

    @Test
    fun aLastingTaskStaysOnItsLeavingWorkerUntilItIsGone() = forEachSeed { seed ->
        val fleet = VirtualFleet.withWorkers(8, seed)
        fleet.submit("lasting", step)
        assertMovedInTime(fleet, seed, leaving = 1)
    }

    /** The tasks must be moved one after the other, as at most one may be missing because of planned work. */
    @Test
    fun lastingTasksStayOnWorkersThatLeaveAtOnceOrAreAllStoppedAtOnce() = forEachSeed { seed ->
        val fleet = VirtualFleet.withWorkers(8, seed)
        fleet.submit("lasting", step.copy(mayMiss = 1))
        assertMovedInTime(fleet, seed, leaving = 2 + seed % 2)
    }

    /** Each other worker of the pool already runs a task of the step. */
    @Test
    fun noVmIsBorrowedForALastingTaskUntilItsLeavingWorkerIsGone() = forEachSeed { seed ->
        val fleet = VirtualFleet.withTwoServices(seed, plates, borrowerVms = step.count, proofs, donorVms = 6)
        fleet.submit("lasting", step, queue = plates)
        assertMovedInTime(fleet, seed, leaving = 1)
    }

    private fun assertMovedInTime(fleet: VirtualFleet, seed: Int, leaving: Int): String? {
        fleet.run(6.seconds + (seed * 97).milliseconds)
        assertTrue(tasks.all(fleet::isRunning), "seed $seed: the tasks do not run yet")
        for (worker in fleet.workers.values.filter { worker -> tasks.any(worker::runs) }.take(leaving)) {
            worker.drain(DRAIN_TIME)
            worker.profile.vm?.let { vm -> fleet.at(DRAIN_TIME) { fleet.leaving.add(vm) } }
        }
        val down = fleet.longestDownTime(tasks, duration = 30.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        return "seed $seed: a task was down for $down".takeIf { down > MAX_DOWN_TIME }
    }

    private fun forEachSeed(failureOf: (Int) -> String?) {
        val failures = (0 until SEEDS).mapNotNull(failureOf)
        assertEquals(emptyList(), failures, "at most $MAX_DOWN_TIME allowed")
    }

    private companion object {
        const val SEEDS = 40

        /** Time from the announcement of a shutdown until the worker is gone. */
        val DRAIN_TIME: Duration = 6_500.milliseconds

        /** Time for a stop, at most 0.9 s, and a start. */
        val MAX_DOWN_TIME: Duration = 2.seconds
    }
}
