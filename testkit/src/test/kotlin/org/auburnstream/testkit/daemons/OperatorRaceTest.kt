package org.auburnstream.testkit.daemons

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class OperatorRaceTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun oneOfTwoRacingChangesWinsAndTheOtherIsAConflict() = withDaemons(folder, daemons = 3) { (deployment, _) ->
        val changes = listOf(0 to "11", 1 to "22").map { (daemon, value) ->
            async {
                value to
                    deployment.control(daemon, "settings", "set", "/", "queue.capacity=$value", "--expect-version", "0")
            }
        }.awaitAll()

        assertEquals(listOf(0, 4), changes.map { it.second.exitCode }.sorted(), changes.toString())
        val winner = changes.single { it.second.exitCode == 0 }.first
        val get = deployment.control(2, "settings", "get", "/", "--key", "queue.capacity")
        assertContains(get.output, Regex("queue.capacity +$winner "))
    }
}
