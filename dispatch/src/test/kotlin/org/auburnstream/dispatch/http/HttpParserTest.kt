package org.auburnstream.dispatch.http

import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HttpParserTest {
    private val limits = HttpLimits(maxHeadBytes = 500, maxBodyBytes = 100)

    private fun parser(text: String, isResponse: Boolean = false) =
        HttpParser(isResponse) { limits }.apply { add(ByteBuffer.wrap(text.toByteArray())) }

    private fun status(text: String): Int = assertIs<Parsed.Bad>(parser(text).next()).status

    @Test
    fun requestsInOneStreamAreTakenOneAfterTheOther() {
        val parser = parser("POST /a?b=c HTTP/1.1\r\nHost: h:1\r\nContent-Length: 2\r\n\r\nxyGET /d HTTP/1.1\r\n\r\n")
        val first = assertIs<Parsed.Request>(parser.next()).request
        val second = assertIs<Parsed.Request>(parser.next()).request

        assertEquals(
            listOf("POST", "/a", "c", "h", "xy"),
            first.run {
                listOf(method, path, parameter("b"), host, body.decodeToString())
            },
        )
        assertEquals("/d", second.target)
        assertEquals(Parsed.Incomplete, parser.next())
    }

    @Test
    fun aChunkedBodyIsPutTogether() {
        val text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"

        assertEquals("abcde", assertIs<Parsed.Request>(parser(text).next()).request.body.decodeToString())
    }

    @Test
    fun aMessageWithoutACertainEndIsRefused() {
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
        assertEquals(501, status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na"))
        assertEquals(501, status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"))
        assertEquals(400, status("nonsense\r\n\r\n"))
    }

    @Test
    fun whatIsTooLargeIsRefusedBeforeItHasArrived() {
        assertEquals(413, status("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"))
        assertEquals(431, status("GET / HTTP/1.1\r\nX: ${"y".repeat(600)}"))
    }

    @Test
    fun anAnswerArrivesInAnyPieces() {
        val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".toByteArray()
        repeat(50) { seed ->
            val random = Random(seed)
            val parser = HttpParser(isResponse = true) { limits }
            var at = 0
            var parsed: Parsed = Parsed.Incomplete
            while (at < bytes.size) {
                assertEquals(Parsed.Incomplete, parsed)
                val count = random.nextInt(1, bytes.size - at + 1)
                parser.add(ByteBuffer.wrap(bytes, at, count))
                at += count
                parsed = parser.next()
            }
            assertEquals("hello", assertIs<Parsed.Response>(parsed).response.body.decodeToString())
        }
    }
}
