package org.auburnstream.dispatch.http

import java.nio.ByteBuffer

/**
 * Parses HTTP/1.1 requests or responses (RFC 9112) incrementally from a stream of bytes.
 *
 * Each byte of a message is examined once, and the framing of chunks is not kept. A message whose framing is ambiguous
 * or exceeds a limit makes the rest of the stream unusable: conflicting lengths, an unsupported transfer coding, a head
 * or body larger than [limits] allow, or more than [MAX_FRAMING_RATIO] bytes of framing for each byte of the largest
 * body.
 *
 * @property limits limits in force, read for each head and each chunk.
 * @property reserve called with the number of bytes that the parser is about to hold; returns whether it may. A
 *   message that may not be held is rejected with [UNAVAILABLE].
 */
internal class HttpParser(
    private val isResponse: Boolean,
    private val reserve: (Long) -> Boolean = { true },
    private val limits: () -> HttpLimits,
) {
    private enum class Part { HEAD, BODY, CHUNK_LINE, CHUNK, CHUNK_END, TRAILER, OVER }

    private var part = Part.HEAD
    private var result: ParseResult? = null

    /** Bytes after a complete message, from [restStart] on. */
    private var rest = EMPTY
    private var restStart = 0

    private var head = EMPTY
    private var headSize = 0

    /** Number of bytes of [HEAD_END] that the head ends with. */
    private var headEndMatched = 0
    private var startLine = ""
    private var headers: Map<String, String> = emptyMap()

    private var body = EMPTY
    private var bodySize = 0
    private var chunkLeft = 0
    private var framingBytes = 0L

    /** Text of a chunk's size, and the length of its line so far. */
    private val sizeText = StringBuilder()
    private var lineBytes = 0
    private var isInExtension = false
    private var isAfterCr = false

    /** Whether there are bytes that have not been parsed into a message that [next] has returned. */
    val isInMessage: Boolean
        get() = result != null || part != Part.HEAD || headSize > 0 || restStart < rest.size

    /** Whether bytes that follow the current message wait to be parsed. */
    val hasRest: Boolean
        get() = restStart < rest.size

    /** Number of bytes that the parser holds. */
    val heldBytes: Long
        get() = 0L + head.size + body.size + rest.size

    /** Parses [bytes] up to the end of the current message and keeps the rest; returns false if it may not keep it. */
    fun append(bytes: ByteBuffer): Boolean {
        if (restStart == rest.size) parse(bytes)
        val isUnusable = part == Part.OVER && result.let { it == null || it is ParseResult.Rejected }
        if (!bytes.hasRemaining() || isUnusable) return true
        val left = rest.size - restStart
        if (!reserve(heldBytes + left + bytes.remaining())) return false
        val joined = ByteArray(left + bytes.remaining())
        rest.copyInto(joined, 0, restStart)
        bytes.get(joined, left, bytes.remaining())
        rest = joined
        restStart = 0
        return true
    }

    /** Removes and returns the next complete message, or returns why there is none. */
    fun next(): ParseResult {
        if (result == null && restStart < rest.size) {
            val bytes = ByteBuffer.wrap(rest, restStart, rest.size - restStart)
            parse(bytes)
            restStart = bytes.position()
            if (restStart == rest.size) clearRest()
        }
        val current = result ?: return ParseResult.Incomplete
        if (current !is ParseResult.Rejected) startMessage()
        return current
    }

    /** Drops all that is held; the stream cannot be parsed any further. */
    fun clear() {
        clearRest()
        startMessage()
        part = Part.OVER
    }

    private fun clearRest() {
        rest = EMPTY
        restStart = 0
    }

    private fun startMessage() {
        part = Part.HEAD
        result = null
        head = EMPTY
        headSize = 0
        headEndMatched = 0
        headers = emptyMap()
        startLine = ""
        body = EMPTY
        bodySize = 0
        framingBytes = 0
    }

    private fun parse(bytes: ByteBuffer) {
        while (bytes.hasRemaining() && part != Part.OVER) {
            when (part) {
                Part.HEAD -> readHead(bytes)
                Part.BODY -> readBody(bytes)
                Part.CHUNK_LINE -> readChunkLine(bytes)
                Part.CHUNK -> readChunk(bytes)
                Part.CHUNK_END -> readChunkEnd(bytes.get())
                Part.TRAILER -> readTrailer(bytes.get())
                Part.OVER -> Unit
            }
        }
    }

    private fun readHead(bytes: ByteBuffer) {
        val maxBytes = limits().maxHeadBytes
        while (bytes.hasRemaining()) {
            val byte = bytes.get()
            if (headSize == head.size && !growHead(maxBytes)) return
            head[headSize++] = byte
            headEndMatched = when {
                byte == HEAD_END[headEndMatched] -> headEndMatched + 1
                byte == CR -> 1
                else -> 0
            }
            if (headSize - headEndMatched > maxBytes) return reject(HEAD_TOO_LARGE, "head too large")
            if (headEndMatched == HEAD_END.size) return endHead()
        }
    }

    private fun growHead(maxBytes: Int): Boolean {
        // The limit may have become smaller since the head began.
        if (headSize >= maxBytes + HEAD_END.size) {
            reject(HEAD_TOO_LARGE, "head too large")
            return false
        }
        val size = (head.size * 2).coerceIn(INITIAL_HEAD_BYTES, maxOf(INITIAL_HEAD_BYTES, maxBytes + HEAD_END.size))
        if (!mayHold(heldBytes - head.size + size)) return false
        head = head.copyOf(size)
        return true
    }

    private fun endHead() {
        val lines = String(head, 0, headSize - HEAD_END.size, Charsets.ISO_8859_1).split("\r\n")
        startLine = lines[0]
        headers = parseHeaders(lines) ?: return reject(BAD_REQUEST, "malformed header")
        val coding = headers["transfer-encoding"] ?: return startBody(headers["content-length"] ?: "0")
        val isChunked = coding.equals("chunked", ignoreCase = true) && "content-length" !in headers
        if (!isChunked) return reject(NOT_IMPLEMENTED, "unknown transfer coding")
        startLine()
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

    private fun startBody(lengthText: String) {
        val length = lengthText.toLongOrNull()?.takeIf { it >= 0 } ?: return reject(BAD_REQUEST, "bad length")
        if (length > limits().maxBodyBytes) return reject(BODY_TOO_LARGE, "body too large")
        if (length == 0L) return end()
        if (!mayHold(heldBytes + length)) return
        body = ByteArray(length.toInt())
        part = Part.BODY
    }

    private fun readBody(bytes: ByteBuffer) {
        copyToBody(bytes, body.size - bodySize)
        if (bodySize == body.size) end()
    }

    private fun copyToBody(bytes: ByteBuffer, maxCount: Int): Int {
        val count = minOf(bytes.remaining(), maxCount)
        bytes.get(body, bodySize, count)
        bodySize += count
        return count
    }

    private fun startLine() {
        part = Part.CHUNK_LINE
        sizeText.setLength(0)
        lineBytes = 0
        isInExtension = false
        isAfterCr = false
    }

    private fun readChunkLine(bytes: ByteBuffer) {
        while (bytes.hasRemaining()) {
            val byte = bytes.get()
            if (!countFraming()) return
            if (isAfterCr && byte == LF) return startChunk()
            lineBytes += 1
            if (lineBytes > MAX_CHUNK_LINE_BYTES) return reject(BAD_REQUEST, "bad chunk")
            if (isAfterCr && !isInExtension) sizeText.append('\r')
            isAfterCr = byte == CR
            if (byte == SEMICOLON) isInExtension = true
            if (!isAfterCr && !isInExtension) sizeText.append((byte.toInt() and BYTE_MASK).toChar())
        }
    }

    private fun startChunk() {
        val size = sizeText.trim().toString().toIntOrNull(HEXADECIMAL)?.takeIf { it >= 0 }
            ?: return reject(BAD_REQUEST, "bad chunk")
        val maxBytes = limits().maxBodyBytes
        val needed = bodySize.toLong() + size
        if (needed > maxBytes) return reject(BODY_TOO_LARGE, "body too large")
        if (needed > body.size && !growBody(needed.toInt(), maxBytes)) return
        chunkLeft = size
        isAfterCr = false
        lineBytes = 0
        part = if (size == 0) Part.TRAILER else Part.CHUNK
    }

    private fun growBody(needed: Int, maxBytes: Int): Boolean {
        val size = maxOf(needed, minOf(body.size * 2, maxBytes))
        if (!mayHold(heldBytes - body.size + size)) return false
        body = body.copyOf(size)
        return true
    }

    private fun readChunk(bytes: ByteBuffer) {
        chunkLeft -= copyToBody(bytes, chunkLeft)
        if (chunkLeft == 0) part = Part.CHUNK_END
    }

    private fun readChunkEnd(byte: Byte) {
        if (!countFraming()) return
        when {
            !isAfterCr && byte == CR -> isAfterCr = true
            isAfterCr && byte == LF -> startLine()
            else -> reject(BAD_REQUEST, "bad chunk")
        }
    }

    /** No caller uses trailer fields, so the line after the last chunk is taken as the end of the message. */
    private fun readTrailer(byte: Byte) {
        lineBytes += 1
        when {
            isAfterCr && byte == LF -> {
                if (bodySize < body.size) body = body.copyOf(bodySize)
                end()
            }
            lineBytes > MAX_CHUNK_LINE_BYTES -> reject(BAD_REQUEST, "bad chunk")
            else -> isAfterCr = byte == CR
        }
    }

    private fun countFraming(): Boolean {
        framingBytes += 1
        val maxBytes = MAX_FRAMING_RATIO * limits().maxBodyBytes + MAX_CHUNK_LINE_BYTES
        if (framingBytes > maxBytes) reject(BAD_REQUEST, "too much framing")
        return framingBytes <= maxBytes
    }

    private fun mayHold(bytes: Long): Boolean {
        val isGranted = reserve(bytes)
        if (!isGranted) reject(UNAVAILABLE, "too much to hold")
        return isGranted
    }

    private fun reject(status: Int, detail: String) {
        clear()
        result = ParseResult.Rejected(status, detail)
    }

    private fun end() {
        result = toMessage()
        part = Part.OVER
    }

    private fun toMessage(): ParseResult {
        val parts = startLine.split(' ', limit = START_LINE_PARTS)
        if (isResponse) {
            val status = parts.getOrNull(1)?.toIntOrNull()?.takeIf { parts[0].startsWith("HTTP/1.") }
                ?: return ParseResult.Rejected(BAD_REQUEST, "bad status line")
            return ParseResult.Response(HttpResponse(status, body, headers))
        }
        val isValid = parts.size == START_LINE_PARTS && parts[2].startsWith("HTTP/1.") && parts[1].startsWith("/")
        if (!isValid) return ParseResult.Rejected(BAD_REQUEST, "bad request line")
        val request = HttpRequest(parts[0], parts[1], headers, body)
        return ParseResult.Request(request, keepsAlive(parts[2], headers), headSize)
    }

    private fun keepsAlive(version: String, headers: Map<String, String>): Boolean {
        val connection = headers["connection"].orEmpty()
        if (version == "HTTP/1.0") return connection.equals("keep-alive", ignoreCase = true)
        return !connection.equals("close", ignoreCase = true)
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val INITIAL_HEAD_BYTES = 512
        const val START_LINE_PARTS = 3
        const val MAX_CHUNK_LINE_BYTES = 1024

        /** Chunks of one byte have five bytes of framing for each. */
        const val MAX_FRAMING_RATIO = 8L
        const val HEXADECIMAL = 16
        const val BYTE_MASK = 0xff
        const val BAD_REQUEST = 400
        const val BODY_TOO_LARGE = 413
        const val HEAD_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501
        const val UNAVAILABLE = 503
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
        const val SEMICOLON = ';'.code.toByte()
        val HEAD_END = byteArrayOf(CR, LF, CR, LF)
    }
}

/** Maximum sizes of the head and the body of a message. */
public data class HttpLimits(val maxHeadBytes: Int, val maxBodyBytes: Int)

/** Result of [HttpParser.next]. */
internal sealed interface ParseResult {
    /** The buffer does not hold a complete message yet. */
    data object Incomplete : ParseResult

    /** A request with a head of [headBytes]; [keepsAlive] tells whether the connection stays open afterwards. */
    class Request(val request: HttpRequest, val keepsAlive: Boolean, val headBytes: Int) : ParseResult

    /** A response. */
    class Response(val response: HttpResponse) : ParseResult

    /** The stream cannot be parsed any further; [status] is the status code for the rejected request. */
    class Rejected(val status: Int, val detail: String) : ParseResult
}
