package org.auburnstream.daemon.caller

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.model.DaemonId
import org.auburnstream.routing.credit.CreditMessage

/** Carries messages about credits between daemons, best effort, as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public class CreditLink(private val transport: PeerTransport) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Sends [message] to the daemon [to]; it may be lost. */
    public fun send(to: DaemonId, message: CreditMessage) {
        transport.send(to, PeerChannel.CREDIT, cbor.encodeToByteArray(CreditMessage.serializer(), message))
    }

    /** Passes each message that arrives to [receive]; one that cannot be read is dropped, as if it were lost. */
    public fun start(receive: (from: DaemonId, message: CreditMessage) -> Unit) {
        transport.register(PeerChannel.CREDIT) { from, payload -> decode(payload)?.let { receive(from, it) } }
    }

    private fun decode(payload: ByteArray): CreditMessage? = try {
        cbor.decodeFromByteArray(CreditMessage.serializer(), payload)
    } catch (e: SerializationException) {
        null
    }
}
