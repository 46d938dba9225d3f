package org.auburnstream.testkit.daemons

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.testkit.caller.CallerResult
import org.junit.jupiter.api.io.TempDir
import java.io.DataOutputStream
import java.net.Socket
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

class BadInputTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun eachBadInputGetsATypedErrorAndTheDaemonServesOn() = withDaemons(folder, daemons = 1) { (deployment, _) ->
        val ports = deployment[0].ports
        val order = "POST /print/x HTTP/1.1\r\n"
        val blanks = " ".repeat(20_000)
        val announcement = "POST /v1/announcements HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        listOf(
            Case(ports.callers, "${order}Content-Length: 999999999\r\n\r\n", "413", "body-too-large"),
            Case(ports.callers, "${order}Content-Length: -1\r\n\r\n", "400", "malformed-body"),
            Case(ports.callers, "\u0000\u0001garbage\r\n\r\n", "400", "malformed-head"),
            Case(ports.targets, "${announcement}Content-Length: 9\r\n\r\n{\"vm\": 1}", "400", "malformed-announcement"),
            Case(ports.targets, "${announcement}Content-Length: 20000\r\n\r\n$blanks", "413", "oversized"),
            Case(ports.operators, "GET /v1/settings HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "401", "auth"),
        ).forEach { case ->
            val answer = exchange(case.port, case.input.toByteArray())
            assertContains(answer.lineSequence().first(), case.status, message = "for ${case.input.take(60)}: $answer")
            assertContains(answer, case.type)
            assertIs<CallerResult.Answered>(deployment.awaitAnswer(0, "/print/after"))
        }
    }

    @Test
    fun oversizedHeadIsRefusedAsSuch() = withDaemons(folder, daemons = 1) { (deployment, _) ->
        val fields = (1..50).joinToString("") { "X-Long-$it: ${"x".repeat(2000)}\r\n" }

        val answer =
            exchange(
                deployment[0].ports.callers,
                "GET /print/x HTTP/1.1\r\nConnection: close\r\n$fields\r\n".toByteArray(),
            )

        assertContains(answer, "431")
        assertContains(answer, "head-too-large")
        assertIs<CallerResult.Answered>(deployment.awaitAnswer(0, "/print/after"))
    }

    @Test
    fun unfinishedRequestsAndFramesAreClosed() = withDaemons(folder, daemons = 1) { (deployment, _) ->
        val ports = deployment[0].ports
        listOf(
            "POST /print/x HTTP/1.1\r\nCont",
            "POST /print/y HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
        ).forEach { part ->
            Socket("127.0.0.1", ports.callers).use { it.getOutputStream().write(part.toByteArray()) }
        }
        assertEquals("", exchange(ports.peers, Random(1).nextBytes(4096)), "garbage instead of a hello")
        assertEquals("", exchange(ports.peers, frame(kind = 0x7F, byteArrayOf(1, 2, 3))), "malformed hello")
        assertContains(exchange(ports.peers, hello(version = 99)), "VersionMismatch")
        assertContains(exchange(ports.peers, hello(version = 1)), "UnknownPeer")

        assertIs<CallerResult.Answered>(deployment.awaitAnswer(0, "/print/after"))
        // The log is written by a thread of its own and may come after the answer.
        val child = deployment[0].child
        val line = "event=link_refused"
        child.await("the line of a refused link", 10.seconds) { line.takeIf { it in child.text() } }
        assertContains(child.text(), line)
    }

    private class Case(val port: Int, val input: String, val status: String, val type: String)

    /** Sends [input] and returns everything until the daemon closes the connection. */
    private fun exchange(port: Int, input: ByteArray): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = DEADLINE.inWholeMilliseconds.toInt()
        try {
            socket.getOutputStream().write(input)
            socket.getInputStream().readAllBytes().decodeToString()
        } catch (_: java.net.SocketException) {
            // The daemon closed before it had read everything.
            ""
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun hello(version: Int): ByteArray =
        frame(kind = 0x7F, Cbor.encodeToByteArray(Hello.serializer(), Hello(version, from = "stranger", to = "d1")))

    private fun frame(kind: Int, payload: ByteArray): ByteArray = java.io.ByteArrayOutputStream().also { bytes ->
        DataOutputStream(bytes).run {
            writeInt(payload.size)
            writeByte(kind)
            write(payload)
        }
    }.toByteArray()

    @Serializable
    private class Hello(val version: Int, val from: String, val to: String)
}
