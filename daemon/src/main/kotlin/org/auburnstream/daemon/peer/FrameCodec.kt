package org.auburnstream.daemon.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByte
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByte
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor

/** Largest payload of one frame in bytes. */
public const val MAX_FRAME_BYTES: Int = 1024 * 1024

/** Size of the header before a frame's payload: a 32-bit length and an 8-bit kind. */
internal const val FRAME_HEADER_BYTES: Int = 5

/** Kind of the two frames of the handshake; messages use the ordinal of their [PeerChannel]. */
internal const val HANDSHAKE_KIND: Int = 0x7F

/**
 * Length-prefixed unit of data on a link between daemons.
 *
 * @property kind ordinal of a [PeerChannel], or [HANDSHAKE_KIND].
 */
internal class Frame(val kind: Int, val payload: ByteArray)

/** Result of reading a frame. */
internal sealed interface FrameRead {
    /** A complete frame was read. */
    class Complete(val frame: Frame) : FrameRead

    /** The length prefix is outside 0..[MAX_FRAME_BYTES]; no further frame can be read, so the link must be closed. */
    data class LengthOutOfRange(val length: Int) : FrameRead
}

/**
 * Reads the next frame.
 *
 * The length is checked before the payload is allocated.
 *
 * @throws kotlinx.io.IOException if the connection ends.
 */
internal suspend fun ByteReadChannel.readFrame(): FrameRead {
    val length = readInt()
    if (length !in 0..MAX_FRAME_BYTES) return FrameRead.LengthOutOfRange(length)
    val kind = readByte().toInt()
    return FrameRead.Complete(Frame(kind, readByteArray(length)))
}

/** Writes [frame] without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(frame: Frame) {
    writeInt(frame.payload.size)
    writeByte(frame.kind.toByte())
    writeByteArray(frame.payload)
}

/** Encodes [value] as a handshake frame. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> handshakeFrame(serializer: SerializationStrategy<T>, value: T): Frame =
    Frame(HANDSHAKE_KIND, Cbor.encodeToByteArray(serializer, value))

/** Decodes a handshake frame, or returns null if it is of another kind or malformed. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> FrameRead.decodeHandshakeOrNull(deserializer: DeserializationStrategy<T>): T? {
    val frame = (this as? FrameRead.Complete)?.frame ?: return null
    if (frame.kind != HANDSHAKE_KIND) return null
    return try {
        Cbor.decodeFromByteArray(deserializer, frame.payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
