package org.auburnstream.daemon.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Encodes commands, answers and snapshots of the replicated state as CBOR, prefixed with a format version. */
@OptIn(ExperimentalSerializationApi::class)
internal object StateCodec {
    private const val FORMAT_VERSION: Byte = 1
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        byteArrayOf(FORMAT_VERSION) + cbor.encodeToByteArray(serializer, value)

    /** Returns the decoded value, or null if [bytes] have another format version or are corrupt. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? {
        if (bytes.isEmpty() || bytes[0] != FORMAT_VERSION) return null
        return try {
            cbor.decodeFromByteArray(serializer, bytes.copyOfRange(1, bytes.size))
        } catch (_: RuntimeException) {
            // On corrupt input the decoder throws various exceptions, including invalid indexes and lengths.
            null
        }
    }
}
