package org.auburnstream.dispatch.link

import java.nio.ByteBuffer

/** Kinds of frames between processes; the ordinal is the value on the wire. */
internal enum class FrameKind {
    /** First frame of a link; its payload is the name of the sender. */
    HELLO,

    /** Consensus message of a replicated group. */
    CONSENSUS,

    /** Proposal to the leader of a replicated group, or the answer to one. */
    PROPOSAL,

    /** Call that expects a [REPLY] with the same number. */
    CALL,

    /** Answer to a [CALL]. */
    REPLY,

    /** Status of the control group as the sender knows it. */
    STATUS,

    /** Requests a [PONG]. */
    PING,

    /** Answer to a [PING]. */
    PONG,
}

/** Unit of transfer on a link: payload length (4 bytes), kind (1 byte), number (8 bytes), payload. */
internal class Frame(val kind: FrameKind, val number: Long, val payload: ByteArray) {
    fun encode(): ByteArray = ByteBuffer.allocate(HEADER_BYTES + payload.size)
        .putInt(payload.size)
        .put(kind.ordinal.toByte())
        .putLong(number)
        .put(payload)
        .array()

    companion object {
        const val HEADER_BYTES = 13

        /** Upper limit for a snapshot part, a batch of entries and a forwarded request or its answer. */
        const val MAX_PAYLOAD_BYTES = 4 * 1024 * 1024 + 64 * 1024
    }
}

/**
 * Reassembles frames from a stream of bytes.
 *
 * @property maxPayloadBytes largest payload that is read, asked for each frame.
 */
internal class FrameReader(private val maxPayloadBytes: () -> Int = { Frame.MAX_PAYLOAD_BYTES }) {
    private var data = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Appends [bytes] and passes each complete frame to [onFrame]; returns false if the stream is malformed. */
    fun read(bytes: ByteBuffer, onFrame: (Frame) -> Unit): Boolean {
        val count = bytes.remaining()
        if (data.size - size < count) data = data.copyOf(maxOf(data.size * 2, size + count))
        bytes.get(data, size, count)
        size += count
        var offset = 0
        while (size - offset >= Frame.HEADER_BYTES) {
            val header = ByteBuffer.wrap(data, offset, Frame.HEADER_BYTES)
            val length = header.int
            val kind = KINDS.getOrNull(header.get().toInt())
            val number = header.long
            if (length !in 0..maxPayloadBytes() || kind == null) return false
            if (size - offset - Frame.HEADER_BYTES < length) break
            val payloadStart = offset + Frame.HEADER_BYTES
            onFrame(Frame(kind, number, data.copyOfRange(payloadStart, payloadStart + length)))
            offset = payloadStart + length
        }
        data.copyInto(data, 0, offset, size)
        size -= offset
        if (size == 0 && data.size > MAX_EMPTY_BUFFER_BYTES) data = ByteArray(INITIAL_BYTES)
        return true
    }

    private companion object {
        val KINDS = FrameKind.entries
        const val INITIAL_BYTES = 4096

        /** An empty buffer that has grown beyond this for a large frame is replaced by a small one. */
        const val MAX_EMPTY_BUFFER_BYTES = 256 * 1024
    }
}
