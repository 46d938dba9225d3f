package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/**
 * View of a transport in which some channels stand for others, so that two users of the same channel do not meet.
 *
 * @param channels channel of [transport] to use in place of each mapped one; others stay as they are.
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
