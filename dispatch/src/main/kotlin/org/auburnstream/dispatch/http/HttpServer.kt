package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import kotlin.time.Duration

/**
 * Serves HTTP/1.1 at one address; the requests of one connection are answered one after the other.
 *
 * @property limits bounds of requests, read for each.
 * @property times timeouts of connections, read for each check.
 * @property handle gets each request with the function that answers it; that function takes effect once.
 */
public class HttpServer(
    private val loop: EventLoop,
    address: InetSocketAddress,
    private val limits: () -> HttpLimits,
    private val times: () -> HttpTimes,
    private val maxConnections: Int,
    private val handle: (HttpRequest, (HttpResponse) -> Unit) -> Unit,
) {
    private val open = LinkedHashSet<Exchange>()
    private val listener = Connection.listen(loop, address) { Exchange().handlers }
    private var isDraining = false

    /** Whether the server has ended. */
    public var isClosed: Boolean = false
        private set

    /** Address that is listened at. */
    public val address: InetSocketAddress
        get() = listener.address

    /** Requests that have not been answered. */
    public val inProgress: Int
        get() = open.count { it.isBusy }

    /** Connections that are open. */
    public val connections: Int
        get() = open.size

    /** Asks callers to leave: each further answer closes its connection. */
    public fun drain() {
        isDraining = true
    }

    /** Closes the connections that wait too long for a request, or for a caller to take an answer. */
    public fun sweep() {
        val now = loop.now
        open.toList().forEach { it.sweep(now, times()) }
    }

    /** Stops listening and closes every connection. */
    public fun close() {
        isClosed = true
        listener.close()
        open.toList().forEach { it.close() }
    }

    private inner class Exchange {
        private val parser = HttpParser(isResponse = false, limits)
        private var connection: Connection? = null
        private var lastActivity = loop.now
        private var messageSince: MonotonicTime? = null
        var isBusy = false
            private set

        val handlers = Connection.Handlers(
            onOpened = {
                connection = it
                open.add(this)
                if (open.size > maxConnections) it.close()
            },
            onBytes = { _, bytes ->
                lastActivity = loop.now
                if (messageSince == null) messageSince = lastActivity
                parser.add(bytes)
                advance()
            },
            onClosed = { open.remove(this) },
        )

        fun close() {
            connection?.close()
        }

        fun sweep(now: MonotonicTime, times: HttpTimes) {
            if (isBusy) return
            val isSlow = parser.isInMessage && messageSince?.let { now - it > times.messageTimeout } == true
            if (isSlow) return refuse(REQUEST_TIMEOUT, "request not complete in time")
            if (now - lastActivity > times.idleTimeout) close()
        }

        private fun advance() {
            if (isBusy) {
                connection?.pauseReading(isPaused = true)
                return
            }
            when (val parsed = parser.next()) {
                is Parsed.Request -> start(parsed)
                is Parsed.Bad -> refuse(parsed.status, parsed.detail)
                is Parsed.Response, Parsed.Incomplete -> Unit
            }
        }

        private fun start(parsed: Parsed.Request) {
            isBusy = true
            messageSince = null
            var isAnswered = false
            handle(parsed.request) { response ->
                if (!isAnswered) {
                    isAnswered = true
                    finish(response, parsed.keepsAlive)
                }
            }
        }

        private fun finish(response: HttpResponse, keepsAlive: Boolean) {
            isBusy = false
            lastActivity = loop.now
            val connection = connection ?: return
            if (connection.isClosed) return
            val stays = keepsAlive && !isDraining
            connection.write(*encode(response, stays))
            if (!stays) return connection.closeWhenFlushed()
            connection.pauseReading(isPaused = false)
            if (parser.isInMessage) loop.post { if (!connection.isClosed && !isBusy) advance() }
        }

        private fun refuse(status: Int, detail: String) {
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
                append("HTTP/1.1 ").append(response.status).append(' ').append(reasonOf(response.status)).append("\r\n")
                response.headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
                append("content-length: ").append(response.body.size).append("\r\n")
                if (!keepsAlive) append("connection: close\r\n")
                append("\r\n")
            }.toByteArray(Charsets.ISO_8859_1)
            return if (response.body.isEmpty()) arrayOf(head) else arrayOf(head, response.body)
        }

        fun reasonOf(status: Int): String = REASONS[status] ?: "Status"

        val REASONS = mapOf(
            200 to "OK",
            307 to "Temporary Redirect",
            400 to "Bad Request",
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
 * @property messageTimeout longest time from the first byte of a request to its last.
 * @property idleTimeout longest time between an answer and the next request.
 */
public data class HttpTimes(val messageTimeout: Duration, val idleTimeout: Duration)
