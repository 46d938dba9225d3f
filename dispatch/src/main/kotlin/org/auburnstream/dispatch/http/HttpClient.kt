package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls HTTP/1.1 servers over small pools of persistent connections, with at most one call in progress on each.
 *
 * The client never retries. If the connection closes or the call times out before the response is complete, the result
 * is [CallResult.Unsent] if no byte of the request was written, and [CallResult.Unknown] otherwise.
 *
 * A server that leaves some calls unanswered must not delay the others until those time out. Connections whose call has
 * been in progress for [STALL_TIME] therefore do not count towards [maxConnections].
 *
 * @property maxConnections maximum number of connections to one address in one lane; further calls are queued.
 */
public class HttpClient(private val loop: EventLoop, private val maxConnections: Int = DEFAULT_CONNECTIONS) {
    private val pools = HashMap<Pair<String, String>, Pool>()

    /** Number of connection attempts since the client was created. */
    public var connectionsOpened: Long = 0
        private set

    /**
     * Sends [request] to [address] (`host:port`) and passes the result to [done] within [timeout].
     *
     * @param lane name of the connection pool; calls in different lanes never wait for each other.
     * @param isPermitted checked immediately before the request is written; if it is false, the call ends unsent.
     */
    public fun call(
        address: String,
        request: HttpRequest,
        timeout: Duration,
        lane: String = "",
        isPermitted: () -> Boolean = { true },
        done: (CallResult) -> Unit,
    ) {
        pools.getOrPut(address to lane) { Pool(address) }.submit(Call(request, timeout, isPermitted, done))
    }

    /** Closes connections that have been idle for longer than [IDLE_TIMEOUT] and removes empty pools. */
    public fun closeIdleConnections() {
        pools.values.toList().forEach { it.closeIdle() }
        pools.values.removeAll { it.isUnused }
    }

    /** Connections to one address in one lane, with the queue of calls that wait for one of them. */
    private inner class Pool(private val address: String) {
        private val connections = ArrayList<PooledConnection>()
        private val waiting = ArrayDeque<Call>()
        private var isAwaitingStall = false

        val isUnused: Boolean
            get() = connections.isEmpty() && waiting.isEmpty()

        fun submit(call: Call) {
            // After a pause of this process, answers that have arrived meanwhile are read first.
            call.timer = loop.after(call.timeout) { loop.post { expire(call) } }
            waiting.addLast(call)
            startWaiting()
            if (waiting.isNotEmpty()) awaitStall()
        }

        /** Starts waiting calls when the connections in use have become stalled. */
        private fun awaitStall() {
            if (isAwaitingStall) return
            isAwaitingStall = true
            loop.after(STALL_TIME) {
                isAwaitingStall = false
                startWaiting()
                if (waiting.isNotEmpty()) awaitStall()
            }
        }

        fun startWaiting() {
            while (waiting.isNotEmpty()) {
                // The server is least likely to have closed the most recently used connection.
                val idle = connections.filter { it.isIdle }.maxByOrNull { it.usedAt.nanoseconds }
                if (idle == null && !mayConnect()) return
                val call = waiting.removeFirst()
                if (call.isOver) continue
                (idle ?: PooledConnection(this).also(connections::add)).start(call)
            }
        }

        private fun mayConnect(): Boolean =
            connections.size < MAX_OPEN_CONNECTIONS && connections.count { !it.isStalled } < maxConnections

        fun closeIdle() {
            val now = loop.now
            connections.filter { it.isIdle && now - it.usedAt > IDLE_TIMEOUT }.forEach { it.close() }
        }

        fun remove(connection: PooledConnection) {
            connections.remove(connection)
            startWaiting()
        }

        fun socketAddress(): InetSocketAddress? {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
            return InetSocketAddress(host, port).takeIf { !it.isUnresolved }
        }

        fun encodeHead(request: HttpRequest): ByteArray = buildString {
            append(request.method).append(' ').append(request.target).append(" HTTP/1.1\r\nhost: ").append(address)
            append("\r\n")
            request.headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
            append("content-length: ").append(request.body.size).append("\r\n\r\n")
        }.toByteArray(Charsets.ISO_8859_1)

        private fun expire(call: Call) {
            if (call.isOver) return
            val connection = call.connection
            if (connection == null) waiting.remove(call)
            call.end()
            connection?.close()
        }
    }

