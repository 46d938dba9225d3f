package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.math.abs
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests copies of slow runs under jobs of thirteen tasks, of which three in a hundred take seven times as long.
 *
 * The duration is drawn anew for each run, unless a test states that it belongs to the task.
 */
class CopiesTest {
    private val queue = VirtualFleet.QUEUE.copy(stretch = 1.5, objectiveMs = 1_200)
    private val plain = StepDescription(count = 13, demand = Resources(1_000, 100), estimateMs = 540, maxPerWorker = 3)
    private val step = plain.copy(allowsCopies = true)

    private class Outcome(val inTime: Int, val wastedMs: Long, val copies: Int, val won: Int)

    private fun RunId.draw(): Double = Random(toString().hashCode()).also { it.nextInt() }.nextDouble()

    private fun workOf(run: RunId, estimateMs: Long): Long {
        val spread = (0.7 + 0.6 * Random(abs(run.hashCode()) + 1).nextDouble()) * estimateMs
        return (if (run.draw() < 0.03) spread * 7 else spread).toLong()
    }

    private fun play(
        seed: Int,
        step: StepDescription,
        belongsToTask: Boolean = false,
        jobs: Int = 60,
        interval: Int = 400,
        estimateOf: (Int) -> Long = { step.estimateMs },
        faults: VirtualFleet.() -> Unit = {},
    ): Pair<VirtualFleet, Outcome> {
        val fleet = VirtualFleet.withWorkers(workers = 12, seed = seed)
        fleet.workOfRun = { run, own -> workOf(if (belongsToTask) run.copy(number = 1) else run, own.estimateMs) }
        fleet.faults()
        repeat(jobs) { number ->
            val own = step.copy(estimateMs = estimateOf(number))
            fleet.at((number * interval).milliseconds) { fleet.submit("s$seed-$number", own, queue = queue) }
        }
        fleet.run((jobs * interval).milliseconds + 30.seconds)
        val inTime = fleet.state.jobs.values.count {
            it.phase == JobPhase.COMPLETE && it.endedMs - it.acceptedMs <= queue.objectiveMs + 540 * queue.stretch
        }
        val counts = fleet.eventCounts
        return fleet to Outcome(inTime, fleet.wastedMs, counts["run_copied"] ?: 0, counts["copy_won"] ?: 0)
    }

    @Test
    fun copiesKeepJobsInTime() {
        val without = (0 until 6).map { play(it, plain).second }
        val with = (0 until 6).map { seed ->
            val (fleet, outcome) = play(seed, step)
            fleet.checkFinalState()
            assertEquals(emptyList(), fleet.violations, "seed $seed")
            outcome
        }
        val seen = "in time ${without.map { it.inTime }} and ${with.map { it.inTime }} of 60, copies " +
            "${with.map { it.copies }}, won ${with.map { it.won }}, wasted ms ${with.map { it.wastedMs }}"

        assertTrue(with.sumOf { it.inTime } - without.sumOf { it.inTime } > 0, seen)
    }

    @Test
    fun copiesStopWhereTheDurationBelongsToTheTask() {
        val outcomes = (0 until 6).map { play(it, step, belongsToTask = true).second }

        assertTrue(outcomes.all { it.copies <= 8 }, "${outcomes.map { it.copies }}")
    }

    @Test
    fun withoutSlowRunsTheFlagChangesNoDecision() {
        for (interval in listOf(400, 90)) {
            val starts = listOf(plain, step).map { own ->
                val started = ArrayList<String>()
                play(seed = 1, own, interval = interval) {
                    workOf = { _, step -> step.estimateMs }
                    workOfRun = { _, step -> step.estimateMs }
                    mutate = { action ->
                        if (action is Action.Start) started.add("${action.run} ${action.worker.incarnation} $now")
                        listOf(action)
                    }
                }
                started
            }
            assertEquals(60 * 13, starts[0].size)
            assertEquals(starts[0], starts[1])
        }
    }

    @Test
    fun wrongEstimatesCauseFewLostCopies() {
        val outcomes = (0 until 4).map { seed ->
            // The standard deviation of the error is a factor of e to the power of 0.9, as of some callers.
            val error = { number: Int -> exp(0.9 * Random(seed * 100 + number).asJavaRandom().nextGaussian()) }
            play(seed, step, estimateOf = { (540 / error(it)).toLong() }) {
                workOfRun = { run, _ -> workOf(run, estimateMs = 540) }
            }.second
        }
        val seen = "in time ${outcomes.map { it.inTime }}, copies ${outcomes.map { it.copies }}, " +
            "won ${outcomes.map { it.won }}"

        assertTrue(outcomes.sumOf { it.won } * 2 >= outcomes.sumOf { it.copies }, seen)
    }

    @Test
    fun aFullPoolGetsFewCopiesAndNoLaterJobs() {
        val without = (0 until 4).map { play(it, plain, interval = 160).second }
        val with = (0 until 4).map { play(it, step, interval = 160).second }
        val seen = "in time ${without.map {
            it.inTime
        }} and ${with.map { it.inTime }}, copies ${with.map { it.copies }}"

        assertTrue(with.sumOf { it.inTime } >= without.sumOf { it.inTime }, seen)
    }

    @Test
    fun faultsViolateNoInvariant() {
        repeat(30) { seed ->
            val (fleet, _) = play(seed, step, jobs = 40) {
                lateOrderShare = if (seed % 3 == 0) 0.02 else 0.0
                lostQueryShare = if (seed % 3 == 1) 0.05 else 0.0
                repeat(4) { at((3_000 + it * 3_700 + seed * 37).milliseconds) { changeLeader() } }
                at((5_000 + seed * 91).milliseconds) { workers.values.first().crash(silent = seed % 2 == 0) }
                at((6_000 + seed * 53).milliseconds) { workers.values.last().fails = true }
                repeat(8) { at((it * 1_700 + 600).milliseconds) { cancel("s$seed-${it * 4}") } }
            }
            fleet.run(30.seconds)
            fleet.checkFinalState()
            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    private fun VirtualFleet.cancel(id: String) {
        call { Event.CancelRequested(it, JobId(id)) }
    }
}
