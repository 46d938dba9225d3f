package org.auburnstream.daemon.config

import org.auburnstream.daemon.peer.PeerAddress
import org.auburnstream.model.DaemonId
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against startup settings that are read wrongly and against errors that do not name the setting to correct. */
class SettingsLoaderTest {
    @TempDir
    lateinit var folder: Path

    private lateinit var requiredArguments: List<String>

    @BeforeTest
    fun writeToken() {
        val token = Files.writeString(folder.resolve("token"), "operator-1:secret\n")
        requiredArguments = listOf(
            "--id", "d1", "--region", "r1", "--data-centre", "dc1", "--data-folder", "${folder.resolve("data")}",
            "--operator-token-file", "$token", "--voters", "d1,d2,d3",
            "--peers", "d1=10.0.0.1:7000,d2=10.0.0.2:7000,d3=[fd00::3]:7000",
        )
    }

    @Test
    fun readsFlagsWithDefaults() {
        val settings = load(requiredArguments)

        assertEquals(listOf("d2", "d3"), settings.peers.map { it.id.value })
        assertEquals(PeerAddress(DaemonId("d3"), "fd00::3", 7000), settings.peers.last())
        assertEquals(ListenerPorts(7401, 7402, 7403, 7404, 7405), settings.ports)
        assertEquals(30.seconds, settings.drainTimeout)
        assertTrue(settings.isInitialVoter)
        assertFalse(Files.exists(settings.dataFolder!!), "reading the settings must change no file")
    }

    @Test
    fun flagTakesPrecedenceOverEnvironmentVariable() {
        val variables = mapOf(
            "AUBURNSTREAM_CALLER_PORT" to "8080",
            "AUBURNSTREAM_HEALTH_PORT" to "8090",
            "PATH" to "/bin",
        )

        val settings = load(requiredArguments + listOf("--caller-port", "9090"), variables)

        assertEquals(9090, settings.ports.callers)
        assertEquals(8090, settings.ports.health)
    }

    @Test
    fun everyDefaultIsInItsRange() {
        val failing = DaemonSettingDefinitions.all.filter { it.default != null && it.parse(it.default!!) == null }

        assertEquals(emptyList(), failing.map { it.name })
    }

    @Test
    fun errorNamesSettingValueAndRemedy() {
        val blocked = folder.resolve("token").resolve("data")
        listOf(
            InvalidCase(
                listOf("--caller-port", "70000"),
                "--caller-port: wrong value '70000'; give TCP port: 0 to 65535",
            ),
            InvalidCase(
                listOf("--drain-timeout", "soon"),
                "--drain-timeout: wrong value 'soon'; give duration: 0s to 10m",
            ),
            InvalidCase(
                listOf("--bind-address", "localhost"),
                "--bind-address: wrong value 'localhost'; give IP number",
            ),
            InvalidCase(listOf("--peers", "d2=10.0.0.2"), "--peers: wrong value 'd2=10.0.0.2'; give id=address:port"),
            InvalidCase(listOf("--peers", "d2=10.0.0.2:7"), "--voters: voter 'd3' has no address; add d3=address:port"),
            InvalidCase(listOf("--voters", "d1,d1"), "--voters: wrong value 'd1,d1'; give id"),
            InvalidCase(listOf("--voters", ""), "--voters: wrong value ''; give id"),
            InvalidCase(
                listOf("--data-folder", "$blocked"),
                "--data-folder: cannot write to folder '$blocked'; name a folder",
            ),
            InvalidCase(
                listOf("--operator-token-file", "/none"),
                "--operator-token-file: cannot read anything from '/none'",
            ),
            InvalidCase(listOf("--ports-file", "/none/ports"), "--ports-file: cannot write to folder '/none'"),
            InvalidCase(listOf("--trace-export", "loud"), "--trace-export: wrong value 'loud'; give off, log or path"),
            InvalidCase(listOf("--colour", "red"), "--colour: unknown flag; see auburnstreamd --help"),
            InvalidCase(listOf("extra"), "extra: unknown flag"),
            InvalidCase(listOf("--seed"), "--seed: no value; give --seed or set AUBURNSTREAM_SEED"),
            InvalidCase(listOf("--region", "a\nb"), "--region: wrong value 'a?b'; give id"),
        ).forEach { invalidCase ->
            val result = loadSettings(requiredArguments + invalidCase.flags, emptyMap())
            val error = assertIs<SettingsResult.Invalid>(result).error

            assertContains(error.toLine(), "auburnstreamd: ${invalidCase.line}")
            assertEquals(1, error.toLine().lines().size)
        }
    }

    @Test
    fun unknownEnvironmentVariableWithPrefixIsRejected() {
        val result = loadSettings(requiredArguments, mapOf("AUBURNSTREAM_CALER_PORT" to "1"))

        assertIs<SettingsError.UnknownEnvironmentVariable>(assertIs<SettingsResult.Invalid>(result).error)
    }

    @Test
    fun errorNamesEnvironmentVariableWithWrongValue() {
        val result = loadSettings(requiredArguments, mapOf("AUBURNSTREAM_LOG_LEVEL" to "loud"))

        assertEquals("AUBURNSTREAM_LOG_LEVEL", assertIs<SettingsResult.Invalid>(result).error.setting)
    }

    @Test
    fun missingRequiredSettingsAreNamed() {
        listOf("--id", "--region", "--data-centre", "--operator-token-file", "--voters").forEach { flag ->
            val i = requiredArguments.indexOf(flag)
            val result = loadSettings(requiredArguments.subList(0, i) + requiredArguments.drop(i + 2), emptyMap())

            val error = assertIs<SettingsError.MissingValue>(assertIs<SettingsResult.Invalid>(result).error)
            assertEquals(flag, error.setting)
        }
    }

    @Test
    fun voterNeedsDataFolder() {
        val result =
            loadSettings(
                requiredArguments.filterNot { it.startsWith("--data-folder") || it.endsWith("data") },
                emptyMap(),
            )

        assertIs<SettingsError.VoterWithoutDataFolder>(assertIs<SettingsResult.Invalid>(result).error)
    }

    @Test
    fun checkHelpAndVersionDoNotStartDaemon() {
        assertIs<StartCommand.Check>(command(requiredArguments + "--check"))
        assertContains(assertIs<StartCommand.Print>(command(listOf("--version"))).text, "auburnstreamd ")
        val help = assertIs<StartCommand.Print>(command(listOf("--help"))).text
        DaemonSettingDefinitions.all.forEach {
            assertContains(help, it.flag)
            assertContains(help, it.environmentVariable)
        }
    }

    @Test
    fun portsFileTextRoundTrips() {
        val ports = ListenerPorts(callers = 1, operators = 2, targets = 3, peers = 4, health = 5)

        assertEquals(ports, ListenerPorts.parseOrNull(ports.toText()))
        assertEquals(null, ListenerPorts.parseOrNull(ports.toText().substringBefore("health")))
    }

    private fun load(arguments: List<String>, environment: Map<String, String> = emptyMap()): DaemonSettings =
        assertIs<StartCommand.Run>(command(arguments, environment)).settings

    private fun command(arguments: List<String>, environment: Map<String, String> = emptyMap()): StartCommand =
        assertIs<SettingsResult.Valid>(loadSettings(arguments, environment)).command

    private class InvalidCase(val flags: List<String>, val line: String)
}
