package org.auburnstream.daemon.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.io.Buffer
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.io.indexOf

/**
 * Waits until [input] holds the whole head of an HTTP message, so that parsing it neither waits nor grows without
 * bound.
 *
 * @return false if the channel ended before the head began.
 * @throws HeadTooLargeException if the head exceeds [limit] bytes.
 * @throws HeadTruncatedException if the channel ended inside the head.
 */
@OptIn(InternalAPI::class)
internal suspend fun awaitHead(input: ByteReadChannel, limit: Int): Boolean {
    var known = 0
    while (true) {
        if (!input.awaitContent(known + 1)) {
            if (known == 0) return false
            throw HeadTruncatedException()
        }
        val buffer = input.readBuffer as Buffer
        val end = buffer.indexOf(HeadEnd)
        if (end > limit) throw HeadTooLargeException(limit)
        if (end >= 0) return true
        known = buffer.size.toInt()
        if (known > limit) throw HeadTooLargeException(limit)
    }
}

/** The head of a message is longer than [limit] bytes. */
internal class HeadTooLargeException(limit: Int) : Exception("head exceeds $limit bytes; send fewer or shorter headers")

/** The connection ended inside the head of a message. */
internal class HeadTruncatedException : Exception("connection ended inside the head")

private val HeadEnd: ByteString = "\r\n\r\n".encodeToByteString()
