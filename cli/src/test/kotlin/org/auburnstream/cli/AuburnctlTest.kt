package org.auburnstream.cli

import kotlinx.coroutines.runBlocking
import org.auburnstream.api.ApiJson
import org.auburnstream.api.SettingsView
import org.auburnstream.control.BlockingDaemon
import org.auburnstream.control.HoldCause
import org.auburnstream.control.RollOutProgress
import org.auburnstream.model.DaemonId
import org.junit.jupiter.api.AfterEach
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class AuburnctlTest {
    private val daemon = DaemonStandIn()
    private val out = mutableListOf<String>()
    private val err = mutableListOf<String>()
    private val files = mutableMapOf("token" to "${DaemonStandIn.TOKEN}\n")
    private val environment = mutableMapOf("AUBURNCTL_TOKEN" to DaemonStandIn.TOKEN)

    @AfterEach
    fun stop() = daemon.close()

    @Test
    fun `set, get, unset and history work together`() {
        assertEquals(ExitCode.OK, run("settings set /r1 target.slots=4 queue.capacity=9 --reason rush"))
        assertContains(out.single(), "Accepted as version 1")
        assertEquals(ExitCode.OK, run("settings get /r1/d1 --key target.slots --token-file token"))
        assertEquals(
            """
            KEY           VALUE  UNIT      ORIGIN
            target.slots  4      requests  /r1
            /r1/d1 at version 1
            """.trimIndent(),
            out.last(),
        )
        assertEquals(ExitCode.OK, run("settings unset /r1 target.slots"))
        assertEquals(ExitCode.OK, run("settings get /r1 --key target.slots --output json"))
        assertEquals(null, ApiJson.decodeFromString(SettingsView.serializer(), out.last()).values.single().origin)
        assertEquals(ExitCode.OK, run("settings history"))
        assertContains(out.last(), "/r1 target.slots=4, /r1 queue.capacity=9  rush")
        assertContains(out.last(), "/r1 unset target.slots")
    }

    @Test
    fun `a dry run and a diff print the effective values that would change`() {
        for (line in listOf("settings set / target.slots=4 --dry-run", "settings diff / target.slots=4")) {
            assertEquals(ExitCode.OK, run(line))
            assertContains(out.last(), "/     target.slots  8       4")
        }
        assertEquals(0, daemon.version)
    }

    @Test
    fun `a lost answer is asked for again at the next daemon and the change is made once`() {
        daemon.answersToLose = 1
        val line = "settings set /r1 target.slots=4 --expect-version 0 --timeout 1 --wait-timeout 0"
        assertEquals(ExitCode.OK, run(line, daemons = "127.0.0.1:1,${daemon.address}"))
        assertEquals(1, daemon.version)
    }

    @Test
    fun `when every answer is lost the operation id is printed and finishes the change later`() {
        daemon.answersToLose = 2
        val line = "settings set /r1 target.slots=4 --expect-version 0 --timeout 1 --wait-timeout 0"
        assertEquals(ExitCode.UNKNOWN, run(line))
        val id = Regex("--operation (\\S+);").find(err.single())!!.groupValues[1]
        assertEquals(ExitCode.OK, run("$line --operation $id"))
        assertContains(out.last(), "Accepted as version 1")
        assertEquals(1, daemon.version)
    }

    @Test
    fun `a wait for in force reports who held it back and has its own exit code when it ends first`() {
        val holder = BlockingDaemon(DaemonId("d3"), HoldCause.LEASE, 2.seconds)
        daemon.progress = RollOutProgress(false, 2.seconds, listOf(holder))
        assertEquals(ExitCode.NOT_IN_FORCE, run("settings set /r1 target.slots=4 --wait in-force"))
        assertContains(out.last(), "Not yet in force after 2000 ms. Held back by d3 (lease, 2000 ms).")
    }

    @Test
    fun `each failure is one line with its exit code`() {
        run("settings set /r1 target.slots=4")
        val table =
            listOf(
                "settings set /r1 target.slots=5 --expect-version 0" to ExitCode.CONFLICT,
                "settings set /r1 target.slots=many" to ExitCode.REFUSED,
                "settings set /r1 no.such.key=1" to ExitCode.REFUSED,
                "settings set r1 target.slots=4" to ExitCode.REFUSED,
                "settings set /r1 target.slots" to ExitCode.USAGE,
                "settings set /r1 target.slots=4 --wait soon" to ExitCode.USAGE,
                "settings set --file missing.json" to ExitCode.USAGE,
                "settings get --token-file missing" to ExitCode.USAGE,
                "settings get --no-such-option" to ExitCode.USAGE,
                "settings get --timeout 0" to ExitCode.USAGE,
                "settings mend" to ExitCode.USAGE,
                "no-such-command" to ExitCode.USAGE,
            )
        for ((line, exit) in table) {
            err.clear()
            assertEquals(exit, run(line), line)
            assertTrue(err.size == 1 && '\n' !in err.single() && err.single().startsWith("auburnctl: "), "$line: $err")
        }
        environment["AUBURNCTL_TOKEN"] = "wrong"
        assertEquals(ExitCode.UNAUTHORIZED, run("status"))
        assertEquals(ExitCode.UNAVAILABLE, run("settings set /r1 target.slots=5", daemons = "127.0.0.1:1"))
        assertEquals(1, daemon.version)
    }

    @Test
    fun `every subcommand has a help text with usage, options and exit codes`() {
        for (spec in Commands) {
            assertEquals(ExitCode.OK, run("${spec.words} --help"))
            for (part in listOf("Usage: auburnctl ${spec.words}", "Options:", "--daemon", "Exit codes:")) {
                assertContains(out.last(), part)
            }
            assertTrue(out.last().lines().all { it.length <= 110 }, out.last())
        }
        assertEquals(ExitCode.OK, run("--help"))
        assertTrue(Commands.all { it.words in out.last() })
    }

    private fun run(line: String, daemons: String = daemon.address): ExitCode {
        val words = Regex("\\s+").split(line)
        val offline = line.endsWith("--help") || line == "no-such-command" || line == "settings mend"
        val auburnctl =
            Auburnctl(out::add, err::add, environment::get, files::get, FixedClock, Random(out.size + 100 * err.size))
        return runBlocking { auburnctl.run(if (offline) words else words + listOf("--daemon", daemons)) }
    }
}
