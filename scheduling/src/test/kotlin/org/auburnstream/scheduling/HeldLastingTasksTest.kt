package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a lasting task that is held by a lost worker without a line in the log that tells for how long. */
class HeldLastingTasksTest {
    private val step = StepDescription(count = 3, demand = Resources(1_000, 100), maxPerWorker = 1, lasting = true)
    private val lines = ArrayList<Map<String, Any?>>()
    private val downTimes = ArrayList<Long>()

    @Test
    fun theLogTellsHowLongALostWorkerHoldsALastingTask() {
        val fleet = fleet()
        fleet.workers.values.first().crash(silent = true)
        fleet.run(12.seconds)

        assertTrue(lines.size in 2..4, "${lines.size} lines")
        lines.forEach { assertEquals(listOf<Any?>(1, 1, 1), listOf(it["tasks"], it["workers"], it["lease"])) }
        lines.forEach { assertEquals(0, it["leaving"]) }
        val total = lines.map { it["longest_ms"] as Long + it["lease_left_ms"] as Long }
        assertTrue(total.all { it in 5_000..7_000 }, "silent and left in ms: $total")
        assertTrue(downTimes.single() in total.max() - 500..total.max() + 500, "down for $downTimes ms")
    }

    @Test
    fun theLogTellsThatALastingTaskWaitsForTheLeaseOfAnEarlierLeader() {
        val fleet = fleet()
        fleet.workers.values.first().crash(silent = true)
        fleet.loseLeader()
        fleet.at(1_200.milliseconds) { fleet.changeLeader() }
        fleet.run(12.seconds)

        assertTrue(lines.isNotEmpty())
        lines.forEach { assertEquals(1, it["earlier_leader"]) }
    }

    @Test
    fun theLogTellsHowLongATaskOfAWorkerThatRefusesConnectionsWasDown() {
        val fleet = fleet()
        fleet.workers.values.first().crash()
        fleet.run(12.seconds)

        assertTrue(downTimes.single() <= 7_000, "down for $downTimes ms")
    }

    @Test
    fun theLogTellsHowLongATaskOfARestartedWorkerWasDown() {
        val fleet = fleet()
        fleet.restart(fleet.workers.values.first(), after = 4.seconds)
        fleet.run(12.seconds)

        assertTrue(downTimes.single() in 4_000..6_000, "down for $downTimes ms")
    }

    @Test
    fun theLogTellsTheWholeDownTimeOfATaskWhoseStartIsRefused() {
        val fleet = fleet()
        fleet.workers.values.first().crash(silent = true)
        fleet.workers.values.last().acceptsTicket = { false }
        fleet.run(12.seconds)

        assertTrue(downTimes.size > 1 && downTimes == downTimes.sorted(), "down for $downTimes ms")
    }

    private fun fleet(): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(4)
        fleet.mutate = { action ->
            if (action is Action.Note && action.event == "lasting_tasks_held") lines.add(action.fields.toMap())
            if (action is Action.Note && action.event == "run_claimed") {
                (action.fields.toMap()["down_ms"] as Long?)?.let(downTimes::add)
            }
            listOf(action)
        }
        fleet.submit("job", step)
        fleet.run(5.seconds)
        return fleet
    }
}
