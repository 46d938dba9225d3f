package org.auburnstream.daemon.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.auburnstream.model.DaemonId
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Connection over which this daemon sends messages to one peer.
 *
 * Each direction between two daemons has its own connection. The link reconnects with exponential backoff and jitter.
 * Messages wait in a queue that is bounded in count and bytes; messages that do not fit are dropped.
 */
internal class OutgoingLink(
    private val self: DaemonId,
    private val peer: PeerAddress,
    private val selector: SelectorManager,
    private val random: Random,
    private val onEvent: (LinkEvent) -> Unit,
) {
    private val queue = Channel<Frame>(QUEUE_FRAMES)
    private val queuedBytes = AtomicLong()

    /** Queues [payload]; returns false if it was dropped because it is too large or the queue is full. */
    fun offer(channel: PeerChannel, payload: ByteArray): Boolean {
        val size = payload.size.toLong()
        if (payload.size > MAX_FRAME_BYTES) return drop(channel)
        if (queuedBytes.addAndGet(size) > QUEUE_BYTES) {
            queuedBytes.addAndGet(-size)
            return drop(channel)
        }
        if (queue.trySend(Frame(channel.ordinal, payload)).isSuccess) return true
        queuedBytes.addAndGet(-size)
        return drop(channel)
    }

    /** Connects, sends the queued messages and reconnects after failures until the coroutine is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        var backoff = MIN_BACKOFF
        while (isActive) {
            val opened = runConnection()
            backoff = if (opened) MIN_BACKOFF else nextBackoff(backoff)
            delay(backoff * (1 + random.nextDouble()))
        }
    }

    private fun drop(channel: PeerChannel): Boolean {
        onEvent(LinkEvent.Dropped(peer.id, channel))
        return false
    }

    /** Runs one connection until it ends; returns whether the peer had accepted it. */
    private suspend fun runConnection(): Boolean {
        var opened = false
        var socket: Socket? = null
        try {
            socket =
                withTimeout(CONNECT_TIMEOUT) {
                    aSocket(selector).tcp().connect(InetSocketAddress(peer.address, peer.port)) { noDelay = true }
                }
            opened = exchangeHello(socket)
        } catch (_: TimeoutCancellationException) {
            // run() reconnects after the backoff.
        } catch (_: IOException) {
            // run() reconnects after the backoff.
        } finally {
            socket?.close()
            if (opened) onEvent(LinkEvent.Closed(peer.id))
        }
        return opened
    }

    private suspend fun exchangeHello(socket: Socket): Boolean {
        val reader = socket.openReadChannel()
        val writer = socket.openWriteChannel()
        val hello = PeerHello(version = PEER_PROTOCOL_VERSION, from = self, to = peer.id)
        val reply =
            withTimeout(HELLO_TIMEOUT) {
                writer.writeFrame(handshakeFrame(PeerHello.serializer(), hello))
                writer.flush()
                reader.readFrame().decodeHandshakeOrNull(PeerHelloReply.serializer())
            }
        when (reply) {
            PeerHelloReply.Accepted -> {
                onEvent(LinkEvent.Opened(peer.id))
                sendQueued(socket, writer)
                return true
            }

            is PeerHelloReply.Refused -> {
                onEvent(LinkEvent.Refused(reply.reason))
                return false
            }

            null -> return false
        }
    }

    /**
     * Sends queued frames until the connection fails.
     *
     * The peer sends nothing after its reply, so a monitor on the socket detects that the peer closed it.
     */
    private suspend fun sendQueued(socket: Socket, writer: ByteWriteChannel) {
        try {
            coroutineScope {
                launchDisconnectMonitor(socket)
                for (frame in queue) {
                    write(writer, frame)
                    while (true) write(writer, queue.tryReceive().getOrNull() ?: break)
                    withTimeout(WRITE_TIMEOUT) { writer.flush() }
                }
            }
        } catch (_: IOException) {
            // runConnection reports the link as closed; frames that were not yet written stay queued.
        } catch (_: TimeoutCancellationException) {
            // The peer read nothing for the whole write timeout; the caller closes the connection and reconnects.
        }
    }

    private suspend fun write(writer: ByteWriteChannel, frame: Frame) {
        queuedBytes.addAndGet(-frame.payload.size.toLong())
        withTimeout(WRITE_TIMEOUT) { writer.writeFrame(frame) }
        val channel = PeerChannel.entries[frame.kind]
        onEvent(LinkEvent.Sent(peer.id, channel, frame.payload.size + FRAME_HEADER_BYTES))
    }

    private fun CoroutineScope.launchDisconnectMonitor(socket: Socket) {
        launch {
            socket.socketContext.join()
            throw IOException("link to ${peer.id} closed")
        }
    }

    private fun nextBackoff(current: Duration): Duration = minOf(current * 2, MAX_BACKOFF)

    private companion object {
        const val QUEUE_FRAMES = 1024
        const val QUEUE_BYTES = 4L * 1024 * 1024
        val MIN_BACKOFF = 50.milliseconds
        val MAX_BACKOFF = 500.milliseconds
        val CONNECT_TIMEOUT = 1.seconds
        val HELLO_TIMEOUT = 2.seconds
        val WRITE_TIMEOUT = 5.seconds
    }
}
