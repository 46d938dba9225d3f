package org.auburnstream.daemon.replication

import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.consensus.Envelope

/** Encodes the messages of replicated groups as CBOR. */
public object ReplicationCodec {
    private val cbor = Cbor { alwaysUseByteString = true }

    /** Encodes a message between replicas. */
    public fun encode(envelope: Envelope): ByteArray = cbor.encodeToByteArray(Envelope.serializer(), envelope)

    /** Decodes a message between replicas, or returns null if [bytes] cannot be decoded. */
    public fun decodeEnvelope(bytes: ByteArray): Envelope? = decode(Envelope.serializer(), bytes)

    internal fun encode(message: GroupMessage): ByteArray = cbor.encodeToByteArray(GroupMessage.serializer(), message)

    internal fun decodeGroupMessage(bytes: ByteArray): GroupMessage? = decode(GroupMessage.serializer(), bytes)

    private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: RuntimeException) {
        // On corrupt input the decoder throws various exceptions, including invalid indexes and lengths.
        null
    }
}
