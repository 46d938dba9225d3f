package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests a queue whose demand is three times the capacity of its workers.
 *
 * Guards against overload that makes nearly all jobs late, and against wide gangs and lasting tasks that never start.
 */
class OverloadTest {
    private val task = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun fleet(seed: Int) = VirtualFleet.withWorkers(4, seed)

    /** Number of tasks and arrival time in ms of jobs that require 48 processors of 16 in each of four seconds. */
    private val load = List(24) { number -> 1 + (number * 7) % 15 to number * 166 }

    @Test
    fun moreJobsMeetTheirObjectiveThanInOrderOfArrival() {
        var onTime = 0
        repeat(10) { seed ->
            val fleet = fleet(seed)
            load.forEachIndexed { number, (width, atMs) ->
                fleet.at(atMs.milliseconds) { fleet.submit("job$number", task.copy(count = width)) }
            }
            fleet.run(40.seconds)
            fleet.checkFinalState()
            assertEquals(emptyList(), fleet.violations, "seed $seed")
            onTime += fleet.state.jobs.values.count { it.endedMs - it.acceptedMs <= OBJECTIVE_MS }
        }
        val onTimeInOrder = 10 * countOnTimeInOrderOfArrival()

        assertTrue(
            onTime * 10 >= onTimeInOrder * 13,
            "$onTime jobs met their objective, $onTimeInOrder in the order of arrival",
        )
    }

    /**
     * Returns the number of jobs that meet their objective on 16 processors in the order of arrival.
     *
     * Late jobs come last, and starts take no time.
     */
    private fun countOnTimeInOrderOfArrival(): Int {
        val left = load.map { (width, _) -> width }.toIntArray()
        val endsMs = LongArray(load.size)
        val freeAtMs = LongArray(16)
        for (nowMs in 0L..20_000L) {
            for (slot in freeAtMs.indices.filter { freeAtMs[it] <= nowMs }) {
                val waiting = load.indices.filter { left[it] > 0 && load[it].second <= nowMs }
                val job = waiting.minByOrNull { isTooLate(it, nowMs) * load.size + it } ?: break
                left[job] -= 1
                freeAtMs[slot] = nowMs + task.estimateMs
                endsMs[job] = freeAtMs[slot]
            }
        }
        return load.indices.count { endsMs[it] - load[it].second <= OBJECTIVE_MS }
    }

    private fun isTooLate(job: Int, nowMs: Long): Int =
        if (nowMs + task.estimateMs > load[job].second + OBJECTIVE_MS) 1 else 0

    @Test
    fun aWideGangIsNotStarvedBySmallJobs() {
        val fleet = fleet(seed = 1)
        fleet.submit("filling", task.copy(count = 16))
        fleet.run(100.milliseconds)
        val gang = task.copy(count = 12, gang = true)
        val patient = VirtualFleet.QUEUE.copy(objectiveMs = 20_000)
        fleet.submit("wide", gang, queue = patient)
        repeat(150) { number -> fleet.at((number * 60).milliseconds) { fleet.submit("small$number", task) } }
        fleet.run(9.seconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("wide"))
    }

    @Test
    fun lastingTasksRestartAfterAWorkerCrashUnderFullLoad() {
        val fleet = fleet(seed = 1)
        fleet.submit("service", task.copy(count = 2, lasting = true, maxPerWorker = 1))
        fleet.run(500.milliseconds)
        repeat(200) { number ->
            fleet.at((number * 50).milliseconds) { fleet.submit("job$number", task.copy(count = 2)) }
        }
        fleet.run(2.seconds)
        fleet.workers.values.first { it.runs(serviceTask(0)) }.crash()
        fleet.run(12.seconds)

        assertTrue(fleet.workers.values.any { it.runs(serviceTask(0)) })
        assertEquals(emptyList(), fleet.violations)
    }

    private fun serviceTask(index: Int) = TaskId(StepId(JobId("service"), occurrence = 0, step = 0), index)

    private companion object {
        /** 1.6 times the work of a task plus 600 ms. */
        const val OBJECTIVE_MS = 2_200L
    }
}
