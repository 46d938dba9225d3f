package org.auburnstream.storage

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes the payloads of frames as CBOR. */
internal object StorageCodec {
    private val cbor = Cbor { alwaysUseByteString = true }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

    /**
     * Decodes [bytes]; [file] and [offset] state their position for the error message.
     *
     * @throws StorageException if the content can't be decoded.
     */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray, file: String, offset: Int): T = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: SerializationException) {
        val detail = "content can't be decoded, possibly written by another version: ${e.message}"
        throw StorageException(StorageError.Corrupt(file, offset.toLong(), detail))
    }
}
