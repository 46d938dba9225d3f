package org.auburnstream.storage

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Encodes and decodes the frames of which the files consist.
 *
 * A frame contains the payload length, the CRC32C of the payload, the CRC32C of these eight bytes, the payload and the
 * padding up to a multiple of the block size.
 *
 * The checksum of the header distinguishes a corrupt length from an incomplete frame, so that only incomplete frames
 * are truncated. Frames are aligned to blocks so that a disk sector left unwritten by a crash covers at least one
 * complete block of a frame. The padding is not zero, so a block of zeros is recognized as unwritten.
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

    /** Returns the size of a frame in bytes for a payload of [payloadBytes]. */
    fun frameBytes(payloadBytes: Int): Int = (HEADER_BYTES + payloadBytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES

    /** Decodes the frame at [offset] in [bytes]. */
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

/** Result of decoding a frame at an offset of a file. */
internal sealed interface Frame {
    /** The offset is the end of the file. */
    data object End : Frame

    /** The last frame of the file is incomplete, so its write was never acknowledged. */
    data object Torn : Frame

    /** The frame changed after it was written. */
    data class Corrupt(val detail: String) : Frame

    /** The frame is intact and contains [payload]; the next frame starts at [nextOffset]. */
    class Complete(val payload: ByteArray, val nextOffset: Int) : Frame
}
