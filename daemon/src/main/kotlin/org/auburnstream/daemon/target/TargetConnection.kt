package org.auburnstream.daemon.target

import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.cancel
import io.ktor.utils.io.writePacket
import org.auburnstream.model.MonotonicTime
import org.auburnstream.routing.TargetAddress
import kotlin.time.Duration

/** One connection to a target; carries one exchange at a time. */
internal class TargetConnection private constructor(private val socket: Socket, val address: TargetAddress) {
    val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel()

    /** When the last exchange ended. */
    var idleSince: MonotonicTime = MonotonicTime.Zero

    /** Whether nothing was received since the last answer and the target has not closed the connection. */
    val isClean: Boolean get() = !input.isClosedForRead && !output.isClosedForWrite && input.availableForRead == 0

    suspend fun write(request: TargetRequest, deadline: Duration) {
        val builder = RequestResponseBuilder()
        try {
            builder.requestLine(request.method, request.path, "HTTP/1.1")
            builder.headerLine("Host", address.toString())
            builder.headerLine("Content-Length", request.body.size.toString())
            builder.headerLine(RequestHeaders.REQUEST_ID, request.id.value)
            builder.headerLine(RequestHeaders.DEADLINE_MS, deadline.inWholeMilliseconds.coerceAtLeast(0).toString())
            request.traceparent?.let { builder.headerLine(RequestHeaders.TRACEPARENT, it) }
            request.headers.forEach { builder.headerLine(it.name, it.value) }
            builder.emptyLine()
            if (request.body.isNotEmpty()) builder.bytes(request.body)
            output.writePacket(builder.build())
            output.flush()
        } finally {
            builder.release()
        }
    }

    /** Closes the connection and calls [closed] once the socket is closed. */
    fun close(closed: () -> Unit) {
        socket.socketContext.invokeOnCompletion { closed() }
        input.cancel()
        output.cancel(null)
        socket.close()
    }

    companion object {
        suspend fun open(selector: SelectorManager, address: TargetAddress): TargetConnection {
            val remote = InetSocketAddress(address.host, address.port)
            val socket = aSocket(selector).tcp().connect(remote) { noDelay = true }
            return TargetConnection(socket, address)
        }
    }
}
