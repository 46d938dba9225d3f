package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Serving tasks whose tail grows with what fills beside them. */
class PaceControlTest {
    private val life = WorkerLife(WorkerId("w"), 1)
    private val control = PaceControl(life)
    private val serving = StepDescription(1, Resources(2_000, 100), lasting = true, tailTargetMs = 100)
    private val filling = StepDescription(1, Resources(4_000, 100), fillsUnused = true)
    private val server = run("server")
    private val fills = listOf(run("fill-0"), run("fill-1"))
    private val steps = fills.associateWith { filling } + (server to serving)
    private val shares = fills.associateWith { 100 }.toMutableMap()
    private var now = MonotonicTime.Zero
    private var changes = 0

    private fun run(job: String) = RunId(TaskId(StepId(JobId(job), 0, 0), 0), 1)

    /** Looks each half second for [seconds]; [tail] is what the serving task shows at a total share of its fills. */
    private fun play(seconds: Int, tail: (share: Int) -> Long): List<Long> = List(seconds * 2) {
        now += 500.milliseconds
        val figure = tail(shares.values.sum())
        val rows = fills.map { RunStatus(it, "", percent = 50) } + RunStatus(server, "", percent = 100, figure)
        control.decide(rows, steps, now).forEach { (run, share) ->
            control.applied(run, share)
            shares[run] = share
            changes += 1
        }
        figure
    }

    @Test
    fun aTailOverItsTargetIsBroughtBackWithinTwoSeconds() {
        val tails = play(20) { share -> 60 + share / 2L }

        assertTrue(tails.drop(4).all { it <= 100 }, tails.toString())
        assertTrue(shares.values.sum() > 0, "fills that fit below the target go on")
    }

    @Test
    fun fillsThatDoNoHarmAreNotSlowed() {
        play(20) { 40 }

        assertEquals(0, changes)
        assertEquals(setOf(100), shares.values.toSet())
    }

    @Test
    fun aTailFarOverItsTargetStopsTheFillsAtOnce() {
        play(1) { share -> if (share > 0) 300 else 60 }

        assertEquals(setOf(0), shares.values.toSet())
    }

    @Test
    fun fillsComeBackInStepsOnceTheLoadIsGone() {
        play(4) { 300 }
        play(12) { 30 }

        assertEquals(setOf(100), shares.values.toSet())
    }

    @Test
    fun theShareSettlesBelowTheTarget() {
        play(20) { share -> 60 + share / 2L }
        changes = 0
        play(20) { share -> 60 + share / 2L }

        assertTrue(changes <= 8, "$changes changes in 20 s of steady load")
    }
}
