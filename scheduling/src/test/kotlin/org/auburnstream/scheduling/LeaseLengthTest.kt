package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards tasks against long waits for a dark worker, and lasting tasks against a dark control group. */
class LeaseLengthTest {
    private val settings = SchedulingSettings(maxLease = 10.seconds)
    private val lasting = StepDescription(count = 3, demand = Resources(500, 50), lasting = true, maxPerWorker = 1)
    private val brief = StepDescription(count = 1, demand = Resources(400, 50), estimateMs = 1_500)

    @Test
    fun aLeaseThatAWorkerGetsForOtherRunsOutlastsWhatALastingTaskCanBear() {
        for (maxLease in listOf(4.seconds, 6.seconds, 10.seconds, 30.seconds)) {
            repeat(10) { seed ->
                val fleet = harshFleet(seed, SchedulingSettings(maxLease = maxLease))
                val longest = minOf(maxLease, 6.seconds).inWholeMilliseconds
                // A restarted worker may have a lease that a late order granted.
                repeat(3) { number ->
                    fleet.at((9_000 + number * 13_000).milliseconds) {
                        fleet.restart(fleet.workers.values.elementAt(number), after = 300.milliseconds)
                    }
                }
                val granted = ArrayList<Long>()
                fleet.mutate = { action ->
                    val (worker, untilMs) = when (action) {
                        is Action.Look -> action.worker to action.untilMs
                        is Action.Start -> action.worker to action.untilMs
                        else -> null to null
                    }
                    val clockMs = fleet.workers.values.find { it.profile.incarnation == worker?.incarnation }?.clockMs
                    if (untilMs != null && clockMs != null) granted.add(untilMs - clockMs)
                    listOf(action)
                }
                fleet.run(80.seconds)

                assertTrue(granted.size > 200, "seed $seed: ${granted.size} leases")
                assertTrue(granted.max() <= longest, "$maxLease, seed $seed: a lease of ${granted.max()} ms")
            }
        }
    }

    @Test
    fun deploymentsWithShortLeasesDecideDifferently() {
        assertEquals(6.seconds, SchedulingSettings().lease)
        assertEquals(4.seconds, SchedulingSettings(maxLease = 4.seconds).lease)
        assertEquals(SchedulingSettings().predecessorTime, settings.predecessorTime)
    }

    @Test
    fun aLeaseOrAnElectionThatALastingTaskCannotBearIsAccepted() {
        for (seconds in 1..60) SchedulingSettings(maxLease = seconds.seconds)
        val problem = assertFailsWith<IllegalArgumentException> {
            SchedulingSettings(maxLease = 10.seconds, lease = 8.seconds)
        }
        assertTrue("maxDownTime, 9s; shorten lease, 8s" in problem.message.orEmpty(), problem.message)
        // The time for which later leaders wait stays that of the shorter lease.
        assertFailsWith<IllegalArgumentException> { settings.copy(lease = 8.seconds) }
        assertFailsWith<IllegalArgumentException> { SchedulingSettings(electionTime = 2.seconds) }
        assertFailsWith<IllegalArgumentException> { SchedulingSettings(maxLease = 4.seconds, lease = 5.seconds) }
    }

    @Test
    fun aBriefTaskOfADarkWorkerWaitsForTheLongestLease() {
        repeat(20) { seed ->
            val fleet = VirtualFleet.withWorkers(2, seed, settings)
            // The leader assumes that an earlier one granted a lease just before it.
            fleet.run(5.seconds)
            fleet.submit("job", brief)
            val task = TaskId(StepId(JobId("job"), 0, 0), 0)
            fleet.runUntilStarted(task, 1.seconds)
            fleet.run((seed * 10).milliseconds)
            val worker = fleet.workers.values.single { it.runs(task) }
            worker.canSend = false
            worker.isReachable = false
            fleet.run(8_500.milliseconds)

            assertEquals(JobPhase.COMPLETE, fleet.phase("job"), "seed $seed")
            assertEquals(emptyList(), fleet.violations)
        }
    }

    @Test
    fun lastingTasksEndBecauseTheGroupIsDarkForFourSeconds() {
        repeat(20) { seed ->
            val fleet = VirtualFleet.withWorkers(3, seed, settings)
            fleet.submit("job", lasting)
            fleet.run(4.seconds)
            fleet.submit("brief", brief)
            fleet.run(2.seconds + (seed * 97).milliseconds)
            val starts = fleet.workers.values.sumOf { it.starts }
            fleet.loseLeader()
            fleet.at(4.seconds) { fleet.changeLeader() }
            fleet.run(15.seconds)

            assertEquals(starts, fleet.workers.values.sumOf { it.starts }, "seed $seed")
        }
    }

    @Test
    fun aTaskRunsTwiceWhenWorkersGrantMoreThanTheLeader() {
        repeat(40) { seed ->
            val fleet = harshFleet(seed)
            fleet.run(80.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    /** A lease that ends on another clock than the leader believes, as a coordinator that mixes up clocks grants. */
    @Test
    fun aLeaseThatIsLongerThanTheLeaderBelievesIsNotNoticed() {
        val violations = (0 until 10).flatMap { seed ->
            val fleet = harshFleet(seed)
            fleet.mutate = { action ->
                val until = (action as? Action.Look)?.untilMs
                listOf(if (until == null) action else action.copy(untilMs = until + 3_000))
            }
            fleet.run(80.seconds)
            fleet.violations
        }

        assertTrue(violations.any { it.invariant == Invariant.TWICE })
    }

    private fun harshFleet(seed: Int, settings: SchedulingSettings = this.settings): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(8, seed, settings)
        val random = Random(seed)
        fleet.workers.values.forEach { it.clockRate = random.nextDouble(0.98, 1.0) }
        fleet.lateOrderShare = if (seed % 2 == 0) 0.1 else 0.0
        fleet.workOf = { _, step -> if (random.nextInt(30) == 0) step.estimateMs * 7 else step.estimateMs }
        fleet.submit("lasting", lasting)
        repeat(60) { number ->
            fleet.at((number * 700).milliseconds) { fleet.submit("brief-$number", brief.copy(count = 6)) }
        }
        repeat(35) { number ->
            fleet.at((4_000 + number * 1_000).milliseconds) {
                val worker = fleet.workers.values.random(random)
                if (random.nextBoolean()) worker.isReachable = false
                worker.canSend = false
                fleet.at(random.nextLong(500, 14_000).milliseconds) {
                    worker.isReachable = true
                    worker.canSend = true
                }
            }
        }
        repeat(6) { number ->
            fleet.at((8_000 + number * 6_000 + random.nextLong(3_000)).milliseconds) {
                fleet.loseLeader()
                fleet.at(random.nextLong(600, 3_000).milliseconds) { fleet.changeLeader() }
            }
        }
        return fleet
    }
}
