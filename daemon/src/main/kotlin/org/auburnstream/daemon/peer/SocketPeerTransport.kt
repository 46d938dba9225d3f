package org.auburnstream.daemon.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import org.auburnstream.model.DaemonId
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * [PeerTransport] over TCP.
 *
 * Two daemons use one connection for each direction and send length-prefixed frames.
 *
 * @param addresses peers that this daemon opens links to and accepts links from.
 * @param seed seed of the jitter of reconnects.
 * @param onEvent observer for logs and metrics; called on the sending and receiving coroutines.
 */
public class SocketPeerTransport(
    override val self: DaemonId,
    addresses: List<PeerAddress>,
    seed: Long,
    private val onEvent: (LinkEvent) -> Unit = {},
) : PeerTransport,
    AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val handlers = ConcurrentHashMap<PeerChannel, suspend (DaemonId, ByteArray) -> Unit>()
    private val links =
        addresses.associate { it.id to OutgoingLink(self, it, selector, Random(seed + it.id.hashCode()), onEvent) }

    override val peers: Set<DaemonId> = links.keys

    override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean =
        links[to]?.offer(channel, payload) ?: false

    override fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit) {
        check(handlers.putIfAbsent(channel, handler) == null) { "channel $channel already has a handler" }
    }

    /**
     * Listens on [host]:[port] (0 selects a free port), opens the links to all peers in [scope] and returns the bound
     * port.
     *
     * @throws java.io.IOException if the address cannot be bound.
     */
    public suspend fun start(scope: CoroutineScope, host: String, port: Int): Int {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
        val incoming = IncomingLinks(self, peers, ::dispatch, onEvent)
        scope.launch { server.use { incoming.run(it) } }
        for (link in links.values) scope.launch { link.run() }
        return (server.localAddress as InetSocketAddress).port
    }

    override fun close() {
        selector.close()
    }

    private suspend fun dispatch(from: DaemonId, channel: PeerChannel, payload: ByteArray) {
        handlers[channel]?.invoke(from, payload)
    }
}
