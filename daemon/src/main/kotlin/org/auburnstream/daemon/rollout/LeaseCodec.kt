package org.auburnstream.daemon.rollout

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.control.LeaseMessage

/** Encodes lease messages as CBOR, prefixed with a format version. */
@OptIn(ExperimentalSerializationApi::class)
internal object LeaseCodec {
    private const val FORMAT_VERSION: Byte = 1
    private const val MAX_BYTES = 16_384
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: LeaseMessage): ByteArray =
        byteArrayOf(FORMAT_VERSION) + cbor.encodeToByteArray(LeaseMessage.serializer(), message)

    /** Returns the message, or null if [bytes] have another format version, are too long or are corrupt. */
    fun decode(bytes: ByteArray): LeaseMessage? {
        if (bytes.isEmpty() || bytes.size > MAX_BYTES || bytes[0] != FORMAT_VERSION) return null
        return try {
            cbor.decodeFromByteArray(LeaseMessage.serializer(), bytes.copyOfRange(1, bytes.size))
        } catch (_: RuntimeException) {
            // On corrupt input the decoder throws various exceptions, including invalid indexes and lengths.
            null
        }
    }
}
