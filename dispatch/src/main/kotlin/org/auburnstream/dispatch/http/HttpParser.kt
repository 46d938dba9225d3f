package org.auburnstream.dispatch.http

import java.nio.ByteBuffer

/**
 * Parses HTTP/1.1 requests or responses (RFC 9112) incrementally from a stream of bytes.
 *
 * A message whose framing is ambiguous or exceeds a limit makes the rest of the stream unusable: conflicting lengths,
 * an unsupported transfer coding, or a head or body larger than [limits] allow.
 *
 * @property limits limits in force, read for each attempt to parse a message.
 */
internal class HttpParser(private val isResponse: Boolean, private val limits: () -> HttpLimits) {
    private var data = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Whether the buffer holds bytes that have not been parsed into a message. */
    val isInMessage: Boolean
        get() = end > start

    /** Appends [bytes] to the buffer. */
    fun append(bytes: ByteBuffer) {
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

    /** Removes and returns the next complete message, or returns why there is none. */
    fun next(): ParseResult {
        val headEnd = findHeadEnd()
        val currentLimits = limits()
        val headBytes = (if (headEnd < 0) end else headEnd) - start
        if (headBytes > currentLimits.maxHeadBytes) return ParseResult.Rejected(HEAD_TOO_LARGE, "head too large")
        if (headEnd < 0) return ParseResult.Incomplete
        val lines = String(data, start, headEnd - start, Charsets.ISO_8859_1).split("\r\n")
        val headers = parseHeaders(lines) ?: return ParseResult.Rejected(BAD_REQUEST, "malformed header")
        val bodyStart = headEnd + HEAD_END.size
        val coding = headers["transfer-encoding"] ?: return parseWithLength(lines[0], headers, bodyStart, currentLimits)
        val isChunked = coding.equals("chunked", ignoreCase = true) && "content-length" !in headers
        if (!isChunked) return ParseResult.Rejected(NOT_IMPLEMENTED, "unknown transfer coding")
        return parseChunked(lines[0], headers, bodyStart, currentLimits)
    }

    /** Returns the headers by lower-case name, or null if one is malformed or two content lengths conflict. */
    private fun parseHeaders(lines: List<String>): Map<String, String>? {
        val headers = HashMap<String, String>()
        for (line in lines.drop(1).filter { it.isNotEmpty() }) {
            val colon = line.indexOf(':')
            if (colon <= 0 || line[0] == ' ') return null
            val name = line.substring(0, colon).lowercase()
            val value = line.substring(colon + 1).trim()
            val previous = headers.put(name, value)
            if (name == "content-length" && previous != null && previous != value) return null
        }
        return headers
    }

    private fun parseWithLength(
        startLine: String,
        headers: Map<String, String>,
        bodyStart: Int,
        limits: HttpLimits,
    ): ParseResult {
        val text = headers["content-length"] ?: "0"
        val length = text.toLongOrNull()?.takeIf { it >= 0 } ?: return ParseResult.Rejected(BAD_REQUEST, "bad length")
        if (length > limits.maxBodyBytes) return ParseResult.Rejected(BODY_TOO_LARGE, "body too large")
        if (end - bodyStart < length) return ParseResult.Incomplete
        start = bodyStart + length.toInt()
        return toMessage(startLine, headers, data.copyOfRange(bodyStart, start))
    }

    private fun parseChunked(
        startLine: String,
        headers: Map<String, String>,
        bodyStart: Int,
        limits: HttpLimits,
    ): ParseResult {
        val body = java.io.ByteArrayOutputStream()
        var position = bodyStart
        while (true) {
            val lineEnd = findLineEnd(position)
            if (lineEnd < 0) {
                return if (end - position > MAX_CHUNK_LINE_BYTES) {
                    ParseResult.Rejected(BAD_REQUEST, "bad chunk")
                } else {
                    ParseResult.Incomplete
                }
            }
            val size = String(data, position, lineEnd - position, Charsets.ISO_8859_1).substringBefore(';').trim()
                .toIntOrNull(HEXADECIMAL)?.takeIf { it >= 0 } ?: return ParseResult.Rejected(BAD_REQUEST, "bad chunk")
            if (body.size() + size > limits.maxBodyBytes) return ParseResult.Rejected(BODY_TOO_LARGE, "body too large")
            val next = lineEnd + LINE_END_BYTES
            if (end - next < size + LINE_END_BYTES) return ParseResult.Incomplete
            if (size == 0) {
                // No caller uses trailer fields, so the line after the last chunk is taken as the empty line that
                // ends the message.
                val trailerEnd = findLineEnd(next)
                if (trailerEnd < 0) return ParseResult.Incomplete
                start = trailerEnd + LINE_END_BYTES
                return toMessage(startLine, headers, body.toByteArray())
            }
            body.write(data, next, size)
            position = next + size + LINE_END_BYTES
        }
    }

    private fun toMessage(startLine: String, headers: Map<String, String>, body: ByteArray): ParseResult {
        val parts = startLine.split(' ', limit = START_LINE_PARTS)
        if (isResponse) {
            val status = parts.getOrNull(1)?.toIntOrNull()?.takeIf { parts[0].startsWith("HTTP/1.") }
                ?: return ParseResult.Rejected(BAD_REQUEST, "bad status line")
            return ParseResult.Response(HttpResponse(status, body, headers))
        }
        val isValid = parts.size == START_LINE_PARTS && parts[2].startsWith("HTTP/1.") && parts[1].startsWith("/")
        if (!isValid) return ParseResult.Rejected(BAD_REQUEST, "bad request line")
        return ParseResult.Request(HttpRequest(parts[0], parts[1], headers, body), keepsAlive(parts[2], headers))
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
        const val START_LINE_PARTS = 3
        const val LINE_END_BYTES = 2
        const val MAX_CHUNK_LINE_BYTES = 1024
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

/** Maximum sizes of the head and the body of a message. */
public data class HttpLimits(val maxHeadBytes: Int, val maxBodyBytes: Int)

/** Result of [HttpParser.next]. */
internal sealed interface ParseResult {
    /** The buffer does not hold a complete message yet. */
    data object Incomplete : ParseResult

    /** A request; [keepsAlive] tells whether the connection stays open after its response. */
    class Request(val request: HttpRequest, val keepsAlive: Boolean) : ParseResult

    /** A response. */
    class Response(val response: HttpResponse) : ParseResult

    /** The stream cannot be parsed any further; [status] is the status code for the rejected request. */
    class Rejected(val status: Int, val detail: String) : ParseResult
}
