package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a lasting task that waits without a line in the log that tells why. */
class LastingTaskWaitsTest {
    private val step = StepDescription(count = 3, demand = Resources(1_000, 100), maxPerWorker = 1, lasting = true)

    @Test
    fun aWaitingLastingTaskIsLoggedWithTheReasonOfEachWorker() {
        val fleet = VirtualFleet.withWorkers(2)
        val lines = ArrayList<Map<String, Any?>>()
        fleet.mutate = { action ->
            if (action is Action.Note && action.event == "lasting_task_waits") lines.add(action.fields.toMap())
            listOf(action)
        }
        fleet.submit("job", step)
        fleet.run(6.seconds)

        assertTrue(lines.size in 2..4, "${lines.size} lines in 6 s")
        val first = lines.first()
        assertEquals("job.0.0", first["step"].toString())
        assertEquals(listOf<Any?>(1, 2, 2), listOf(first["tasks"], first["workers"], first["no_room"]))
        assertEquals(0, first["vms_coming"])
    }
}
