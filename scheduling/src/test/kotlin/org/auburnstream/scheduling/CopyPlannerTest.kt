package org.auburnstream.scheduling

import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CopyPlannerTest {
    private val step =
        StepDescription(count = 13, demand = Resources(1_000, 100), estimateMs = 500, allowsCopies = true)
    private val job = Job(JobId("job"), VirtualFleet.QUEUE, JobDescription("", listOf(step)), acceptedMs = 0)

    /** Three in a hundred durations of seven times the usual 500 ms. */
    private val ratios = DurationRatios().apply { repeat(100) { add(if (it % 33 == 32) 7.0 else 1.0) } }
    private val durations = DurationDistribution(scaleMs = 500.0, ratios)

    private fun candidate(
        elapsedMs: Double,
        percent: Int? = null,
        dueMs: Long = 2_000,
        index: Int = 0,
        silentMs: Double? = null,
    ) = CopyCandidate(
        job = job,
        step = step,
        run = RunId(TaskId(StepId(job.id, 0, 0), index), number = 1),
        worker = WorkerIncarnation(WorkerId("w0"), 1),
        elapsedMs = elapsedMs,
        progress = percent?.let { RunProgress(it, elapsedMs) },
        durations = durations,
        dueMs = dueMs,
        afterMs = 0,
        silentMs = silentMs,
    )

    private fun room(vararg free: Long): List<WorkerCapacity> = free.mapIndexed { index, millicores ->
        val life = WorkerIncarnation(WorkerId("w$index"), 1)
        val capacity = Resources(millicores, 1_000)
        WorkerCapacity(WorkerProfile(life, VirtualFleet.SERVICE, "a:1", DataCentreId("a"), capacity = capacity))
    }

    private fun plan(
        candidates: List<CopyCandidate>,
        room: List<WorkerCapacity> = room(1_000, 4_000, 2_000),
        planner: CopyPlanner = CopyPlanner(SchedulerState(retentionMs = 1)),
        running: Int = 20,
        copies: Int = 0,
    ): List<PlannedCopy> = planner.plan(nowMs = 600, candidates, room, running, copies)

    @Test
    fun aRunThatWillMissItsDeadlineIsCopied() {
        val copy = plan(listOf(candidate(elapsedMs = 600.0, percent = 17))).single()

        assertEquals(2, copy.claim.run.number)
        assertEquals(WorkerId("w2"), copy.claim.incarnation.worker)
        assertTrue(copy.claim.isCopy)
        assertTrue(copy.restMs in 2_500.0..3_000.0, "${copy.restMs}")
    }

    @Test
    fun aRunWithoutProgressIsJudgedByTheTailOfItsQueue() {
        assertEquals(0, plan(listOf(candidate(elapsedMs = 400.0))).size)
        assertEquals(1, plan(listOf(candidate(elapsedMs = 550.0))).size)
    }

    @Test
    fun aRunThatIsInTimeOrTooLateOrNearlyDoneIsNotCopied() {
        assertEquals(0, plan(listOf(candidate(elapsedMs = 600.0, percent = 17, dueMs = 9_000))).size)
        assertEquals(0, plan(listOf(candidate(elapsedMs = 600.0, percent = 17, dueMs = 1_000))).size)
        assertEquals(0, plan(listOf(candidate(elapsedMs = 1_400.0, percent = 70, dueMs = 1_200))).size)
    }

    @Test
    fun aRunAtASilentWorkerIsCopied() {
        assertEquals(1, plan(listOf(candidate(elapsedMs = 100.0, silentMs = 5_000.0))).size)
    }

    @Test
    fun copiesAreFewAndGiveWay() {
        val slow = List(10) { candidate(elapsedMs = 600.0, percent = 17, index = it) }

        assertEquals(3, plan(slow, running = 30).size)
        assertEquals(2, plan(slow, running = 3).size)
        assertEquals(1, plan(slow, running = 30, copies = 2).size)
        assertEquals(0, plan(slow, running = 30, copies = 3).size)
        assertEquals(0, plan(slow, room(4_000)).size, "only the worker of the run itself has room")
        assertEquals(0, plan(slow, room(0, 1_000)).size, "the last free slot stays free")
        assertEquals(1, plan(slow, room(0, 2_000)).size)
    }

    @Test
    fun aCopyNeedsTheTenantsAndTheAdvicesPermission() {
        val state = SchedulerState(retentionMs = 1)
        val slow = listOf(candidate(elapsedMs = 600.0, percent = 17))

        assertEquals(0, plan(slow, planner = CopyPlanner(state, mayStart = { _, _ -> false })).size)
        assertEquals(0, plan(slow, planner = CopyPlanner(state, mayRun = { _, _ -> false })).size)
        assertEquals(0, plan(slow, planner = CopyPlanner(state, gains = { false })).size)
    }

    @Test
    fun copiesStopWhereTheyDoNotGain() {
        val outcomes = CopyOutcomes()
        val now = MonotonicTime.Zero
        repeat(3) { outcomes.add(isWon = false, now) }
        assertTrue(outcomes.gains(now))
        repeat(3) { outcomes.add(isWon = false, now) }
        assertFalse(outcomes.gains(now))
        assertTrue(outcomes.gains(now + 31.seconds))
        repeat(4) { outcomes.add(isWon = true, now) }
        assertTrue(outcomes.gains(now))
    }

    @Test
    fun theRestOfARunFollowsTheTail() {
        assertEquals(590.0, durations.meanMs, 1.0)
        assertEquals(500.0, durations.quantileMs(0.9))
        assertEquals(3_500.0, durations.quantileMs(0.99))
        assertEquals(2_900.0, durations.restMs(600.0), 0.1)
        assertEquals(4_000.0, durations.restMs(4_000.0), 0.1)
    }
}
