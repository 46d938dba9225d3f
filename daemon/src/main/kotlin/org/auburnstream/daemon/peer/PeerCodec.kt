package org.auburnstream.daemon.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** CBOR of the messages of one [PeerChannel]. */
@OptIn(ExperimentalSerializationApi::class)
public class PeerCodec<T>(private val serializer: KSerializer<T>) {
    private val cbor = Cbor { alwaysUseByteString = true }

    /** Encodes [message] as the payload of a frame. */
    public fun encode(message: T): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Decodes a payload, or returns null if it is not a message of this channel. */
    public fun decodeOrNull(payload: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, payload)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
