package org.auburnstream.storage

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** CBOR as the files hold it. */
internal object StorageCodec {
    private val cbor = Cbor { alwaysUseByteString = true }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Decodes [bytes], which stand at [offset] of [file]. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray, file: String, offset: Int): T = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: SerializationException) {
        val detail = "unknown content, written by another version? ${e.message}"
        throw StorageException(StorageError.Corrupt(file, offset.toLong(), detail))
    }
}
