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
internal object FrameCodec {
    const val HEADER_BYTES = 12

    fun encode(payload: ByteArray): ByteArray {
        val buffer = ByteBuffer.allocate(frameBytes(payload.size))
        buffer.putInt(payload.size)
        buffer.putInt(checksum(payload, 0, payload.size))
        buffer.putInt(checksum(buffer.array(), 0, CHECKSUMMED_HEADER_BYTES))
        buffer.put(payload)
        while (buffer.hasRemaining()) buffer.put(PADDING_BYTE)
        return buffer.array()
    }

    /** Returns the size of the frame of a payload of [payloadBytes]. */
    fun frameBytes(payloadBytes: Int): Int = (HEADER_BYTES + payloadBytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES

    /** Reads the frame at [offset] of [bytes]. */
    fun decode(bytes: ByteArray, offset: Int): Frame {
        val remaining = bytes.size - offset
        if (remaining == 0) return Frame.End
        if (remaining < HEADER_BYTES) return Frame.Torn
        if (!hasValidHeader(bytes, offset)) {
            val isUnwritten = isZero(bytes, offset, minOf(bytes.size, offset + BLOCK_BYTES))
            val isLast = (offset..bytes.size - HEADER_BYTES step BLOCK_BYTES).none { hasValidHeader(bytes, it) }
            return if (isUnwritten && isLast) Frame.Torn else Frame.Corrupt("checksum of a frame header")
        }
        val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
        val length = header.getInt()
        val payloadChecksum = header.getInt()
        if (length > remaining || frameBytes(length) > remaining) return Frame.Torn
        val end = offset + frameBytes(length)
        val payloadEnd = offset + HEADER_BYTES + length
        val isPaddingIntact = (payloadEnd until end).all { bytes[it] == PADDING_BYTE }
        val isPayloadIntact = checksum(bytes, offset + HEADER_BYTES, length) == payloadChecksum
        if (isPaddingIntact && isPayloadIntact) {
            return Frame.Complete(bytes.copyOfRange(offset + HEADER_BYTES, payloadEnd), end)
        }
        val isTorn = end == bytes.size && hasUnwrittenBlock(bytes, offset, end)
        return if (isTorn) Frame.Torn else Frame.Corrupt("checksum of a frame")
    }

    private fun hasValidHeader(bytes: ByteArray, offset: Int): Boolean {
        val stored = ByteBuffer.wrap(bytes).getInt(offset + CHECKSUMMED_HEADER_BYTES)
        return stored == checksum(bytes, offset, CHECKSUMMED_HEADER_BYTES)
    }

    private fun hasUnwrittenBlock(bytes: ByteArray, start: Int, end: Int): Boolean =
        (start until end step BLOCK_BYTES).any { isZero(bytes, it, it + BLOCK_BYTES) }

    private fun isZero(bytes: ByteArray, start: Int, end: Int): Boolean =
        (start until end).all { bytes[it] == 0.toByte() }

    private fun checksum(bytes: ByteArray, offset: Int, length: Int): Int {
        val crc = CRC32C()
        crc.update(bytes, offset, length)
        return crc.value.toInt()
    }

    private const val CHECKSUMMED_HEADER_BYTES = 8
    private const val BLOCK_BYTES = 32
    private const val PADDING_BYTE: Byte = 0x5A
}

/** What stands at a position of a file of frames. */
internal sealed interface Frame {
    /** The file ends here. */
    data object End : Frame

    /** The last frame was not written to its end, so it was never acknowledged. */
    data object Torn : Frame

    /** The frame was altered after it was written. */
    data class Corrupt(val detail: String) : Frame

    /** A frame with its [payload]; the next one starts at [next]. */
    class Complete(val payload: ByteArray, val nextOffset: Int) : Frame
}
