package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import kotlin.time.Duration

/**
 * Serves HTTP/1.1 on one address and processes the requests of each connection one at a time.
 *
 * @property limits size limits of requests in force, read for each attempt to parse a request.
 * @property timeouts timeouts of connections in force, read for each check.
 * @property maxConnections maximum number of open connections; further ones are closed when they are accepted.
 * @property handle called with each request and a function that sends its response; only the first call of that
 *   function has an effect.
 */
public class HttpServer(
    private val loop: EventLoop,
    address: InetSocketAddress,
    private val limits: () -> HttpLimits,
    private val timeouts: () -> HttpTimeouts,
    private val maxConnections: Int,
    private val handle: (HttpRequest, (HttpResponse) -> Unit) -> Unit,
) {
    private val openConnections = LinkedHashSet<ServerConnection>()
    private val listener = Connection.listen(loop, address) { ServerConnection().handlers }
    private var isDraining = false

    /** Whether [close] was called. */
    public var isClosed: Boolean = false
        private set

    /** Local address that the server listens on. */
    public val address: InetSocketAddress
        get() = listener.address

    /** Number of requests that have no response yet. */
    public val inProgress: Int
        get() = openConnections.count { it.isBusy }

    /** Number of open connections. */
    public val connections: Int
        get() = openConnections.size

    /** Drains connections: each further response carries `connection: close` and closes its connection. */
    public fun drain() {
        isDraining = true
    }

    /**
     * Rejects requests that have not arrived within the message timeout, and closes connections that have no request
     * in progress and no activity for longer than the idle timeout, including those whose caller does not read the
     * response.
     */
    public fun closeTimedOutConnections() {
        val now = loop.now
        openConnections.toList().forEach { it.checkTimeouts(now, timeouts()) }
    }

    /** Stops listening and closes every connection. */
    public fun close() {
        isClosed = true
        listener.close()
        openConnections.toList().forEach { it.close() }
    }

    /** An accepted connection with its parser and the state of its current request. */
    private inner class ServerConnection {
        private val parser = HttpParser(isResponse = false, limits)
        private var connection: Connection? = null
        private var lastActivityAt = loop.now
        private var messageStartedAt: MonotonicTime? = null
        var isBusy = false
            private set

        val handlers = Connection.Handlers(
            onOpened = {
                connection = it
                openConnections.add(this)
                if (openConnections.size > maxConnections) it.close()
            },
            onBytes = { _, bytes ->
                lastActivityAt = loop.now
                if (messageStartedAt == null) messageStartedAt = lastActivityAt
                parser.append(bytes)
                processNext()
            },
            onClosed = { openConnections.remove(this) },
        )

        fun close() {
            connection?.close()
        }

        fun checkTimeouts(now: MonotonicTime, timeouts: HttpTimeouts) {
            if (isBusy) return
            val isSlow = parser.isInMessage && messageStartedAt?.let { now - it > timeouts.messageTimeout } == true
            if (isSlow) return reject(REQUEST_TIMEOUT, "request not complete in time")
            if (now - lastActivityAt > timeouts.idleTimeout) close()
        }

        private fun processNext() {
            if (isBusy) {
                connection?.pauseReading(isPaused = true)
                return
            }
            when (val parsed = parser.next()) {
                is ParseResult.Request -> start(parsed)
                is ParseResult.Rejected -> reject(parsed.status, parsed.detail)
                is ParseResult.Response, ParseResult.Incomplete -> Unit
            }
        }

        private fun start(parsed: ParseResult.Request) {
            isBusy = true
            messageStartedAt = null
            var isAnswered = false
            try {
                handle(parsed.request) { response ->
                    if (!isAnswered) {
                        isAnswered = true
                        respond(response, parsed.keepsAlive)
                    }
                }
            } catch (e: Exception) {
                logger.error("event=request_handler_failed path={} cause=\"{}\"", parsed.request.path, e.toString(), e)
                // Nobody else answers the request, and a connection that waits for an answer has no timeout.
                if (!isAnswered) close()
            }
        }

        private fun respond(response: HttpResponse, keepsAlive: Boolean) {
            isBusy = false
            lastActivityAt = loop.now
            val connection = connection ?: return
            if (connection.isClosed) return
            val staysOpen = keepsAlive && !isDraining
            connection.write(*encode(response, staysOpen))
            if (!staysOpen) return connection.closeWhenFlushed()
            connection.pauseReading(isPaused = false)
            if (parser.isInMessage) loop.post { if (!connection.isClosed && !isBusy) processNext() }
        }

        private fun reject(status: Int, detail: String) {
            logger.info("event=request_unreadable status={} detail=\"{}\"", status, detail)
            connection?.write(*encode(HttpResponse.json(status, "{\"error\":\"$detail\"}"), keepsAlive = false))
            connection?.closeWhenFlushed()
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(HttpServer::class.java)

        const val REQUEST_TIMEOUT = 408

        fun encode(response: HttpResponse, keepsAlive: Boolean): Array<ByteArray> {
            val head = buildString {
                append("HTTP/1.1 ").append(response.status).append(' ').append(reasonPhrase(response.status))
                append("\r\n")
                response.headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
                append("content-length: ").append(response.body.size).append("\r\n")
                if (!keepsAlive) append("connection: close\r\n")
                append("\r\n")
            }.toByteArray(Charsets.ISO_8859_1)
            return if (response.body.isEmpty()) arrayOf(head) else arrayOf(head, response.body)
        }

        fun reasonPhrase(status: Int): String = REASON_PHRASES[status] ?: "Status"

        val REASON_PHRASES = mapOf(
            200 to "OK",
            307 to "Temporary Redirect",
            400 to "Bad Request",
            401 to "Unauthorized",
            403 to "Forbidden",
            404 to "Not Found",
            405 to "Method Not Allowed",
            408 to "Request Timeout",
            410 to "Gone",
            413 to "Content Too Large",
            429 to "Too Many Requests",
            431 to "Request Header Fields Too Large",
            501 to "Not Implemented",
            502 to "Bad Gateway",
            503 to "Service Unavailable",
            504 to "Gateway Timeout",
        )
    }
}

/**
 * Timeouts of the connections of an [HttpServer].
 *
 * @property messageTimeout maximum time from the first byte of a request to its last.
 * @property idleTimeout maximum time without activity between a response and the next request.
 */
public data class HttpTimeouts(val messageTimeout: Duration, val idleTimeout: Duration)
