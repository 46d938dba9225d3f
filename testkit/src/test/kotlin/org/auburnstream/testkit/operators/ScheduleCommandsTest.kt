package org.auburnstream.testkit.operators

import kotlinx.coroutines.runBlocking
import org.auburnstream.cli.Auburnctl
import org.auburnstream.cli.ExitCode
import org.auburnstream.dispatch.operators.OperatorRequests
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ScheduleCommandsTest {
    @TempDir
    lateinit var folder: Path
    private lateinit var node: ControlNodeStandIn
    private val out = ArrayList<String>()
    private val err = ArrayList<String>()
    private var token = ControlNodeStandIn.TOKEN

    @BeforeTest
    fun start() {
        node = ControlNodeStandIn(folder)
        node.awaitLeadership()
    }

    @AfterEach
    fun stop() = node.close()

    @Test
    fun aJobIsHandedInShownAndCancelledFromTheCommandLine() {
        val id = "00c0ffee00c0ffee"
        assertEquals(ExitCode.OK, run("schedule submit plates --id $id --tasks 3 --millicores 500"), err.toString())
        assertEquals("accepted job $id", out.last())
        assertEquals(ExitCode.OK, run("schedule submit plates --id $id --tasks 3 --millicores 500"))
        assertEquals(ExitCode.OK, run("schedule jobs --queue plates"))
        assertContains(out.last(), Regex("$id +plates +active +\\d+ +3 +0 +0"))
        assertEquals(ExitCode.OK, run("schedule queues"))
        assertContains(out.last(), Regex("plates +print +0 +2 +1 +1"))
        assertEquals(ExitCode.OK, run("schedule cancel $id"))
        assertEquals(ExitCode.OK, run("schedule job $id"))
        assertContains(out.last(), "cancelled")
        assertEquals(ExitCode.OK, run("schedule workers"))
        assertEquals(ExitCode.OK, run("schedule waves"))
    }

    @Test
    fun aJobOfATenantIsHandedInAndCountedForIt() {
        assertEquals(ExitCode.OK, run("schedule submit plates --tenant press --id 00c0ffee00c0ffee"), err.toString())
        assertEquals(ExitCode.OK, run("schedule jobs"))
        assertContains(out.last(), Regex("plates +press +active"))
        assertEquals(ExitCode.OK, run("schedule tenants"))
        assertContains(out.last(), Regex("press +2.5 +0/0/0 +0/0/0 +0 +1 +1 +0"))
        assertEquals(ExitCode.REFUSED, run("schedule submit plates --tenant none"))
        assertContains(err.last(), "there is no tenant 'none'")
    }

    @Test
    fun aWrongTokenAndAWrongQueueAreRefusedWithTheirRemedy() {
        assertEquals(ExitCode.REFUSED, run("schedule submit none"))
        assertContains(err.last(), "there is no queue 'none'")
        token = "other"
        assertEquals(ExitCode.UNAUTHORIZED, run("schedule jobs"))
        assertContains(err.last(), OperatorRequests.TOKEN_VARIABLE)
    }

    private fun run(line: String): ExitCode {
        val auburnctl =
            Auburnctl(out::add, err::add, { token.takeIf { _ -> it == "AUBURNCTL_TOKEN" } }, random = Random(1))
        return runBlocking { auburnctl.run(line.split(' ') + listOf("--daemon", node.address)) }
    }
}
