package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against lost records when the log rejects a batch during a leadership.
 *
 * Without a retry, ends, releases and confirmations in the rejected batch are never recorded, so their jobs, waves and
 * moves never complete.
 */
class RejectedBatchTest {
    private val task = StepDescription(count = 3, demand = Resources(1_000, 100), estimateMs = 500)
    private val lasting = task.copy(count = 1, lasting = true)

    private fun fleet(workers: Int = 2) = VirtualFleet.withWorkers(workers, seed = 1)

    /** Makes the log reject the first batch that contains a record matching [predicate]. */
    private fun VirtualFleet.rejectFirst(predicate: (Record) -> Boolean) {
        rejectsBatch = { batch -> batch.records.any(predicate).also { if (it) rejectsBatch = { false } } }
    }

    @Test
    fun endsOfARejectedBatchAreNeverRecorded() {
        val fleet = fleet()
        fleet.rejectFirst { it is Record.RunEnded }
        fleet.submit("job", task)
        fleet.run(3.seconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
        assertEquals(3, fleet.workers.values.sumOf { it.starts })
    }

    @Test
    fun endsThatTogetherExceedABatchAreNeverRecorded() {
        val fleet = fleet()
        fleet.rejectsBatch = { batch -> batch.records.count { it is Record.RunEnded } > 1 }
        fleet.submit("job", task)
        fleet.run(3.seconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun aTaskNeverRunsIfTheReleaseOfItsRefusedStartWasRejected() {
        val fleet = fleet()
        // The lease of the first start has expired when the order arrives, so the worker refuses it.
        fleet.mutate = { action ->
            if (action is Action.Start) fleet.mutate = { listOf(it) }
            listOf(if (action is Action.Start) action.copy(untilMs = 0) else action)
        }
        fleet.rejectFirst { it is Record.RunReleased }
        fleet.submit("job", task.copy(count = 1))
        fleet.run(3.seconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun runsOfASilentWorkerAreNeverReleasedIfTheBatchWasRejected() {
        val fleet = fleet()
        fleet.submit("job", lasting)
        fleet.run(1.seconds)
        fleet.rejectFirst { it is Record.RunReleased }
        fleet.workers.values.first { it.runs(firstTask("job")) }.isReachable = false
        fleet.run(20.seconds)

        assertEquals(1, fleet.workers.values.count { it.runs(firstTask("job")) })
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun aWaveStallsIfTheBatchOfAConfirmationWasRejected() {
        val fleet = fleet()
        fleet.rejectFirst { it is Record.UpkeepConfirmed }
        fleet.call { Event.WaveSubmitted(it, 7, listOf(VmId("vm-w0"), VmId("vm-w1")), 20.seconds, cap = 1) }
        fleet.run(20.seconds)

        assertTrue(fleet.state.waves.getValue(7).isComplete)
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun jobsWavesAndLoansHangWhileBatchesAreRejected() {
        repeat(20) { seed ->
            val fleet = mixedFleet(seed)
            val random = Random(seed)
            fleet.rejectsBatch =
                { batch -> batch.records.none { it is Record.WaveAccepted } && random.nextDouble() < 0.2 }
            fleet.at(15.seconds) { fleet.rejectsBatch = { false } }
            fleet.run(60.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is late")
            assertEquals(emptySet(), fleet.state.moves.keys, "seed $seed: moves that are not over")
            val open = fleet.state.jobs.values.filter { it.isActive }.map { it.id }
            assertEquals(emptyList(), open, "seed $seed: jobs that are not over")
        }
    }

    /** Returns a fleet with two services whose queues alternate and borrow VMs, silent workers, and a wave. */
    private fun mixedFleet(seed: Int): VirtualFleet {
        val queues = listOf("plates", "proofs").map {
            VirtualFleet.QUEUE.copy(name = QueueName(it), service = ServiceId(it))
        }
        val fleet = VirtualFleet(seed)
        fleet.start()
        val services = queues.map { ServiceTerms(it.service) } + ServiceTerms(VirtualFleet.SPARE, spare = true)
        fleet.call { Event.CatalogSubmitted(it, Catalog(version = 1, queues, services), document = "{}") }
        queues.forEach { queue -> repeat(4) { fleet.addWorker("${queue.name}$it", queue.service) } }
        repeat(3) { fleet.spares.add(VmId("spare$it")) }
        fleet.run(300.milliseconds)
        repeat(60) { number ->
            // A gang runs longer than it takes to detect that a member is missing.
            val step = if (number % 6 == 3) task.copy(gang = true, estimateMs = 4_000) else task
            fleet.at((number * 200).milliseconds) {
                fleet.submit("job$number", step, step.copy(dependsOn = listOf(0)), queue = queues[number / 15 % 2])
            }
        }
        repeat(3) { number -> fleet.at((2_000 + number * 3_000).milliseconds) { fleet.disconnectOne() } }
        val vms = queues.flatMap { queue -> List(4) { VmId("vm-${queue.name}$it") } }
        fleet.at(4.seconds) { fleet.call { Event.WaveSubmitted(it, 7, vms, 30.seconds, cap = 2) } }
        return fleet
    }

    private fun VirtualFleet.disconnectOne() {
        val worker = workers.values.filter { it.isUp }.random(random)
        worker.isReachable = false
        at(1.seconds) { worker.isReachable = true }
    }

    private fun firstTask(job: String) = TaskId(StepId(JobId(job), occurrence = 0, step = 0), index = 0)
}
