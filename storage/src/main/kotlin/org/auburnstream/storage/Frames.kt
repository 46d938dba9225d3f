package org.auburnstream.storage

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Frames of a file: payload length, CRC32C of the payload, CRC32C of these eight bytes, payload, padding.
 *
 * The checksum of the header tells a damaged length from a frame that was not written to its end, so that only the
 * latter is ever cut off. Frames are aligned so that a sector which a crash left unwritten covers a whole unit of
 * a frame, and the padding is not zero so that such a unit stands out.
 */
internal object Frames {
    const val HEADER_BYTES = 12

    fun encode(payload: ByteArray): ByteArray {
        val buffer = ByteBuffer.allocate(frameBytes(payload.size))
        buffer.putInt(payload.size)
        buffer.putInt(checksum(payload, 0, payload.size))
        buffer.putInt(checksum(buffer.array(), 0, CHECKED_HEADER_BYTES))
        buffer.put(payload)
        while (buffer.hasRemaining()) buffer.put(PADDING)
        return buffer.array()
    }

    /** Returns the size of the frame of a payload of [payloadBytes]. */
    fun frameBytes(payloadBytes: Int): Int = (HEADER_BYTES + payloadBytes + UNIT_BYTES - 1) / UNIT_BYTES * UNIT_BYTES

    /** Reads the frame at [offset] of [bytes]. */
    fun decode(bytes: ByteArray, offset: Int): Frame {
        val rest = bytes.size - offset
        if (rest == 0) return Frame.End
        if (rest < HEADER_BYTES) return Frame.Torn
        if (!isHeader(bytes, offset)) {
            val unwritten = isZero(bytes, offset, minOf(bytes.size, offset + UNIT_BYTES))
            val isLast = (offset..bytes.size - HEADER_BYTES step UNIT_BYTES).none { isHeader(bytes, it) }
            return if (unwritten && isLast) Frame.Torn else Frame.Damaged("checksum of a frame header")
        }
        val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
        val length = header.getInt()
        val expected = header.getInt()
        if (length > rest || frameBytes(length) > rest) return Frame.Torn
        val end = offset + frameBytes(length)
        val payloadEnd = offset + HEADER_BYTES + length
        val padded = (payloadEnd until end).all { bytes[it] == PADDING }
        val checked = checksum(bytes, offset + HEADER_BYTES, length) == expected
        if (padded && checked) return Frame.Whole(bytes.copyOfRange(offset + HEADER_BYTES, payloadEnd), end)
        val torn = end == bytes.size && hasUnwrittenUnit(bytes, offset, end)
        return if (torn) Frame.Torn else Frame.Damaged("checksum of a frame")
    }

    private fun isHeader(bytes: ByteArray, offset: Int): Boolean {
        val stored = ByteBuffer.wrap(bytes).getInt(offset + CHECKED_HEADER_BYTES)
        return stored == checksum(bytes, offset, CHECKED_HEADER_BYTES)
    }

    private fun hasUnwrittenUnit(bytes: ByteArray, start: Int, end: Int): Boolean =
        (start until end step UNIT_BYTES).any { isZero(bytes, it, it + UNIT_BYTES) }

    private fun isZero(bytes: ByteArray, start: Int, end: Int): Boolean =
        (start until end).all { bytes[it] == 0.toByte() }

    private fun checksum(bytes: ByteArray, offset: Int, length: Int): Int {
        val crc = CRC32C()
        crc.update(bytes, offset, length)
        return crc.value.toInt()
    }

    private const val CHECKED_HEADER_BYTES = 8
    private const val UNIT_BYTES = 32
    private const val PADDING: Byte = 0x5A
}

/** What stands at a position of a file of frames. */
internal sealed interface Frame {
    /** The file ends here. */
    data object End : Frame

    /** The last frame was not written to its end, so it was never acknowledged. */
    data object Torn : Frame

    /** The frame was altered after it was written. */
    data class Damaged(val detail: String) : Frame

    /** A frame with its [payload]; the next one starts at [next]. */
    class Whole(val payload: ByteArray, val next: Int) : Frame
}
