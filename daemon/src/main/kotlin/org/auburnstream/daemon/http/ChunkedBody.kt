package org.auburnstream.daemon.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readUTF8Line

/**
 * Reads a chunked body strictly (RFC 9112, section 7.1).
 *
 * Ktor's decoder takes a connection that ends inside a chunk for the end of the body, so a truncated body would look
 * whole.
 */
internal class ChunkedBody(private val input: ByteReadChannel) {
    private var left = 0L
    private var ended = false

    /**
     * Reads up to [length] bytes into [bytes] from [offset], and returns their number, or -1 after the last chunk.
     *
     * @throws ChunkedBodyException if the body is cut short or malformed.
     */
    suspend fun read(bytes: ByteArray, offset: Int, length: Int): Int {
        if (ended) return -1
        if (left == 0L && !nextChunk()) return -1
        val count = input.readAvailable(bytes, offset, minOf(left, length.toLong()).toInt())
        if (count < 0) throw ChunkedBodyException("connection ended inside a chunk")
        left -= count
        if (left == 0L && line().isNotEmpty()) throw ChunkedBodyException("chunk is longer than announced")
        return count
    }

    /** Reads until [bytes] is full or the body ends, and returns the number of bytes read. */
    suspend fun fill(bytes: ByteArray): Int {
        var count = 0
        while (count < bytes.size) {
            val read = read(bytes, count, bytes.size - count)
            if (read < 0) return count
            count += read
        }
        return count
    }

    private suspend fun nextChunk(): Boolean {
        val size = line().substringBefore(';').trim()
        val digits = size.length in 1..MAX_SIZE_DIGITS && size.all { it in '0'..'9' || it.lowercaseChar() in 'a'..'f' }
        if (!digits) throw ChunkedBodyException("chunk size '$size'")
        left = size.toLong(radix = 16)
        if (left > 0) return true
        repeat(MAX_TRAILERS) {
            if (line().isEmpty()) {
                ended = true
                return false
            }
        }
        throw ChunkedBodyException("more than $MAX_TRAILERS trailer lines")
    }

    private suspend fun line(): String =
        input.readUTF8Line(MAX_LINE) ?: throw ChunkedBodyException("connection ended between chunks")

    private companion object {
        const val MAX_SIZE_DIGITS = 15
        const val MAX_TRAILERS = 64
        const val MAX_LINE = 1024
    }
}

/** A chunked body that breaks the protocol in the way that [detail] names. */
internal class ChunkedBodyException(detail: String) : Exception("malformed chunked body: $detail")
