package org.auburnstream.testkit.process

import kotlinx.coroutines.runBlocking
import org.auburnstream.testkit.load.ProcessUsage
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ChildProcessTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun awaitsOutputOfAJavaProcess() = runBlocking {
        val command = JavaCommand.of("org.auburnstream.testkit.target.TargetMainKt", listOf("--vm", "vm-9"))

        ChildProcess.start(command, folder.resolve("out")).use { child ->
            child.await("port", 60.seconds) { Regex("port=\\d+").find(child.text()) }
            assertTrue(ProcessUsage.read(child.pid).residentBytes > 0)
            child.signal(ProcessSignal.STOP)
            child.signal(ProcessSignal.CONT)
            child.signal(ProcessSignal.KILL)
            assertEquals(137, child.awaitExit(60.seconds))
        }
    }

    @Test
    fun endOfTheProcessEndsTheWait() = runBlocking {
        val command = JavaCommand.of("org.auburnstream.testkit.target.TargetMainKt", listOf("--colour", "red"))

        ChildProcess.start(command, folder.resolve("out")).use { child ->
            val failure = assertFailsWith<ChildProcessException> { child.await("port", 60.seconds) { null } }
            assertContains(failure.message!!, "\"--colour\" is not a valid option")
            assertEquals(2, child.awaitExit(60.seconds))
        }
    }
}
