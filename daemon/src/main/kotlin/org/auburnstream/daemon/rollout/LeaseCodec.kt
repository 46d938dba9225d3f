package org.auburnstream.daemon.rollout

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.control.LeaseMessage

/** Encodes lease messages as CBOR behind a format version. */
@OptIn(ExperimentalSerializationApi::class)
internal object LeaseCodec {
    private const val FORMAT_VERSION: Byte = 1
    private const val MAX_BYTES = 16_384
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: LeaseMessage): ByteArray =
        byteArrayOf(FORMAT_VERSION) + cbor.encodeToByteArray(LeaseMessage.serializer(), message)

    /** Returns the message, or null if [bytes] are of another version, too long or damaged. */
    fun decode(bytes: ByteArray): LeaseMessage? {
        if (bytes.isEmpty() || bytes.size > MAX_BYTES || bytes[0] != FORMAT_VERSION) return null
        return try {
            cbor.decodeFromByteArray(LeaseMessage.serializer(), bytes.copyOfRange(1, bytes.size))
        } catch (_: RuntimeException) {
            // The decoder fails in many ways on damaged bytes, also by bad indexes and lengths.
            null
        }
    }
}
