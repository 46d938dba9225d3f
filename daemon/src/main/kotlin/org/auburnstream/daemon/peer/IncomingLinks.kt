package org.auburnstream.daemon.peer

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.auburnstream.model.DaemonId
import kotlin.time.Duration.Companion.seconds

/**
 * Accepts the connections that peers open and passes their messages to [onMessage].
 *
 * A connection that sends invalid data is closed; other connections are not affected.
 * Connections beyond the maximum are closed without a reply.
 */
internal class IncomingLinks(
    private val self: DaemonId,
    private val peers: Set<DaemonId>,
    private val onMessage: suspend (from: DaemonId, channel: PeerChannel, payload: ByteArray) -> Unit,
    private val onEvent: (LinkEvent) -> Unit,
) {
    private val connectionPermits = Semaphore(MAX_CONNECTIONS)

    /** Accepts connections of [server] until it is closed or the coroutine is cancelled. */
    suspend fun run(server: ServerSocket): Unit = coroutineScope {
        while (true) {
            val socket = server.accept()
            if (!connectionPermits.tryAcquire()) {
                socket.close()
                continue
            }
            launch {
                try {
                    serve(socket)
                } catch (_: java.io.IOException) {
                    // The peer reconnects.
                } finally {
                    socket.close()
                    connectionPermits.release()
                }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val reader = socket.openReadChannel()
        val writer = socket.openWriteChannel()
        val hello = withTimeoutOrNull(HELLO_TIMEOUT) {
            reader.readFrame().decodeHandshakeOrNull(PeerHello.serializer())
        }
        if (hello == null) {
            onEvent(LinkEvent.InvalidDataReceived(InvalidDataCause.NO_HELLO))
            return
        }
        val reply = hello.check(self, peers)
        writer.writeFrame(handshakeFrame(PeerHelloReply.serializer(), reply))
        writer.flush()
        when (reply) {
            PeerHelloReply.Accepted -> receive(hello.from, reader)
            is PeerHelloReply.Refused -> onEvent(LinkEvent.Refused(reply.reason))
        }
    }

    private suspend fun receive(from: DaemonId, reader: ByteReadChannel) {
        while (true) {
            val frame =
                when (val read = reader.readFrame()) {
                    is FrameRead.Complete -> {
                        read.frame
                    }

                    is FrameRead.LengthOutOfRange -> {
                        onEvent(LinkEvent.InvalidDataReceived(InvalidDataCause.LENGTH_OUT_OF_RANGE))
                        return
                    }
                }
            val channel = PeerChannel.entries.getOrNull(frame.kind)
            if (channel == null) {
                onEvent(LinkEvent.InvalidDataReceived(InvalidDataCause.UNKNOWN_KIND))
                return
            }
            onEvent(LinkEvent.Received(from, channel, frame.payload.size + FRAME_HEADER_BYTES))
            if (!handle(from, channel, frame.payload)) {
                onEvent(LinkEvent.InvalidDataReceived(InvalidDataCause.UNREADABLE_MESSAGE))
                return
            }
        }
    }

    /** Passes the message to [onMessage]; returns false if the handler could not decode it. */
    private suspend fun handle(from: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean = try {
        onMessage(from, channel, payload)
        true
    } catch (_: SerializationException) {
        false
    }

    private companion object {
        const val MAX_CONNECTIONS = 64
        val HELLO_TIMEOUT = 2.seconds
    }
}