    /** Connection of a [Pool] that carries one call at a time; it connects when the first call starts. */
    private inner class PooledConnection(private val pool: Pool) {
        private val parser = HttpParser(isResponse = true) { RESPONSE_LIMITS }
        private var call: Call? = null
        private var connection: Connection? = null
        private var isEnded = false
        var usedAt: MonotonicTime = loop.now
            private set

        val isIdle: Boolean
            get() = call == null && connection?.isOpen == true

        val isStalled: Boolean
            get() = call != null && loop.now - usedAt >= STALL_TIME

        fun start(next: Call) {
            call = next
            next.connection = this
            usedAt = loop.now
            val current = connection
            if (current != null) return send(current, next)
            val address = pool.socketAddress() ?: return loop.post { end() }
            connectionsOpened += 1
            connection = Connection.connect(
                loop,
                address,
                onConnected = { opened -> call?.let { send(opened, it) } ?: opened.close() },
                onBytes = { _, bytes -> receive(bytes) },
                onClosed = { closed ->
                    closed.startFailure?.let {
                        logger.info("event=connect_failed address={} cause=\"{}\"", address, it.toString())
                    }
                    end()
                },
            )
        }

        fun close() {
            connection?.close() ?: end()
        }

        private fun send(connection: Connection, call: Call) {
            if (!isPermitted(call)) {
                // The connection stays open for the next call.
                this.call = null
                call.end()
                return loop.post(pool::startWaiting)
            }
            call.mayBeSent = true
            val head = pool.encodeHead(call.request)
            if (call.request.body.isEmpty()) connection.write(head) else connection.write(head, call.request.body)
        }

        /** Whether [call] may be sent; a call whose check fails may not. */
        private fun isPermitted(call: Call): Boolean = try {
            call.isPermitted()
        } catch (e: Exception) {
            logger.error("event=call_handler_failed cause=\"{}\"", e.toString(), e)
            false
        }

        private fun receive(bytes: ByteBuffer) {
            parser.append(bytes)
            val parsed = parser.next()
            if (parsed === ParseResult.Incomplete) return
            val current = call
            if (parsed !is ParseResult.Response || current == null) return close()
            call = null
            usedAt = loop.now
            // Bytes after the response belong to no call, so the connection is out of sync and must be closed.
            val isReusable = !parser.isInMessage && parsed.response.headers["connection"]?.lowercase() != "close"
            current.end(CallResult.Answered(parsed.response))
            if (isReusable) pool.startWaiting() else close()
        }

        private fun end() {
            if (isEnded) return
            isEnded = true
            val current = call
            call = null
            pool.remove(this)
            current?.end()
        }
    }

    /**
     * A call with its timer; [end] passes the result to the caller once.
     *
     * An exception of the caller is logged and goes no further, because the pool has still to close or reuse the
     * connection of the call.
     */
    private class Call(
        val request: HttpRequest,
        val timeout: Duration,
        val isPermitted: () -> Boolean,
        private val done: (CallResult) -> Unit,
    ) {
        var timer: EventLoop.Timer? = null
        var connection: PooledConnection? = null

        /** Whether part of the request may have been written. */
        var mayBeSent = false
        var isOver = false
            private set

        fun end(result: CallResult = if (mayBeSent) CallResult.Unknown else CallResult.Unsent) {
            if (isOver) return
            isOver = true
            timer?.cancel()
            try {
                done(result)
            } catch (e: Exception) {
                logger.error("event=call_handler_failed cause=\"{}\"", e.toString(), e)
            }
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(HttpClient::class.java)
        const val DEFAULT_CONNECTIONS = 2
        const val MAX_PORT = 65_535

        /** Limits the descriptors that one silent server can use. */
        const val MAX_OPEN_CONNECTIONS = 16

        /** Many times the round trip within a region. */
        val STALL_TIME: Duration = 50.milliseconds

        /** Limits for responses, large enough for a worker's list of everything it runs. */
        val RESPONSE_LIMITS = HttpLimits(maxHeadBytes = 16 * 1024, maxBodyBytes = 8 * 1024 * 1024)

        /** Idle time after which a connection is closed; shorter than the idle timeout of most servers. */
        val IDLE_TIMEOUT = 10.seconds
    }
}
