package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/**
 * [PeerTransport] that delegates to [transport] and replaces some channels by others.
 *
 * Two users of the same channel can thereby share one transport without receiving each other's messages.
 *
 * @param channels channel of [transport] to use instead of each key; channels without an entry are not replaced.
 */
internal class ChannelMappingTransport(
    private val transport: PeerTransport,
    private val channels: Map<PeerChannel, PeerChannel>,
) : PeerTransport {
    override val self: DaemonId get() = transport.self

    override val peers: Set<DaemonId> get() = transport.peers

    override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean =
        transport.send(to, channels[channel] ?: channel, payload)

    override fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit): Unit =
        transport.register(channels[channel] ?: channel, handler)
}
