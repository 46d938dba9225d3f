package org.auburnstream.testkit.daemons

import org.auburnstream.testkit.process.Deployment
import org.auburnstream.testkit.process.ProcessSignal
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class LostDataFolderTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun voterReturnsWithoutItsVoteAndKeepsNoChangeBack() = withDaemons(folder, daemons = 3) { (deployment, _) ->
        val set = deployment.control(0, "settings", "set", "/", "queue.capacity=77")
        assertEquals(0, set.exitCode, set.output)
        val lost = votersOf(deployment).last().single { it.startsWith("d3/") }
        deployment[2].child.signal(ProcessSignal.KILL)
        deployment[2].child.awaitExit(DEADLINE)
        deployment.plans[2].dataFolder!!.toFile().deleteRecursively()
        Files.delete(deployment.plans[2].logFile)

        deployment.start(2).awaitReady()

        eventually("promotion of the new d3") {
            Unit.takeIf { votersOf(deployment).lastOrNull()?.contains(lost) == false }
        }
        val sets = votersOf(deployment)
        val promoted = sets.last().single { it.startsWith("d3/") }
        assertNotEquals(lost, promoted, "the lost incarnation must not vote again")
        assertTrue(sets.any { promoted !in it }, "the new incarnation must have begun without a vote: $sets")
        val get = deployment.control(2, "settings", "get", "/", "--key", "queue.capacity")
        assertContains(get.output, Regex("queue.capacity +77 "))
    }

    /** Sets of voters that d3 has applied since its log file began, as `id/incarnation`. */
    private fun votersOf(deployment: Deployment): List<List<String>> =
        Regex("event=members_changed .*voters=\\[(.*?)]").findAll(deployment[2].child.text())
            .map { it.groupValues[1].split(", ") }
            .toList()
}
