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
 * Guards against a lasting task that stays down although other workers have room, because its worker had restarted
 * under its id shortly before it was lost for good.
 */
class RestartedWorkerLostTest {
    private val step = StepDescription(count = 3, demand = Resources(1_000, 100), lasting = true, maxPerWorker = 1)

    @Test
    fun aLastingTaskStaysDownForLateOrdersThoughNoStartToItsRestartedWorkerIsUnanswered() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(5, seed)
            val early = ArrayList<Action>()
            fleet.mutate = { action -> listOf(action).also { if (grantsLease(action)) early.add(action) } }
            fleet.run(2.seconds)
            // Nothing that grants a lease was ever sent to the earlier incarnations, so no such order can be late.
            assertEquals(emptyList<Action>(), early, "seed $seed")
            fleet.workers.values.toList().forEach { fleet.restart(it, after = 500.milliseconds) }
            fleet.run(2.seconds + (seed * 53).milliseconds)
            fleet.submit("lasting", step)
            fleet.run(2.seconds)
            fleet.workers.values.first { it.runs(taskOf(seed)) }.crash(silent = true)

            assertRunsAgain(fleet, seed)
        }
    }

    @Test
    fun aLastingTaskStaysDownWhenItsRestartedWorkerIsLostBeforeItsFirstReport() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(5, seed)
            fleet.submit("lasting", step)
            // The only start of the task is answered long before the restart.
            fleet.run(12.seconds + (seed * 97).milliseconds)
            val worker = fleet.workers.values.first { it.runs(taskOf(seed)) }
            fleet.restart(worker, after = 100.milliseconds, firstReport = 1_400.milliseconds)
            // The later incarnation answers a status query and is lost before it has reported. Its loss disturbs the
            // calm, so the allowed time counts from then, though the task has been down since the restart.
            fleet.at(1_200.milliseconds) {
                fleet.workers.getValue(worker.profile.incarnation.worker).crash(silent = true)
            }

            assertRunsAgain(fleet, seed, lostAfter = 1_200.milliseconds)
        }
    }

    /** The next leader has read a snapshot, so it cannot tell from its own clock how long ago the worker restarted. */
    @Test
    fun aLastingTaskStaysDownWhenItsWorkerIsLostWithTheLeaderLongAfterItsRestart() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(5, seed)
            fleet.workers.values.toList().forEach { fleet.restart(it, after = 500.milliseconds) }
            fleet.run(30.seconds)
            fleet.submit("lasting", step)
            fleet.run(2.seconds + (seed * 53).milliseconds)
            fleet.workers.values.first { it.runs(taskOf(seed)) }.crash(silent = true)
            fleet.loseLeader()
            fleet.at(1.seconds) {
                fleet.state.restore(fleet.state.image(), fleet.now)
                fleet.changeLeader()
            }

            assertRunsAgain(fleet, seed)
        }
    }

    private fun grantsLease(action: Action): Boolean =
        action is Action.Start || (action is Action.Look && action.untilMs != null)

    private fun assertRunsAgain(fleet: VirtualFleet, seed: Int, lostAfter: Duration = Duration.ZERO) {
        val down = fleet.runUntilStarted(taskOf(seed), limit = 40.seconds) - lostAfter
        assertTrue(down <= MAX_DOWN_TIME, "seed $seed: the task was down for $down, at most $MAX_DOWN_TIME allowed")
        fleet.run(40.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
    }

    private fun taskOf(seed: Int) =
        TaskId(StepId(JobId("lasting"), occurrence = 0, step = 0), index = seed % step.count)

    private companion object {
        const val SEEDS = 40

        /** A lost run may stay unknown for 6 s; from then on its task may wait for 3 s while there is room. */
        val MAX_DOWN_TIME: Duration = 9.seconds
    }
}
