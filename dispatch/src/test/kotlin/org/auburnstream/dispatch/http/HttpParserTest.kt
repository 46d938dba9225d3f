package org.auburnstream.dispatch.http

import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/**
 * Guards against misread message boundaries: pipelined, chunked or split messages parsed wrongly, and messages with
 * ambiguous framing or excessive size accepted.
 */
class HttpParserTest {
    private val limits = HttpLimits(maxHeadBytes = 500, maxBodyBytes = 100)

    private fun parser(text: String, isResponse: Boolean = false) =
        HttpParser(isResponse) { limits }.apply { append(ByteBuffer.wrap(text.toByteArray())) }

    private fun status(text: String): Int = assertIs<ParseResult.Rejected>(parser(text).next()).status

    @Test
    fun pipelinedRequestsAreParsedInOrder() {
        val parser = parser("POST /a?b=c HTTP/1.1\r\nHost: h:1\r\nContent-Length: 2\r\n\r\nxyGET /d HTTP/1.1\r\n\r\n")
        val first = assertIs<ParseResult.Request>(parser.next()).request
        val second = assertIs<ParseResult.Request>(parser.next()).request

        assertEquals(
            listOf("POST", "/a", "c", "h", "xy"),
            first.run {
                listOf(method, path, parameter("b"), host, body.decodeToString())
            },
        )
        assertEquals("/d", second.target)
        assertEquals(ParseResult.Incomplete, parser.next())
    }

    @Test
    fun chunkedBodyIsReassembled() {
        val text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"

        assertEquals("abcde", assertIs<ParseResult.Request>(parser(text).next()).request.body.decodeToString())
    }

    @Test
    fun messageWithAmbiguousFramingIsRejected() {
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
        assertEquals(501, status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na"))
        assertEquals(501, status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"))
        assertEquals(400, status("nonsense\r\n\r\n"))
    }

    @Test
    fun oversizedMessageIsRejectedBeforeItHasArrived() {
        assertEquals(413, status("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"))
        assertEquals(431, status("GET / HTTP/1.1\r\nX: ${"y".repeat(600)}"))
    }

    @Test
    fun responseSplitAtArbitraryPositionsIsParsed() {
        val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".toByteArray()
        repeat(50) { seed ->
            val random = Random(seed)
            val parser = HttpParser(isResponse = true) { limits }
            var at = 0
            var parsed: ParseResult = ParseResult.Incomplete
            while (at < bytes.size) {
                assertEquals(ParseResult.Incomplete, parsed)
                val count = random.nextInt(1, bytes.size - at + 1)
                parser.append(ByteBuffer.wrap(bytes, at, count))
                at += count
                parsed = parser.next()
            }
            assertEquals("hello", assertIs<ParseResult.Response>(parsed).response.body.decodeToString())
        }
    }
}
