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

/** Slots and connections of targets while daemons die, freeze, are cut off and return under full load. */
class CreditHandOverTest {
    @Test
    fun sumNeverExceedsSlotsAndSharesOfTheDeadAreLent() {
        for (seed in 1..40) {
            val simulation = RoutingSimulation(seed, targetCount = 2, runTime = { it.nextInt(50, 900).milliseconds })
            val lost = simulation.daemons.shuffled(simulation.random).take(2)
            simulation.saturate(6.seconds)
            assertSlotsUsed(simulation, 8, "seed $seed: with all daemons")

            lost[0].kill()
            lost[1].freeze()
            simulation.saturate(1.seconds)
            lost[1].thaw()
            lost[1].kill()
            simulation.saturate(12.seconds)
            assertSlotsUsed(simulation, 8, "seed $seed: after two daemons died")

            lost.forEach { it.restart() }
            simulation.saturate(12.seconds)
            assertSlotsUsed(simulation, 8, "seed $seed: after they returned")
            for (daemon in lost) {
                assertTrue(simulation.targets.any { daemon.open(it) > 0 }, "seed $seed: ${daemon.id} did not return")
            }

            lost[0].cutOff = true
            simulation.saturate(6.seconds)
            lost[0].cutOff = false
            simulation.saturate(6.seconds)
            simulation.targets.forEach { assertWithinLimits(simulation, it) }
        }
    }

    @Test
    fun sumNeverExceedsSlotsWhenADaemonReturnsFromALongCut() {
        for (seed in 1..40) {
            val simulation = RoutingSimulation(seed, targetCount = 2, runTime = { it.nextInt(50, 900).milliseconds })
            val cut = simulation.daemons.random(simulation.random)
            simulation.saturate(6.seconds)
            repeat(2) {
                cut.cutOff = true
                simulation.saturate(12.seconds)
                cut.cutOff = false
                simulation.saturate(4.seconds)
            }
            simulation.targets.forEach { assertWithinLimits(simulation, it) }
        }
    }

    private fun assertWithinLimits(simulation: RoutingSimulation, target: SimulatedTarget) {
        assertTrue(
            target.mostRunning <= target.slots,
            "seed ${simulation.seed}: ${target.vm} ran ${target.mostRunning}",
        )
        assertTrue(simulation.mostConnections <= 64)
        assertEquals(emptyList(), simulation.oracle.faults.take(5))
    }

    private fun assertSlotsUsed(simulation: RoutingSimulation, slots: Int, phase: String) {
        val most = IntArray(simulation.targets.size)
        repeat(40) {
            simulation.saturate(25.milliseconds)
            simulation.targets.forEachIndexed { index, target -> most[index] = maxOf(most[index], target.inUse) }
        }
        assertEquals(List(most.size) { slots }, most.toList(), phase)
    }

    /** Offers more than the targets can do, evenly at all daemons. */
    private fun RoutingSimulation.saturate(length: Duration) {
        val end = events.now + length
        while (events.now < end) {
            for (daemon in daemons.filter { it.up }) {
                arrive(daemon, services.random(random), Urgency.NORMAL, deadline = 4.seconds, idempotent = false)
            }
            run(25.milliseconds)
        }
    }
}
