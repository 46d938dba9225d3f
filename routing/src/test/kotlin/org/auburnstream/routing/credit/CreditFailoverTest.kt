package org.auburnstream.routing.credit

import org.auburnstream.model.Urgency
import org.auburnstream.routing.RoutingSimulation
import org.auburnstream.routing.SimulatedTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the slot and connection limits of targets under full load while daemons fail, freeze, are partitioned and
 * return.
 *
 * Guards against two daemons that use the same slot after credits moved from one to the other.
 */
class CreditFailoverTest {
    @Test
    fun slotsAreNotExceededAndSharesOfFailedDaemonsAreReassigned() {
        for (seed in 1..40) {
            val simulation = RoutingSimulation(seed, targetCount = 2, runTime = { it.nextInt(50, 900).milliseconds })
            val failed = simulation.daemons.shuffled(simulation.random).take(2)
            simulation.saturate(6.seconds)
            assertPeakSlotsUsed(simulation, 8, "seed $seed: with all daemons")

            failed[0].kill()
            failed[1].freeze()
            simulation.saturate(1.seconds)
            failed[1].thaw()
            failed[1].kill()
            simulation.saturate(12.seconds)
            assertPeakSlotsUsed(simulation, 8, "seed $seed: after two daemons failed")

            failed.forEach { it.restart() }
            simulation.saturate(12.seconds)
            assertPeakSlotsUsed(simulation, 8, "seed $seed: after they returned")
            for (daemon in failed) {
                val sends = simulation.targets.any { daemon.openExchanges(it) > 0 }
                assertTrue(sends, "seed $seed: ${daemon.id} did not return")
            }

            failed[0].partitioned = true
            simulation.saturate(6.seconds)
            failed[0].partitioned = false
            simulation.saturate(6.seconds)
            simulation.targets.forEach { assertWithinLimits(simulation, it) }
        }
    }

    @Test
    fun slotsAreNotExceededAfterALongPartitionHeals() {
        for (seed in 1..40) {
            val simulation = RoutingSimulation(seed, targetCount = 2, runTime = { it.nextInt(50, 900).milliseconds })
            val isolated = simulation.daemons.random(simulation.random)
            simulation.saturate(6.seconds)
            repeat(2) {
                isolated.partitioned = true
                simulation.saturate(12.seconds)
                isolated.partitioned = false
                simulation.saturate(4.seconds)
            }
            simulation.targets.forEach { assertWithinLimits(simulation, it) }
        }
    }

    private fun assertWithinLimits(simulation: RoutingSimulation, target: SimulatedTarget) {
        assertTrue(
            target.maxRunning <= target.slots,
            "seed ${simulation.seed}: ${target.vm} ran ${target.maxRunning}",
        )
        assertTrue(simulation.maxConnections <= 64)
        assertEquals(emptyList(), simulation.oracle.faults.take(5))
    }

    private fun assertPeakSlotsUsed(simulation: RoutingSimulation, slots: Int, phase: String) {
        val peaks = IntArray(simulation.targets.size)
        repeat(40) {
            simulation.saturate(25.milliseconds)
            simulation.targets.forEachIndexed { index, target -> peaks[index] = maxOf(peaks[index], target.inUse) }
        }
        assertEquals(List(peaks.size) { slots }, peaks.toList(), phase)
    }

    /** Submits more requests than the targets can run, evenly to all running daemons. */
    private fun RoutingSimulation.saturate(length: Duration) {
        val end = events.now + length
        while (events.now < end) {
            for (daemon in daemons.filter { it.up }) {
                submitRequest(daemon, services.random(random), Urgency.NORMAL, deadline = 4.seconds, idempotent = false)
            }
            run(25.milliseconds)
        }
    }
}
