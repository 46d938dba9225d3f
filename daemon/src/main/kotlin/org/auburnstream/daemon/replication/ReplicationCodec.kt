package org.auburnstream.daemon.replication

import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.consensus.Envelope

/** CBOR of the messages of replicated groups. */
public object ReplicationCodec {
    private val cbor = Cbor { alwaysUseByteString = true }

    /** Encodes a message between replicas. */
    public fun encode(envelope: Envelope): ByteArray = cbor.encodeToByteArray(Envelope.serializer(), envelope)

    /** Decodes a message between replicas, or returns null if [bytes] are not one. */
    public fun decodeEnvelope(bytes: ByteArray): Envelope? = decode(Envelope.serializer(), bytes)

    internal fun encode(message: GroupMessage): ByteArray = cbor.encodeToByteArray(GroupMessage.serializer(), message)

    internal fun decodeGroupMessage(bytes: ByteArray): GroupMessage? = decode(GroupMessage.serializer(), bytes)

    private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: RuntimeException) {
        // The decoder fails in many ways on damaged bytes, also by bad indexes and lengths.
        null
    }
}
