package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against loans that come too late for the tasks of lost workers, and against loans of the lost VMs. */
class LostWorkersVmTest {
    private val plates = VirtualFleet.QUEUE.copy(name = QueueName("plates"), service = ServiceId("plates"))
    private val proofs = VirtualFleet.QUEUE.copy(name = QueueName("proofs"), service = ServiceId("proofs"))
    private val step = StepDescription(count = 4, demand = Resources(1_000, 100), lasting = true, maxPerWorker = 1)
    private val tasks = List(step.count) { TaskId(StepId(JobId("lasting"), occurrence = 0, step = 0), index = it) }
    private val brief = StepDescription(count = 1, demand = Resources(500, 100), estimateMs = 1_000)

    @Test
    fun aLastingTaskWaitsForAMoveOnlyAfterTheLeaseOfItsLostWorker() = forEachSeed { seed ->
        assertRunsAgain(lastingFleet(seed), seed)
    }

    /** A donor's VM has to drain before it moves. */
    @Test
    fun aLastingTaskWaitsForADrainAndAMoveOnlyAfterTheLeaseOfItsLostWorker() = forEachSeed { seed ->
        val fleet = lastingFleet(seed)
        occupyDonors(fleet)
        assertRunsAgain(fleet, seed)
    }

    @Test
    fun settingsWithWhichAVmComesLaterThanALostTaskMayBeDown() {
        assertFailsWith<IllegalArgumentException> { SchedulingSettings(searchDelay = 6.seconds) }
        assertFailsWith<IllegalArgumentException> { SchedulingSettings(moveTime = 5.seconds) }
    }

    @Test
    fun aLostVmIsLent() = forEachSeed { seed ->
        val fleet = VirtualFleet.withTwoServices(seed, plates, borrowerVms = 2, proofs, DONOR_VMS)
        fleet.submit("brief", brief.copy(count = DONOR_VMS, maxPerWorker = 1, estimateMs = 4_000), queue = proofs)
        fleet.run(1.seconds + (seed * 97).milliseconds)
        val donors = fleet.workers.values.filter { it.profile.service == proofs.service }
        val lost = lose(fleet, donors.drop(seed % 3).take(2))
        val orders = ordersFor(lost, fleet)
        // The runs of the lost workers are released and done elsewhere.
        fleet.run(16.seconds)
        repeat(60) { fleet.submit("plate$it", brief.copy(count = 4), queue = plates) }
        fleet.run(30.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        "seed $seed: ${orders.size} orders for $lost".takeIf { orders.isNotEmpty() }
    }

    /** Returns a fleet in which each VM of a service runs one task of a step, and another service has VMs to lend. */
    private fun lastingFleet(seed: Int): VirtualFleet {
        val fleet = VirtualFleet.withTwoServices(seed, plates, borrowerVms = step.count, proofs, DONOR_VMS)
        fleet.submit("lasting", step, queue = plates)
        return fleet
    }

    /** Keeps each VM of the donor busy with short tasks that have room on the others as well. */
    private fun occupyDonors(fleet: VirtualFleet) {
        for (rack in 0 until DONOR_VMS) {
            val job = brief.copy(dataRack = RackId("r-$rack"))
            repeat(50) { number ->
                val due = (number * 500 + fleet.random.nextInt(500)).milliseconds
                fleet.at(due) { fleet.submit("proof$rack-$number", job, queue = proofs) }
            }
        }
    }

    private fun assertRunsAgain(fleet: VirtualFleet, seed: Int): String? {
        fleet.run(6.seconds + (seed * 97).milliseconds)
        assertTrue(tasks.all(fleet::isRunning), "seed $seed: the tasks do not run yet")
        lose(fleet, fleet.workers.values.filter { worker -> tasks.any(worker::runs) }.take(2))
        val down = fleet.longestDownTime(tasks, duration = 40.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        return "seed $seed: a task was down for $down".takeIf { down > MAX_DOWN_TIME }
    }

    /** Loses the VMs of [workers], for which the platform refuses every order from now on. */
    private fun lose(fleet: VirtualFleet, workers: List<VirtualWorker>): Set<VmId> {
        workers.forEach { it.crash(silent = true) }
        return workers.mapNotNullTo(LinkedHashSet()) { it.profile.vm }.also(fleet.leaving::addAll)
    }

    /** Returns a list to which the orders to move one of [vms] are added from now on. */
    private fun ordersFor(vms: Set<VmId>, fleet: VirtualFleet): List<Action.OrderMove> {
        val orders = ArrayList<Action.OrderMove>()
        fleet.mutate = { action ->
            if (action is Action.OrderMove && action.vm in vms) orders.add(action)
            listOf(action)
        }
        return orders
    }

    private fun forEachSeed(failureOf: (Int) -> String?) {
        val failures = (0 until SEEDS).mapNotNull(failureOf)
        assertEquals(emptyList(), failures, "at most $MAX_DOWN_TIME and no order for a lost VM allowed")
    }

    private companion object {
        const val SEEDS = 40
        const val DONOR_VMS = 8

        /** A lost run may stay unknown for 6 s; from then on its task may wait for 3 s while there is room. */
        val MAX_DOWN_TIME: Duration = 9.seconds
    }
}
