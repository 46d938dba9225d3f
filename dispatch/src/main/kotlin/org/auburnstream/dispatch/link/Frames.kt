package org.auburnstream.dispatch.link

import java.nio.ByteBuffer

/** Kinds of frames between processes. */
internal enum class FrameKind {
    /** Names the sender; the first frame of a link. */
    HELLO,

    /** Message of a replicated group. */
    CONSENSUS,

    /** Request to or answer of the leader of a replicated group. */
    PROPOSAL,

    /** Call that wants a [REPLY] with the same number. */
    CALL,

    /** Answer to a [CALL]. */
    REPLY,

    /** What the sender knows of the group. */
    STATUS,

    /** Asks for a [PONG]. */
    PING,

    /** Shows that the link works. */
    PONG,
}

/** One unit on a link: a length of 4 bytes, a kind, a number of 8 bytes and the payload. */
internal class Frame(val kind: FrameKind, val number: Long, val payload: ByteArray) {
    fun encode(): ByteArray = ByteBuffer.allocate(HEADER_BYTES + payload.size)
        .putInt(payload.size)
        .put(kind.ordinal.toByte())
        .putLong(number)
        .put(payload)
        .array()

    companion object {
        const val HEADER_BYTES = 13

        /** Bounds a snapshot part, a batch of entries and a forwarded request. */
        const val MAX_PAYLOAD_BYTES = 2 * 1024 * 1024
    }
}

/** Takes frames out of a stream of bytes. */
internal class FrameReader {
    private var data = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Adds [bytes] and passes each whole frame to [take]; returns false if the stream cannot be read further. */
    fun read(bytes: ByteBuffer, take: (Frame) -> Unit): Boolean {
        val count = bytes.remaining()
        if (data.size - size < count) data = data.copyOf(maxOf(data.size * 2, size + count))
        bytes.get(data, size, count)
        size += count
        var at = 0
        while (size - at >= Frame.HEADER_BYTES) {
            val header = ByteBuffer.wrap(data, at, Frame.HEADER_BYTES)
            val length = header.int
            val kind = KINDS.getOrNull(header.get().toInt())
            val number = header.long
            if (length !in 0..Frame.MAX_PAYLOAD_BYTES || kind == null) return false
            if (size - at - Frame.HEADER_BYTES < length) break
            val from = at + Frame.HEADER_BYTES
            take(Frame(kind, number, data.copyOfRange(from, from + length)))
            at = from + length
        }
        data.copyInto(data, 0, at, size)
        size -= at
        if (size == 0 && data.size > KEPT_BYTES) data = ByteArray(INITIAL_BYTES)
        return true
    }

    private companion object {
        val KINDS = FrameKind.entries
        const val INITIAL_BYTES = 4096

        /** A buffer that grew beyond this for one large frame is given up again. */
        const val KEPT_BYTES = 256 * 1024
    }
}
