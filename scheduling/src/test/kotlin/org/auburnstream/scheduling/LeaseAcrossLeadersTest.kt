package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a later leader that releases a run by a record of an earlier one while its lease is in force. */
class LeaseAcrossLeadersTest {
    private val lasting = StepDescription(count = 6, demand = Resources(500, 50), lasting = true, maxPerWorker = 2)
    private val brief = StepDescription(count = 3, demand = Resources(400, 50), estimateMs = 2_500)

    @Test
    fun aTaskRunsTwiceWhenLeadersChangeWhileWorkersAreCutOff() {
        repeat(60) { seed ->
            val fleet = harshFleet(seed)
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    /** Found among 800 seeds; a worker that comes back after its lease has expired lists the end of the task. */
    @Test
    fun aTaskStartsAfterItIsDoneWhenLeadersChangeWhileOrdersAreLate() {
        val fleet = harshFleet(seed = 374)
        fleet.run(90.seconds)

        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun theRunsOfAWorkerThatAnswersANewLeaderEndBecauseItsLeaseIsNotRenewed() {
        for (commitMs in listOf(10L, 150L, 400L)) {
            repeat(40) { seed ->
                val fleet = VirtualFleet.withWorkers(3, seed)
                fleet.submit("job", lasting.copy(count = 3))
                fleet.run(8.seconds + (seed * 97).milliseconds)
                fleet.commitTime = commitMs.milliseconds
                fleet.workers.values.forEach { it.canSend = false }
                fleet.at(1.seconds) { fleet.loseLeader() }
                fleet.at(2.seconds) {
                    fleet.workers.values.forEach { it.canSend = true }
                    fleet.changeLeader()
                }
                val starts = fleet.workers.values.sumOf { it.starts }
                fleet.run(20.seconds)

                assertEquals(starts, fleet.workers.values.sumOf { it.starts }, "commits of $commitMs ms, seed $seed")
            }
        }
    }

    @Test
    fun theRunsOfAWorkerEndBecauseItsAnswersAreLostForHalfALease() {
        repeat(40) { seed ->
            val fleet = VirtualFleet.withWorkers(3, seed)
            fleet.submit("job", lasting.copy(count = 3))
            fleet.run(8.seconds + (seed * 97).milliseconds)
            fleet.workers.values.forEach { it.canSend = false }
            fleet.at(3_500.milliseconds) { fleet.workers.values.forEach { it.canSend = true } }
            val starts = fleet.workers.values.sumOf { it.starts }
            fleet.run(20.seconds)

            assertEquals(starts, fleet.workers.values.sumOf { it.starts }, "seed $seed")
        }
    }

    /** A leader assumes that a late order gave a restarted worker the worker's longest lease. */
    @Test
    fun aTaskRunsTwiceBecauseAStartGrantsTheLeaseThatALateOrderMayHaveGranted() {
        for (isCutBeforeTheNextLeader in listOf(true, false)) {
            repeat(100) { seed ->
                val fleet = VirtualFleet.withWorkers(4, seed, SchedulingSettings(maxLease = 10.seconds))
                fleet.restart(fleet.workers.getValue(WorkerId("w0")), after = 500.milliseconds)
                fleet.run(18.seconds + (seed * 40).milliseconds)
                fleet.changeLeader()
                fleet.run(100.milliseconds)
                fleet.submit("lasting", lasting.copy(count = 3, maxPerWorker = 1))
                fleet.run(200.milliseconds)
                fleet.loseLeader()
                if (isCutBeforeTheNextLeader) cut(fleet.workers.getValue(WorkerId("w0")))
                fleet.run(1.seconds)
                fleet.changeLeader()
                fleet.run(20.milliseconds)
                cut(fleet.workers.getValue(WorkerId("w0")))
                fleet.run(40.seconds)

                assertEquals(emptyList(), fleet.violations, "seed $seed")
            }
        }
    }

    @Test
    fun aRecordedTimeThatIsTooShortIsNoticed() {
        val violations = (0 until 10).flatMap { seed ->
            val fleet = harshFleet(seed)
            fleet.mutate = { action ->
                val batch = (action as? Action.Commit)?.batch
                val records = batch?.records?.map { if (it is Record.LeaseClosed) it.copy(leftMs = 0) else it }
                listOf(if (records == null) action else Action.Commit(batch.copy(records = records)))
            }
            fleet.run(90.seconds)
            fleet.violations
        }

        assertTrue(violations.any { it.invariant == Invariant.TWICE })
    }

    private fun harshFleet(seed: Int): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(10, seed)
        val random = Random(seed)
        fleet.workers.values.forEach { it.clockRate = random.nextDouble(0.98, 1.0) }
        fleet.lateOrderShare = if (seed % 2 == 0) 0.1 else 0.0
        fleet.lostQueryShare = if (seed % 3 == 0) 0.1 else 0.0
        fleet.submit("lasting", lasting)
        repeat(50) { number -> fleet.at((number * 900).milliseconds) { fleet.submit("brief-$number", brief) } }
        repeat(40) { number -> fleet.at((4_000 + number * 1_000).milliseconds) { cutOff(fleet, random) } }
        var at = 6_000L
        while (at < 45_000) {
            val isRestored = random.nextBoolean()
            fleet.at(at.milliseconds) { replaceLeader(fleet, random, isRestored) }
            at += random.nextLong(2_000, 9_000)
        }
        return fleet
    }

    /** The next leader has applied the records as they came, or has just read a snapshot of them. */
    private fun replaceLeader(fleet: VirtualFleet, random: Random, isRestored: Boolean) {
        fleet.loseLeader()
        fleet.at(random.nextLong(600, 1_500).milliseconds) {
            if (isRestored) fleet.state.restore(fleet.state.image(), fleet.now)
            fleet.changeLeader()
        }
    }

    private fun cut(worker: VirtualWorker) {
        worker.isReachable = false
        worker.canSend = false
    }

    private fun cutOff(fleet: VirtualFleet, random: Random) {
        val worker = fleet.workers.values.random(random)
        // A worker may receive orders whose answers are lost.
        if (random.nextBoolean()) worker.isReachable = false
        worker.canSend = false
        fleet.at(random.nextLong(500, 14_000).milliseconds) {
            worker.isReachable = true
            worker.canSend = true
        }
    }
}
