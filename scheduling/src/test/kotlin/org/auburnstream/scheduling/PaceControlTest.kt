package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests [PaceControl] with a serving task whose tail latency grows with the processor shares of the fill tasks.
 *
 * Guards against a tail latency that stays above its target, and against shares that are lowered without need.
 */
class PaceControlTest {
    private val incarnation = WorkerIncarnation(WorkerId("w"), 1)
    private val control = PaceControl(incarnation)
    private val serving = StepDescription(1, Resources(2_000, 100), lasting = true, tailTargetMs = 100)
    private val filling = StepDescription(1, Resources(4_000, 100), fillsUnused = true)
    private val servingRun = run("server")
    private val fillRuns = listOf(run("fill-0"), run("fill-1"))
    private val steps = fillRuns.associateWith { filling } + (servingRun to serving)
    private val shares = fillRuns.associateWith { 100 }.toMutableMap()
    private var now = MonotonicTime.Zero
    private var changes = 0

    private fun run(job: String) = RunId(TaskId(StepId(JobId(job), 0, 0), 0), 1)

    /**
     * Feeds the control with a status answer each half second for [seconds] and returns the tail latencies.
     *
     * @param tail returns the tail latency in ms at a total share of the fill tasks.
     */
    private fun simulate(seconds: Int, tail: (share: Int) -> Long): List<Long> = List(seconds * 2) {
        now += 500.milliseconds
        val tailMs = tail(shares.values.sum())
        val rows = fillRuns.map { RunStatus(it, "", percent = 50) } + RunStatus(servingRun, "", percent = 100, tailMs)
        control.decide(rows, steps, now).forEach { (run, share) ->
            control.applied(run, share)
            shares[run] = share
            changes += 1
        }
        tailMs
    }

    @Test
    fun tailLatencyAboveTheTargetFallsWithinTwoSeconds() {
        val tails = simulate(20) { share -> 60 + share / 2L }

        assertTrue(tails.drop(4).all { it <= 100 }, tails.toString())
        assertTrue(shares.values.sum() > 0, "fill tasks that keep the tail below the target continue")
    }

    @Test
    fun fillTasksAreNotSlowedWhileTheTailIsLow() {
        simulate(20) { 40 }

        assertEquals(0, changes)
        assertEquals(setOf(100), shares.values.toSet())
    }

    @Test
    fun tailLatencyFarAboveTheTargetStopsFillTasksAtOnce() {
        simulate(1) { share -> if (share > 0) 300 else 60 }

        assertEquals(setOf(0), shares.values.toSet())
    }

    @Test
    fun fillTasksSpeedUpAgainOnceTheTailIsLow() {
        simulate(4) { 300 }
        simulate(12) { 30 }

        assertEquals(setOf(100), shares.values.toSet())
    }

    @Test
    fun sharesAreStableUnderSteadyLoad() {
        simulate(20) { share -> 60 + share / 2L }
        changes = 0
        simulate(20) { share -> 60 + share / 2L }

        assertTrue(changes <= 8, "$changes changes in 20 s of steady load")
    }
}
