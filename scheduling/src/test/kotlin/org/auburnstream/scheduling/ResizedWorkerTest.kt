package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that no run is started beyond the capacity of a worker that shrinks and grows while it runs. */
class ResizedWorkerTest {
    private val task = StepDescription(count = 3, demand = Resources(1_000, 100), estimateMs = 900)

    private fun VirtualFleet.onlyWorker(): VirtualWorker = workers.values.single()

    private fun VirtualFleet.knownMillicores(worker: VirtualWorker): Long? =
        state.worker(worker.profile.incarnation)?.profile?.capacity?.millicores

    /** Sends a report with the current profile, which arrives at once. */
    private fun VirtualWorker.reportNow() = reportLate(Duration.ZERO)

    @Test
    fun aLateReportBringsTheLargerCapacityBack() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        worker.reportLate(600.milliseconds)
        worker.resize(1_000)
        worker.reportNow()
        fleet.run(800.milliseconds)

        assertEquals(1_000, fleet.knownMillicores(worker))
    }

    @Test
    fun aLateReportBringsTheLargerCapacityBackAfterAChangeOfTheLeader() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        worker.reportLate(600.milliseconds)
        worker.resize(1_000)
        worker.reportNow()
        fleet.run(200.milliseconds)
        fleet.restoreFromSnapshot()
        fleet.changeLeader()
        fleet.run(600.milliseconds)

        assertEquals(1_000, fleet.knownMillicores(worker))
    }

    @Test
    fun aLateReportStillAnnouncesTheShutdown() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        val late = worker.profile
        worker.resize(1_000)
        worker.reportNow()
        fleet.run(100.milliseconds)
        fleet.call { Event.WorkerReported(it, late, sequence = 1, isLeaving = true, worker.clockMs) }
        fleet.run(100.milliseconds)

        assertEquals(1_000, fleet.knownMillicores(worker))
        assertEquals(true, fleet.state.worker(worker.profile.incarnation)?.isLeaving)
    }

    @Test
    fun aChangeIsLostWhileAnEarlierOneIsCommitted() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        fleet.commitTime = 200.milliseconds
        listOf(3_000L, 1_000L).forEach {
            worker.resize(it)
            worker.reportNow()
            fleet.run(50.milliseconds)
        }
        fleet.run(500.milliseconds)

        assertEquals(1_000, fleet.knownMillicores(worker))
    }

    @Test
    fun aReturnToTheKnownCapacityIsLostWhileAChangeIsCommitted() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        fleet.commitTime = 200.milliseconds
        listOf(1_000L, 4_000L).forEach {
            worker.resize(it)
            worker.reportNow()
            fleet.run(50.milliseconds)
        }
        fleet.run(500.milliseconds)

        assertEquals(4_000, fleet.knownMillicores(worker))
    }

    @Test
    fun aReportIsAnsweredBeforeItsCapacityIsCommitted() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        fleet.commitTime = 200.milliseconds
        val calls = listOf(3_000L, 1_000L).mapIndexed { number, millicores ->
            worker.resize(millicores)
            fleet.run(20.milliseconds)
            fleet.call { Event.WorkerReported(it, worker.profile, 100L + number, isLeaving = false, worker.clockMs) }
        }
        fleet.run(250.milliseconds)
        assertEquals(listOf(Reply.Accepted, null), calls.map { fleet.replies[it] })
        fleet.run(250.milliseconds)
        assertEquals(Reply.Accepted, fleet.replies[calls.last()])
    }

    @Test
    fun aLeaderOfAnEarlierBuildRecordsACapacityWithoutANumber() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        worker.reportNow()
        fleet.run(100.milliseconds)
        val smaller = worker.profile.copy(capacity = Resources(1_000, 16_000))
        fleet.state.apply(
            RecordBatch(fleet.nowMs, listOf(Record.WorkerRegistered(smaller, leaving = false))),
            fleet.now,
        )

        assertEquals(1_000, fleet.knownMillicores(worker))
    }

    @Test
    fun aClaimedRunIsOrderedThoughTheWorkerHasShrunk() {
        val fleet = VirtualFleet.withWorkers(1)
        val worker = fleet.onlyWorker()
        fleet.commitTime = 200.milliseconds
        fleet.submit("job", task)
        fleet.run(250.milliseconds)
        // The claims are being committed, and the report waits for the next batch.
        worker.resize(1_500)
        worker.reportNow()
        fleet.run(700.milliseconds)

        assertEquals(1, worker.starts, "runs started on a worker with room for one")
        fleet.run(10.seconds)
        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
    }

    @Test
    fun runsStartBeyondCapacitiesThatShrinkAndGrow() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(8, seed)
            fleet.submit("lasting", task.copy(lasting = true, maxPerWorker = 1))
            repeat(80) { number ->
                val step = if (number % 9 == 0) task.copy(gang = true) else task
                val fills = number % 7 == 0
                fleet.at((number * 250).milliseconds) { fleet.submit("job$number", step.copy(fillsUnused = fills)) }
            }
            repeat(40) { number ->
                fleet.at((number * 500).milliseconds) { resizeAny(fleet) }
            }
            repeat(3) { number ->
                fleet.at((4_000 + number * 5_000 + seed * 41).milliseconds) {
                    fleet.restoreFromSnapshot()
                    fleet.changeLeader()
                }
            }
            fleet.at(22.seconds) { fleet.workers.values.forEach { it.resize(4_000) } }
            fleet.run(70.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    /** Resizes a worker; its reports of before may arrive late, and its next ones are lost for up to 2 s. */
    private fun resizeAny(fleet: VirtualFleet) {
        val random = fleet.random
        val worker = fleet.workers.values.random(random)
        if (random.nextInt(3) == 0) worker.reportLate(random.nextLong(2_000).milliseconds)
        worker.resize(listOf(0L, 600L, 1_000L, 2_500L, 4_000L, 6_000L).random(random))
        if (random.nextInt(3) == 0) {
            worker.losesReports = true
            fleet.at(random.nextLong(2_000).milliseconds) { worker.losesReports = false }
        }
    }

    @Test
    fun aPoolThatHasShrunkIsServedOnceItGrows() {
        repeat(SEEDS) { seed ->
            val fleet = VirtualFleet.withWorkers(4, seed)
            fleet.workers.values.forEach { it.resize(0) }
            fleet.run(2.seconds)
            val tasks = List(3) { TaskId(StepId(JobId("lasting"), occurrence = 0, step = 0), it) }
            fleet.submit("lasting", task.copy(lasting = true))
            fleet.submit("job", task)
            fleet.run(8.seconds)
            assertTrue(tasks.none(fleet::isRunning), "seed $seed: a task runs on a worker without capacity")
            fleet.workers.values.forEach { it.resize(4_000) }
            fleet.run(4.seconds)

            assertTrue(tasks.all(fleet::isRunning), "seed $seed: the lasting tasks do not run")
            assertEquals(JobPhase.COMPLETE, fleet.phase("job"), "seed $seed")
            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }

    @Test
    fun vmsMoveBackAndForthWhileWorkersShrinkAndGrow() {
        repeat(SEEDS) { seed ->
            val borrower = VirtualFleet.QUEUE.copy(name = QueueName("a"), service = ServiceId("a"))
            val donor = VirtualFleet.QUEUE.copy(name = QueueName("b"), service = ServiceId("b"))
            val fleet = VirtualFleet.withTwoServices(seed, borrower, 6, donor, 6)
            // Each service needs two thirds of its pool.
            repeat(60) { number ->
                fleet.at((number * 500).milliseconds) {
                    listOf(borrower, donor).forEach { queue ->
                        fleet.submit("${queue.name}$number", task.copy(count = 8, estimateMs = 900), queue = queue)
                    }
                }
            }
            // A third of the borrower's workers shrink and grow, which leaves enough.
            repeat(10) { number ->
                fleet.at((number * 3_000).milliseconds) {
                    val millicores = if (number % 2 == 0) 1_000L else 4_000L
                    listOf("a0", "a1").mapNotNull { name ->
                        fleet.workers.values.find {
                            it.profile.vm ==
                                VmId("vm-$name")
                        }
                    }
                        .forEach { it.resize(millicores) }
                }
            }
            fleet.run(60.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.moves <= MAX_MOVES, "seed $seed: ${fleet.moves} moves")
        }
    }

    private companion object {
        const val SEEDS = 10

        /** A loan and its return for each of five times that the capacity is short. */
        const val MAX_MOVES = 20
    }
}
