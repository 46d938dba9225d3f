package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests maintenance waves: every VM is maintained once, within the cap and the disruption limits of lasting tasks.
 *
 * Guards against waves that never complete or complete too early, resent orders that maintain a VM twice, and
 * maintenance that makes too many tasks of a step unavailable.
 */
class MaintenanceTest {
    private val lasting =
        StepDescription(count = 4, demand = Resources(1_000, 100), lasting = true, mayMiss = 1, maxPerWorker = 2)

    private fun fleet(seed: Int) = VirtualFleet.withWorkers(2, seed)

    /**
     * Returns a fleet where two VMs run two tasks each of a step with [StepDescription.mayMiss] 1.
     *
     * Two more VMs join before the wave begins.
     */
    private fun fleetWithTwoTasksPerVm(seed: Int): VirtualFleet {
        val fleet = fleet(seed)
        fleet.submit("job", lasting)
        fleet.run(1.seconds)
        repeat(2) { fleet.addWorker("late$it") }
        fleet.run(1.seconds)
        val vms = listOf("w0", "w1", "late0", "late1").map { VmId("vm-$it") }
        fleet.call { Event.WaveSubmitted(it, 7, vms, 30.seconds, cap = 4) }
        return fleet
    }

    @Test
    fun aWaveEvacuatesVmsThatRunTooManyTasksOfOneStep() {
        repeat(20) { seed ->
            val fleet = fleetWithTwoTasksPerVm(seed)
            fleet.run(30.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is late")
        }
    }

    @Test
    fun aWaveCompletesWhenOneOfItsVmsHasLeftThePlatform() {
        val fleet = fleet(seed = 1)
        val vms = listOf(VmId("vm-w0"), VmId("vm-gone"))
        // The VM is leaving when its maintenance is due, and disappears from the list soon after.
        fleet.leaving.add(VmId("vm-gone"))
        fleet.call { Event.WaveSubmitted(it, 7, vms, 20.seconds, cap = 2) }
        fleet.at(6.seconds) { fleet.listsLeavingVms = false }
        fleet.run(20.seconds)

        assertTrue(fleet.state.waves.getValue(7).isComplete)
    }

    @Test
    fun aWaveStaysOpenWhileAListedVmHasNotBeenMaintained() {
        val fleet = fleet(seed = 1)
        fleet.leaving.add(VmId("vm-slow"))
        fleet.call { Event.WaveSubmitted(it, 7, listOf(VmId("vm-slow")), 20.seconds, cap = 1) }
        fleet.run(30.seconds)

        assertEquals(false, fleet.state.waves.getValue(7).isComplete)
    }

    @Test
    fun aVmIsNotTakenDownWhileItExceedsTheDisruptionLimit() {
        val fleet = fleet(seed = 2)
        fleet.submit("job", lasting)
        fleet.run(1.seconds)
        fleet.call { Event.WaveSubmitted(it, 7, listOf(VmId("vm-w0")), 10.seconds, cap = 1) }
        fleet.run(12.seconds)

        assertEquals(emptyList(), fleet.violations)
        assertEquals(4, fleet.workers.values.sumOf { worker -> (0..3).count { worker.runs(task(it)) } })
    }

    @Test
    fun aRefusedOrderIsNotResentWhileTheRefusalIsBeingCommitted() {
        repeat(40) { seed ->
            val fleet = fleet(seed)
            fleet.commitTime = 200.milliseconds
            // A steady stream of jobs keeps a commit in progress when the platform answers.
            repeat(40) { number ->
                fleet.at((number * 100 + seed * 5).milliseconds) {
                    fleet.submit("job$number", StepDescription(1, Resources(1_000, 100), estimateMs = 300))
                }
            }
            val slow = VmId("vm-slow")
            fleet.leaving.add(slow)
            fleet.whenRefused(slow) {
                fleet.at((20 + seed * 5).milliseconds) {
                    fleet.leaving.clear()
                    fleet.addWorker("slow", vm = slow)
                }
            }
            fleet.call { Event.WaveSubmitted(it, 7, listOf(slow, VmId("vm-w0"), VmId("vm-w1")), 20.seconds, cap = 1) }
            fleet.run(40.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is late")
        }
    }

    /** Runs [action] once, when the coordinator learns that the platform refused the maintenance of [vm]. */
    private fun VirtualFleet.whenRefused(vm: VmId, action: () -> Unit) {
        var isDone = false
        mutate = { decided ->
            val isRefusal = decided is Action.Note && decided.event == "upkeep_answered" &&
                decided.fields.containsAll(listOf("vm" to vm, "answer" to VmOrderResult.BUSY))
            if (isRefusal && !isDone) {
                isDone = true
                action()
            }
            listOf(decided)
        }
    }

    @Test
    fun aWorkerRestartBeforeTheMaintenanceDoesNotCompleteIt() {
        repeat(60) { seed ->
            val fleet = VirtualFleet.withWorkers(3, seed)
            fleet.commitTime = 100.milliseconds
            val vms = List(3) { VmId("vm-w$it") }
            fleet.call { Event.WaveSubmitted(it, 7, vms, 20.seconds, cap = 1) }
            // The worker on the next VM restarts between the decision and the order.
            fleet.at((seed * 10).milliseconds) {
                fleet.workers.values.first().crash()
                fleet.addWorker("again", vm = VmId("vm-w0"))
            }
            // In half of the simulations the leader changes after the order was answered.
            if (seed % 2 == 1) fleet.at((700 + seed * 10).milliseconds) { fleet.changeLeader() }
            fleet.run(30.seconds)

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is late")
        }
    }

    /**
     * Returns a fleet where two VMs run one task each of a step with [StepDescription.mayMiss] 1.
     *
     * The platform receives no order for 8 s. A second after the first order for one VM, the worker on the other VM
     * crashes, and its task cannot be placed until a third VM joins.
     */
    private fun fleetWithDelayedMaintenanceOrder(seed: Int): VirtualFleet {
        val fleet = fleet(seed)
        fleet.submit("job", lasting.copy(count = 2, maxPerWorker = 1))
        fleet.run(1.seconds)
        var isUnavailable = true
        fleet.mutate = { if (it is Action.OrderUpkeep && isUnavailable) emptyList() else listOf(it) }
        fleet.call { Event.WaveSubmitted(it, 7, listOf(VmId("vm-w0")), 10.seconds, cap = 1) }
        fleet.at((1_000 + seed * 20).milliseconds) { fleet.workers.values.last().crash() }
        fleet.at(8.seconds) { isUnavailable = false }
        fleet.at(30.seconds) { fleet.addWorker("third") }
        return fleet
    }

    @Test
    fun anOrderIsNotResentWhenItWouldExceedTheDisruptionLimit() {
        repeat(40) { seed ->
            val fleet = fleetWithDelayedMaintenanceOrder(seed)
            if (seed % 2 == 1) fleet.at((2_000 + seed * 50).milliseconds) { fleet.changeLeader() }
            fleet.run(60.seconds)

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is not complete")
        }
    }

    private fun task(index: Int) = TaskId(StepId(JobId("job"), occurrence = 0, step = 0), index)
}
