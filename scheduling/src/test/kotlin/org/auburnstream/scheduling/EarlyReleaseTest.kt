package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against runs that are released before their lease has expired or while their start order is in flight.
 *
 * The task then starts a second time while its first run is still in progress.
 */
class EarlyReleaseTest {
    private val step = StepDescription(count = 3, demand = Resources(1_000, 100), estimateMs = 30_000, maxPerWorker = 1)

    @Test
    fun aRunIsReleasedWithinItsLeaseWhenItsWorkerFallsSilentAtItsFirstStart() {
        repeat(40) { seed ->
            val fleet = VirtualFleet.withWorkers(6, seed)
            // Idle workers that report are not queried.
            fleet.run((seed * 700).milliseconds)
            fleet.submit("job", step)
            while (fleet.workers.values.none { it.starts > 0 }) fleet.run(1.milliseconds)
            fleet.workers.values.first { it.starts > 0 }.isReachable = false
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    @Test
    fun aRunIsReleasedBeforeItsLateStartWhenItsWorkerIsCutOffMeanwhile() {
        repeat(40) { seed ->
            val fleet = VirtualFleet.withWorkers(6, seed)
            fleet.run((seed * 700).milliseconds)
            fleet.lateOrderShare = 1.0
            fleet.submit("job", step)
            // The job and its claims are committed one after the other.
            fleet.run(fleet.commitTime * 2)
            fleet.lateOrderShare = 0.0
            fleet.workers.values.forEach { it.isReachable = false }
            // Late orders arrive 2 to 9 s after they were sent, and grant a lease of 6 s.
            fleet.at(1_900.milliseconds) { fleet.workers.values.forEach { it.isReachable = true } }
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    @Test
    fun aRunIsReleasedWithinItsLeaseWhenManyWorkersAreCutOffOnALargeFleet() {
        repeat(40) { seed ->
            val fleet = VirtualFleet.withWorkers(30, seed)
            fleet.workers.values.forEach { it.clockRate = fleet.random.nextDouble(0.98, 1.0) }
            fleet.lateOrderShare = 0.2
            repeat(12) { number ->
                fleet.at((8_000 + number * 1_500).milliseconds) {
                    fleet.submit("job-$number", step.copy(count = 2 + number, estimateMs = 2_000))
                }
            }
            repeat(60) { number ->
                fleet.at((8_000 + number * 300 + seed * 7).milliseconds) { disconnect(fleet, 1_000L + 37L * number) }
            }
            fleet.run(90.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    @Test
    fun aRunIsReleasedThoughItsEndExceedsTheRowLimitOfAStatusAnswer() {
        val fleet = VirtualFleet(seed = 1)
        fleet.start()
        fleet.addWorker("big", cpu = 2_000_000)
        fleet.run(300.milliseconds)
        fleet.submit("job", StepDescription(count = 800, demand = Resources(1_000, 10), estimateMs = 2_000))
        fleet.run(1_500.milliseconds)
        val big = fleet.workers.values.single()
        big.canSend = false
        fleet.run(3.seconds)
        big.canSend = true
        fleet.run(30.seconds)

        assertEquals(emptyList(), fleet.violations)
        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
    }

    private fun disconnect(fleet: VirtualFleet, forMs: Long) {
        val worker = fleet.workers.values.random(fleet.random)
        val loseOrders = fleet.random.nextBoolean()
        if (loseOrders) worker.isReachable = false else worker.canSend = false
        fleet.at(forMs.milliseconds) {
            worker.isReachable = true
            worker.canSend = true
        }
    }
}
