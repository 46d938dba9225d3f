package org.auburnstream.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs simulated fleets with random faults and guards against planned stops that interrupt requests, requests that are
 * sent to a draining VM, and violated invariants of the fleet state.
 */
class FleetScheduleTest {
    @Test
    fun `without faults a wave maintains every VM`() {
        for (seed in 0 until 20) {
            val run = FleetSimulation(seed, Faults.None).run(steps = 1500)
            val wave = run.fleet.state.waves.values.single()
            assertEquals(WaveStatus.DONE, wave.status, "seed $seed: pending ${wave.pending}")
            assertEquals(14, wave.done.size)
            assertEquals(0, run.interruptedRequests + run.lateRequests)
        }
    }

    @Test
    fun `under faults no schedule violates an invariant or interrupts a request`() {
        var maintained = 0
        for (seed in 0 until SCHEDULES) {
            val run = FleetSimulation(seed, Faults()).run(steps = 250)
            assertEquals(0, run.interruptedRequests, "requests interrupted by a planned stop, seed $seed")
            assertEquals(0, run.lateRequests, "requests sent to a draining VM after the lease expired, seed $seed")
            maintained += run.fleet.state.waves.values.sumOf { it.done.size }
        }
        assertTrue(maintained > SCHEDULES, "only $maintained VMs maintained in $SCHEDULES schedules")
    }

    private companion object {
        const val SCHEDULES = 1200
    }
}
