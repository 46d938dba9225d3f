package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.MonotonicTime
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Calls HTTP/1.1 servers over few kept connections, with one call in progress on each.
 *
 * A call is never repeated by the client: a connection that ends or stays silent before the answer is whole gives no
 * answer, and what became of the call is not known. A call of which no byte was written is told apart.
 *
 * @property maxConnections connections to one address for calls of one [lane]; further calls wait.
 */
public class HttpClient(private val loop: EventLoop, private val maxConnections: Int = DEFAULT_CONNECTIONS) {
    private val pools = HashMap<Pair<String, String>, Pool>()

    /** Connections opened since the start. */
    public var connectionsOpened: Long = 0
        private set

    /**
     * Calls [address] and passes to [done] what became of the call by [timeout] at the latest.
     *
     * @param lane calls of different lanes do not wait for each other.
     */
    public fun call(
        address: String,
        request: HttpRequest,
        timeout: Duration,
        lane: String = "",
        done: (CallResult) -> Unit,
    ) {
        pools.getOrPut(address to lane) { Pool(address) }.submit(Call(request, timeout, done))
    }

    /** Closes connections that were not used for a while. */
    public fun sweep() {
        pools.values.forEach { it.closeIdle() }
        pools.values.removeAll { it.isUnused }
    }

    private inner class Pool(private val address: String) {
        private val lines = ArrayList<Line>()
        private val waiting = ArrayDeque<Call>()

        val isUnused: Boolean
            get() = lines.isEmpty() && waiting.isEmpty()

        fun submit(call: Call) {
            call.timer = loop.after(call.timeout) { expire(call) }
            waiting.addLast(call)
            pump()
        }

        fun pump() {
            while (waiting.isNotEmpty()) {
                // The line used last is the least likely to have gone silent.
                val idle = lines.filter { it.isIdle }.maxByOrNull { it.usedAt.nanoseconds }
                if (idle == null && lines.size >= maxConnections) return
                val call = waiting.removeFirst()
                if (call.isOver) continue
                (idle ?: Line(this).also(lines::add)).start(call)
            }
        }

        fun closeIdle() {
            val now = loop.now
            lines.filter { it.isIdle && now - it.usedAt > IDLE_TIMEOUT }.forEach { it.close() }
        }

        fun ended(line: Line) {
            lines.remove(line)
            pump()
        }

        fun socketAddress(): InetSocketAddress? {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
            return InetSocketAddress(host, port).takeIf { !it.isUnresolved }
        }

        fun request(request: HttpRequest): ByteArray = buildString {
            append(request.method).append(' ').append(request.target).append(" HTTP/1.1\r\nhost: ").append(address)
            append("\r\n")
            request.headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
            append("content-length: ").append(request.body.size).append("\r\n\r\n")
        }.toByteArray(Charsets.ISO_8859_1)

        private fun expire(call: Call) {
            if (call.isOver) return
            val line = call.line
            if (line == null) waiting.remove(call)
            call.end()
            line?.close()
        }
    }

    private inner class Line(private val pool: Pool) {
        private val parser = HttpParser(isResponse = true) { RESPONSE_LIMITS }
        private var call: Call? = null
        private var connection: Connection? = null
        private var isEnded = false
        var usedAt: MonotonicTime = loop.now
            private set

        val isIdle: Boolean
            get() = call == null && connection?.isOpen == true

        fun start(next: Call) {
            call = next
            next.line = this
            usedAt = loop.now
            val current = connection
            if (current != null) return send(current, next)
            val address = pool.socketAddress() ?: return loop.post { end() }
            connectionsOpened += 1
            connection = try {
                Connection.connect(
                    loop,
                    address,
                    onConnected = { opened -> call?.let { send(opened, it) } ?: opened.close() },
                    onBytes = { _, bytes -> take(bytes) },
                    onClosed = { end() },
                )
            } catch (_: IOException) {
                // No descriptor is left; other calls go on.
                loop.post { end() }
                null
            }
        }

        fun close() {
            connection?.close() ?: end()
        }

        private fun send(connection: Connection, call: Call) {
            call.isSent = true
            val head = pool.request(call.request)
            if (call.request.body.isEmpty()) connection.write(head) else connection.write(head, call.request.body)
        }

        private fun take(bytes: ByteBuffer) {
            parser.add(bytes)
            val parsed = parser.next()
            if (parsed === Parsed.Incomplete) return
            val current = call
            if (parsed !is Parsed.Response || current == null) return close()
            call = null
            usedAt = loop.now
            // Bytes behind an answer belong to no call, so the connection cannot be trusted any more.
            val isReusable = !parser.isInMessage && parsed.response.headers["connection"]?.lowercase() != "close"
            current.end(CallResult.Answered(parsed.response))
            if (isReusable) pool.pump() else close()
        }

        private fun end() {
            if (isEnded) return
            isEnded = true
            val current = call
            call = null
            pool.ended(this)
            current?.end()
        }
    }

    private class Call(val request: HttpRequest, val timeout: Duration, private val done: (CallResult) -> Unit) {
        var timer: EventLoop.Timer? = null
        var line: Line? = null

        /** Whether a part of the request may have been written. */
        var isSent = false
        var isOver = false
            private set

        fun end(result: CallResult = if (isSent) CallResult.Unknown else CallResult.Unsent) {
            if (isOver) return
            isOver = true
            timer?.cancel()
            done(result)
        }
    }

    private companion object {
        const val DEFAULT_CONNECTIONS = 2
        const val MAX_PORT = 65_535

        /** Bounds the answer of a worker that lists everything it runs. */
        val RESPONSE_LIMITS = HttpLimits(maxHeadBytes = 16 * 1024, maxBodyBytes = 8 * 1024 * 1024)

        /** Time after which an unused connection is closed; most servers close theirs later. */
        val IDLE_TIMEOUT = 10.seconds
    }
}
