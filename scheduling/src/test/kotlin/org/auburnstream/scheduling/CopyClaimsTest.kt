package org.auburnstream.scheduling

import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests how the replicated state bears two runs of one task. */
class CopyClaimsTest {
    private val step = StepDescription(count = 1, demand = Resources(1_000, 100), allowsCopies = true)
    private val task = TaskId(StepId(JobId("job"), occurrence = 0, step = 0), index = 0)
    private val incarnations = List(3) { WorkerIncarnation(WorkerId("w$it"), startedMs = 1) }

    private fun stateOf(step: StepDescription, attempts: Int = 3, schedule: Schedule? = null): SchedulerState {
        val state = SchedulerState(retentionMs = 150_000)
        val queue = VirtualFleet.QUEUE.copy(attempts = attempts)
        val profiles = incarnations.map {
            WorkerProfile(it, VirtualFleet.SERVICE, "a:1", DataCentreId("a"), capacity = Resources(4_000, 1_000))
        }
        profiles.forEach { state.commit(Record.WorkerRegistered(it, leaving = false)) }
        state.commit(Record.JobAccepted(task.step.job, queue, JobDescription("", listOf(step), schedule)))
        return state
    }

    private fun SchedulerState.commit(record: Record) = apply(RecordBatch(1_000, listOf(record)), MonotonicTime.Zero)

    private fun SchedulerState.claim(number: Int, worker: Int, isCopy: Boolean = false) =
        commit(Record.RunClaimed(RunId(task, number), incarnations[worker], isCopy))

    private fun SchedulerState.end(number: Int, worker: Int, end: RunEnd) =
        commit(Record.RunEnded(RunId(task, number), incarnations[worker], end))

    private fun SchedulerState.claims(): List<Int> =
        incarnations.flatMap { claimsAt(it).keys }.map { it.number }.sorted()

    private fun SchedulerState.phase(): JobPhase = jobs.getValue(task.step.job).phase

    private fun SchedulerState.copied(): SchedulerState = apply {
        claim(number = 1, worker = 0)
        claim(number = 2, worker = 1, isCopy = true)
    }

    @Test
    fun onlyAStepWithTheFlagHasASecondRun() {
        val lasting = step.copy(lasting = true)
        val gang = step.copy(gang = true)

        assertEquals(listOf(1, 2), stateOf(step).copied().claims())
        for (other in listOf(step.copy(allowsCopies = false), lasting, gang)) {
            assertEquals(listOf(1), stateOf(other).copied().claims(), "$other")
        }
    }

    @Test
    fun aSecondRunNeedsAnotherWorkerAHigherNumberAndAFirstRun() {
        val state = stateOf(step)
        state.claim(number = 1, worker = 1, isCopy = true)
        assertEquals(emptyList(), state.claims())
        state.claim(number = 1, worker = 0)
        state.claim(number = 2, worker = 0, isCopy = true)
        state.claim(number = 1, worker = 1, isCopy = true)
        state.claim(number = 2, worker = 1)
        assertEquals(listOf(1), state.claims())
        state.claim(number = 2, worker = 1, isCopy = true)
        state.claim(number = 3, worker = 2, isCopy = true)
        assertEquals(listOf(1, 2), state.claims())
    }

    @Test
    fun theFirstRunToCompleteCounts() {
        for (first in listOf(1, 2)) {
            val state = stateOf(step).copied()
            state.end(first, first - 1, RunEnd.DONE)
            assertEquals(JobPhase.COMPLETE, state.phase())
            assertEquals(listOf(3 - first), state.claims())
            state.end(3 - first, 2 - first, RunEnd.STOPPED)
            assertEquals(emptyList(), state.claims())
        }
    }

    @Test
    fun anEndThatIsNoCompletionLeavesTheOtherRun() {
        for (end in RunEnd.entries - RunEnd.DONE) {
            for (first in listOf(1, 2)) {
                val state = stateOf(step).copied()
                state.end(first, first - 1, end)
                assertEquals(listOf(3 - first), state.claims(), "$end of $first")
                state.end(3 - first, 2 - first, RunEnd.DONE)
                assertEquals(JobPhase.COMPLETE, state.phase(), "$end of $first")
            }
        }
    }

    @Test
    fun aJobFailsOnceNoRunIsLeft() {
        val state = stateOf(step, attempts = 2).copied()
        state.end(2, 1, RunEnd.FAILED)
        state.claim(number = 3, worker = 1, isCopy = true)
        state.end(1, 0, RunEnd.FAILED)
        assertEquals(JobPhase.ACTIVE, state.phase())
        state.claim(number = 4, worker = 2, isCopy = true)
        assertEquals(listOf(3), state.claims(), "no attempt is left")
        state.end(3, 1, RunEnd.FAILED)
        assertEquals(JobPhase.FAILED, state.phase())
    }

    @Test
    fun aJobNeverEndsBecauseTheWorkerOfItsLastRunEnds() {
        val state = stateOf(step, attempts = 1).copied()
        state.end(1, 0, RunEnd.FAILED)
        assertEquals(JobPhase.ACTIVE, state.phase())
        state.commit(Record.WorkerEnded(incarnations[1]))
        assertEquals(JobPhase.FAILED, state.phase())
    }

    @Test
    fun aCopyDecidedBeforeTheEndHasNoEffect() {
        for (end in RunEnd.entries) {
            val state = stateOf(step)
            state.claim(number = 1, worker = 0)
            state.end(1, 0, end)
            state.claim(number = 2, worker = 1, isCopy = true)
            assertEquals(emptyList(), state.claims(), "$end")
        }
    }

    @Test
    fun aSnapshotKeepsTheSlowerRunOfADoneOccurrence() {
        val schedule = Schedule(occurrences = 3, firstMs = 0, intervalMs = 1_000)
        for (state in listOf(stateOf(step), stateOf(step, schedule = schedule))) {
            state.copied().end(2, 1, RunEnd.DONE)
            val restored = SchedulerState(retentionMs = 150_000)
            restored.restore(state.image(), MonotonicTime.Zero)
            assertEquals(state.claimsAt(incarnations[0]), restored.claimsAt(incarnations[0]))
            assertEquals(1, restored.claims().size)
        }
    }
}
