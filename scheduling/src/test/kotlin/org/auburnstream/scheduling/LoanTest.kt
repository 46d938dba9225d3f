package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.math.sqrt
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests the loans of VMs between pools when queues in turn demand several times the capacity of their pool.
 *
 * Guards against VMs that are not lent in time, are not returned, or are moved too often.
 */
class LoanTest {
    private val plates = VirtualFleet.QUEUE.copy(name = QueueName("plates"), service = ServiceId("plates"))
    private val proofs = VirtualFleet.QUEUE.copy(name = QueueName("proofs"), service = ServiceId("proofs"))
    private val task = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun fleet(seed: Int, plateVms: Int, proofVms: Int, spares: Int = 0): VirtualFleet {
        val fleet = VirtualFleet(seed)
        fleet.start()
        val services = listOf(plates, proofs).map { ServiceTerms(it.service) } +
            ServiceTerms(VirtualFleet.SPARE, spare = true)
        val catalog = Catalog(version = 1, queues = listOf(plates, proofs), services)
        fleet.call { Event.CatalogSubmitted(it, catalog, document = "{}") }
        repeat(plateVms) { fleet.addWorker("plate$it", plates.service) }
        repeat(proofVms) { fleet.addWorker("proof$it", proofs.service) }
        repeat(spares) { fleet.spares.add(VmId("spare$it")) }
        // The coordinator sends no moves until orders of an earlier leader cannot arrive any more.
        fleet.run(4.seconds)
        return fleet
    }

    /** Simulates that the load moves to the other queue while a long task still runs on each VM of the first one. */
    private fun simulateQueueSwitch(seed: Int, long: StepDescription): VirtualFleet {
        val fleet = fleet(seed, plateVms = 8, proofVms = 2)
        // Each VM in turn gets one long task and three short ones.
        repeat(8) { number ->
            fleet.submit("long$number", long, queue = plates)
            fleet.submit("short$number", task.copy(count = 3), queue = plates)
            fleet.run(100.milliseconds)
        }
        fleet.run(1_200.milliseconds)
        repeat(40) { number -> fleet.submit("proof$number", task.copy(count = 2), queue = proofs) }
        fleet.run(20.seconds)
        fleet.checkFinalState()
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        return fleet
    }

    @Test
    fun resumableTasksAreMovedToFreeVmsForAnotherQueue() {
        repeat(10) { seed ->
            val fleet = simulateQueueSwitch(seed, task.copy(estimateMs = 8_000, savesProgress = true))
            val last = fleet.lastStart("proof", 40)

            // Without stops every VM of plates stays occupied for 8 s, and the proofs run on two VMs, 8 at a time.
            assertTrue(last < 5.seconds, "seed $seed: the last proof started after $last")
        }
    }

    @Test
    fun tasksThatDoNotSaveTheirProgressAreNotStopped() {
        val fleet = simulateQueueSwitch(seed = 1, long = task.copy(estimateMs = 8_000))

        assertEquals(8 + 24 + 80, fleet.workers.values.sumOf { it.starts })
    }

    @Test
    fun donorVmsDrainWhileTheirQueueStaysBusy() {
        repeat(10) { seed ->
            val fleet = fleet(seed, plateVms = 6, proofVms = 2)
            // A steady load of a sixth of the pool, with tasks that end at different times.
            repeat(80) { number ->
                fleet.at((number * 100).milliseconds) { fleet.submit("plate$number", task, queue = plates) }
                if (number == 0) repeat(6) { fleet.submit("first$it", task.copy(count = 4), queue = plates) }
            }
            fleet.run(1_500.milliseconds)
            repeat(30) { number -> fleet.submit("proof$number", task.copy(count = 2), queue = proofs) }
            fleet.run(20.seconds)
            val last = fleet.lastStart("proof", 30)

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(last < 5.seconds, "seed $seed: the last proof started after $last")
        }
    }

    @Test
    fun aPoolGrowsBeforeSteeplyRisingDemandFillsIt() {
        val waits = ArrayList<Duration>()
        repeat(10) { seed ->
            val fleet = fleet(seed, plateVms = 2, proofVms = 4, spares = 8)
            val offeredAt = HashMap<String, MonotonicTime>()
            // The demand rises from zero to 32 processors within four seconds, twice the capacity of the pool.
            repeat(64) { number ->
                val after = 4_000 * sqrt(number / 64.0)
                fleet.at(after.toInt().milliseconds) {
                    offeredAt["proof$number"] = fleet.now
                    fleet.submit("proof$number", task, queue = proofs)
                }
            }
            fleet.run(20.seconds)
            assertEquals(emptyList(), fleet.violations, "seed $seed")
            offeredAt.forEach { (name, at) -> waits.add(fleet.startedAt.getValue(taskOf(name)) - at) }
        }

        val late = waits.count { it > 300.milliseconds }
        assertTrue(late <= waits.size / 20, "$late of ${waits.size} tasks waited for longer than 300 ms")
    }

    @Test
    fun aBorrowedVmIsReturnedOnce() {
        val fleet = fleet(seed = 1, plateVms = 2, proofVms = 2, spares = 2)
        repeat(16) { number -> fleet.submit("proof$number", task, queue = proofs) }
        fleet.run(30.seconds)

        assertEquals(2, fleet.spares.size)
        assertTrue(fleet.moves <= 4, "${fleet.moves} moves")
    }

    @Test
    fun aRefusedMoveIsNotResentWhileTheRefusalIsBeingCommitted() {
        repeat(10) { seed ->
            val fleet = fleet(seed, plateVms = 2, proofVms = 2, spares = 1)
            val spare = VmId("spare0")
            fleet.leaving.add(spare)
            // Commits take longer than the time after which an order is resent.
            fleet.commitTime = 2_500.milliseconds
            fleet.mutate = { decided ->
                val isRefusal = decided is Action.Note && decided.event == "move_answered" &&
                    "answer" to VmOrderResult.BUSY in decided.fields
                if (isRefusal) fleet.leaving.clear()
                listOf(decided)
            }
            repeat(60) { number ->
                fleet.at((number * 250).milliseconds) {
                    fleet.submit("proof$number", task.copy(count = 2), queue = proofs)
                }
            }
            fleet.run(15.seconds)
            fleet.commitTime = 10.milliseconds
            fleet.run(60.seconds)

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertEquals(setOf(spare), fleet.spares, "seed $seed: the VM was lent unrecorded and is never returned")
        }
    }

    private fun VirtualFleet.lastStart(name: String, jobs: Int): Duration {
        val all = (0 until jobs).flatMap { job -> (0..1).map { startedAt.getValue(taskOf("$name$job", it)) } }
        return all.max() - all.min()
    }

    private fun taskOf(job: String, index: Int = 0) = TaskId(StepId(JobId(job), occurrence = 0, step = 0), index)
}
