package org.auburnstream.storage

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Frames of a file: payload length, CRC32C of the payload, CRC32C of these eight bytes, payload.
 *
 * The checksum of the header tells a damaged length from a frame that was not written to its end, so that only the
 * latter is ever cut off.
 */
internal object Frames {
    const val HEADER_BYTES = 12

    fun encode(payload: ByteArray): ByteArray {
        val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
        buffer.putInt(payload.size)
        buffer.putInt(checksum(payload, 0, payload.size))
        buffer.putInt(checksum(buffer.array(), 0, CHECKED_HEADER_BYTES))
        buffer.put(payload)
        return buffer.array()
    }

    /** Reads the frame at [offset] of [bytes]. */
    fun decode(bytes: ByteArray, offset: Int): Frame {
        val rest = bytes.size - offset
        if (rest == 0) return Frame.End
        if (rest < HEADER_BYTES) return Frame.Torn
        val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
        val length = header.getInt()
        val expected = header.getInt()
        if (header.getInt() != checksum(bytes, offset, CHECKED_HEADER_BYTES)) {
            return if (isZero(bytes, offset, bytes.size)) Frame.Torn else Frame.Damaged("checksum of a frame header")
        }
        val start = offset + HEADER_BYTES
        if (length > bytes.size - start) return Frame.Torn
        val end = start + length
        if (checksum(bytes, start, length) == expected) return Frame.Whole(bytes.copyOfRange(start, end), end)
        val unwritten = end == bytes.size && hasUnwrittenSector(bytes, start, end)
        return if (unwritten) Frame.Torn else Frame.Damaged("checksum of a frame")
    }

    /** Whether a sector between [start] and [end] holds zeros only, as after a crash amid the write. */
    private fun hasUnwrittenSector(bytes: ByteArray, start: Int, end: Int): Boolean {
        val first = (start + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES
        return (first..end - SECTOR_BYTES step SECTOR_BYTES).any { isZero(bytes, it, it + SECTOR_BYTES) }
    }

    private fun isZero(bytes: ByteArray, start: Int, end: Int): Boolean = (start until end).all {
        bytes[it] ==
            0.toByte()
    }

    private fun checksum(bytes: ByteArray, offset: Int, length: Int): Int {
        val crc = CRC32C()
        crc.update(bytes, offset, length)
        return crc.value.toInt()
    }

    private const val CHECKED_HEADER_BYTES = 8
    private const val SECTOR_BYTES = 512
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
