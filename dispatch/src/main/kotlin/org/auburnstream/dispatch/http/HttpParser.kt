package org.auburnstream.dispatch.http

import java.nio.ByteBuffer

/**
 * Takes HTTP/1.1 messages out of a stream of bytes (RFC 9112), for requests and responses alike.
 *
 * A message that cannot be framed without doubt ends the stream: two different lengths, an unknown transfer coding,
 * or a head or body beyond its bound.
 */
internal class HttpParser(private val isResponse: Boolean, private val limits: () -> HttpLimits) {
    private var data = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Whether part of a message has arrived. */
    val isInMessage: Boolean
        get() = end > start

    fun add(bytes: ByteBuffer) {
        val count = bytes.remaining()
        if (data.size - end < count) {
            val used = end - start
            val target = if (used + count > data.size) ByteArray(maxOf(data.size * 2, used + count)) else data
            data.copyInto(target, 0, start, end)
            data = target
            start = 0
            end = used
        }
        bytes.get(data, end, count)
        end += count
    }

    /** Returns the next whole message, or what stands in its way. */
    fun next(): Parsed {
        val headEnd = findHeadEnd()
        val bounds = limits()
        val headBytes = (if (headEnd < 0) end else headEnd) - start
        if (headBytes > bounds.maxHeadBytes) return Parsed.Bad(HEAD_TOO_LARGE, "head too large")
        if (headEnd < 0) return Parsed.Incomplete
        val lines = String(data, start, headEnd - start, Charsets.ISO_8859_1).split("\r\n")
        val headers = headers(lines) ?: return Parsed.Bad(BAD_REQUEST, "malformed header")
        val bodyStart = headEnd + HEAD_END.size
        val coding = headers["transfer-encoding"] ?: return sized(lines[0], headers, bodyStart, bounds)
        val isChunked = coding.equals("chunked", ignoreCase = true) && "content-length" !in headers
        if (!isChunked) return Parsed.Bad(NOT_IMPLEMENTED, "unknown transfer coding")
        return chunked(lines[0], headers, bodyStart, bounds)
    }

    /** Returns the headers, or null if one is malformed or two name different lengths. */
    private fun headers(lines: List<String>): Map<String, String>? {
        val headers = HashMap<String, String>()
        for (line in lines.drop(1).filter { it.isNotEmpty() }) {
            val colon = line.indexOf(':')
            if (colon <= 0 || line[0] == ' ') return null
            val name = line.substring(0, colon).lowercase()
            val value = line.substring(colon + 1).trim()
            val earlier = headers.put(name, value)
            if (name == "content-length" && earlier != null && earlier != value) return null
        }
        return headers
    }

    private fun sized(first: String, headers: Map<String, String>, bodyStart: Int, bounds: HttpLimits): Parsed {
        val text = headers["content-length"] ?: "0"
        val length = text.toLongOrNull()?.takeIf { it >= 0 } ?: return Parsed.Bad(BAD_REQUEST, "bad length")
        if (length > bounds.maxBodyBytes) return Parsed.Bad(BODY_TOO_LARGE, "body too large")
        if (end - bodyStart < length) return Parsed.Incomplete
        start = bodyStart + length.toInt()
        return message(first, headers, data.copyOfRange(bodyStart, start))
    }

    private fun chunked(first: String, headers: Map<String, String>, bodyStart: Int, bounds: HttpLimits): Parsed {
        val body = java.io.ByteArrayOutputStream()
        var position = bodyStart
        while (true) {
            val lineEnd = findLineEnd(position)
            if (lineEnd <
                0
            ) {
                return if (end - position > MAX_CHUNK_LINE) Parsed.Bad(BAD_REQUEST, "bad chunk") else Parsed.Incomplete
            }
            val size = String(data, position, lineEnd - position, Charsets.ISO_8859_1).substringBefore(';').trim()
                .toIntOrNull(HEXADECIMAL)?.takeIf { it >= 0 } ?: return Parsed.Bad(BAD_REQUEST, "bad chunk")
            if (body.size() + size > bounds.maxBodyBytes) return Parsed.Bad(BODY_TOO_LARGE, "body too large")
            val next = lineEnd + LINE_END_BYTES
            if (end - next < size + LINE_END_BYTES) return Parsed.Incomplete
            if (size == 0) {
                // Trailers are not used by any caller; the empty line ends the message.
                val trailerEnd = findLineEnd(next)
                if (trailerEnd < 0) return Parsed.Incomplete
                start = trailerEnd + LINE_END_BYTES
                return message(first, headers, body.toByteArray())
            }
            body.write(data, next, size)
            position = next + size + LINE_END_BYTES
        }
    }

    private fun message(first: String, headers: Map<String, String>, body: ByteArray): Parsed {
        val parts = first.split(' ', limit = FIRST_LINE_PARTS)
        if (isResponse) {
            val status = parts.getOrNull(1)?.toIntOrNull()?.takeIf { parts[0].startsWith("HTTP/1.") }
                ?: return Parsed.Bad(BAD_REQUEST, "bad status line")
            return Parsed.Response(HttpResponse(status, body, headers))
        }
        val isWhole = parts.size == FIRST_LINE_PARTS && parts[2].startsWith("HTTP/1.") && parts[1].startsWith("/")
        if (!isWhole) return Parsed.Bad(BAD_REQUEST, "bad request line")
        return Parsed.Request(HttpRequest(parts[0], parts[1], headers, body), keepsAlive(parts[2], headers))
    }

    private fun keepsAlive(version: String, headers: Map<String, String>): Boolean {
        val connection = headers["connection"].orEmpty()
        if (version == "HTTP/1.0") return connection.equals("keep-alive", ignoreCase = true)
        return !connection.equals("close", ignoreCase = true)
    }

    private fun findHeadEnd(): Int {
        var at = start
        val last = end - HEAD_END.size
        while (at <= last) {
            if (HEAD_END.indices.all { data[at + it] == HEAD_END[it] }) return at
            at += 1
        }
        return -1
    }

    private fun findLineEnd(from: Int): Int {
        var at = from
        while (at + 1 < end) {
            if (data[at] == CR && data[at + 1] == LF) return at
            at += 1
        }
        return -1
    }

    private companion object {
        const val INITIAL_BYTES = 2048
        const val FIRST_LINE_PARTS = 3
        const val LINE_END_BYTES = 2
        const val MAX_CHUNK_LINE = 1024
        const val HEXADECIMAL = 16
        const val BAD_REQUEST = 400
        const val BODY_TOO_LARGE = 413
        const val HEAD_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
        val HEAD_END = byteArrayOf(CR, LF, CR, LF)
    }
}

/** Bounds of messages in bytes. */
public data class HttpLimits(val maxHeadBytes: Int, val maxBodyBytes: Int)

/** Result of reading from a stream. */
internal sealed interface Parsed {
    data object Incomplete : Parsed

    class Request(val request: HttpRequest, val keepsAlive: Boolean) : Parsed

    class Response(val response: HttpResponse) : Parsed

    /** The stream cannot be read further; [status] answers the request that it broke off at. */
    class Bad(val status: Int, val detail: String) : Parsed
}
