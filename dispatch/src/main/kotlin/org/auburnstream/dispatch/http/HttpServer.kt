package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Serves HTTP/1.1 on one address and processes the requests of each connection one at a time.
 *
 * When connections run out, a newcomer takes the place of a connection without a whole request. If there is none, it
 * waits for a place, and is refused with 503 once there has been one that waits for longer than the message timeout.
 *
 * @property limits size limits of requests in force, read for each attempt to parse a request.
 * @property timeouts timeouts of connections in force, read for each check.
 * @property maxConnections maximum number of open connections, at least 2; an eighth of them, but 1 to 32, is kept for
 *   newcomers that wait to be served or are being refused. Further ones wait in the backlog of the socket.
 * @property memory budget of the bytes that clients make the process hold; a request without room is refused with 503.
 * @property handle called with each request and a function that sends its response; only the first call of that
 *   function has an effect.
 */
public class HttpServer(
    private val loop: EventLoop,
    address: InetSocketAddress,
    private val limits: () -> HttpLimits,
    private val timeouts: () -> HttpTimeouts,
    private val maxConnections: Int,
    private val memory: ClientMemory = ClientMemory(),
    private val handle: (HttpRequest, (HttpResponse) -> Unit) -> Unit,
) {
    private val openConnections = LinkedHashSet<ServerConnection>()

    /** Connections that have not sent a whole request yet, in the order in which they were accepted. */
    private val unproven = LinkedHashSet<ServerConnection>()

    /** Connections that wait to be served or are being refused, in the order in which they were accepted. */
    private val newcomers = LinkedHashSet<ServerConnection>()
    private val maxNewcomers = (maxConnections / NEWCOMER_SHARE).coerceIn(1, MAX_NEWCOMERS)

    /** Time since which there has always been a newcomer that could not be served at once, or null. */
    private var fullSince: MonotonicTime? = null
    private var refused = 0
    private var isAdmissionPosted = false
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
     * response. Refuses newcomers that cannot be served.
     */
    public fun closeTimedOutConnections() {
        val now = loop.now
        openConnections.toList().forEach { it.checkTimeouts(now, timeouts()) }
        admitNewcomers()
    }

    /** Stops listening and closes every connection. */
    public fun close() {
        isClosed = true
        listener.close()
        openConnections.toList().forEach { it.close() }
    }

    /** Serves newcomers in turn while there are places, and refuses the others once they have waited too long. */
    private fun admitNewcomers() {
        val waiting = newcomers.filter { !it.isEnding }
        val left = waiting.dropWhile { newcomer -> hasPlace().also { if (it) newcomer.admit() } }
        if (left.isNotEmpty()) {
            refuseIfLate(left)
        } else if (waiting.isNotEmpty()) {
            endQueue()
        }
        listener.isPaused = newcomers.size >= maxNewcomers
    }

    /** Admits newcomers in the next turn, when nothing is being read. */
    private fun admitSoon() {
        if (isAdmissionPosted || (newcomers.isEmpty() && !listener.isPaused)) return
        isAdmissionPosted = true
        loop.post {
            isAdmissionPosted = false
            admitNewcomers()
        }
    }

    private fun refuseIfLate(waiting: List<ServerConnection>) {
        val since = fullSince ?: loop.now.also { fullSince = it }
        val age = loop.now - since
        if (age <= timeouts().messageTimeout) return
        if (refused == 0) {
            val (port, ms) = address.port to age.inWholeMilliseconds
            logger.info("event=newcomers_refused port={} connections={} full_ms={}", port, connections, ms)
        }
        refused += waiting.size
        waiting.forEach { it.refuse() }
    }

    private fun endQueue() {
        if (refused > 0) logger.info("event=newcomers_admitted port={} refused={}", address.port, refused)
        refused = 0
        fullSince = null
    }

    /**
     * Returns whether one more connection can be served, and closes one for it if necessary: the one that has waited
     * longest for its first request, or else an idle one, one whose next request is not complete, or one whose request
     * was rejected.
     */
    private fun hasPlace(): Boolean {
        if (openConnections.size - newcomers.size < maxOf(1, maxConnections - maxNewcomers)) return true
        while (true) {
            val oldest = unproven.firstOrNull() ?: break
            if (oldest.makePlace()) return true
        }
        val candidates = openConnections.filter { it.isWithoutWork && it !in newcomers }
        return candidates.sortedWith(compareBy({ it.isEnding }, { !it.isIdle })).any { it.makePlace() }
    }

    /** An accepted connection with its parser and the state of its current request. */
    private inner class ServerConnection {
        private val parser = HttpParser(isResponse = false, ::reserve, limits)
        private var connection: Connection? = null
        private var holding: ClientMemory.Holding? = null
        private var lastActivityAt = loop.now
        private var messageStartedAt: MonotonicTime? = null

        /** Whether the connection closes after its last answer and reads no further requests. */
        var isEnding = false
            private set
        private var isAnswerUnread = false

        /** Whether bytes that followed the current request were dropped, so that the connection has to end with it. */
        private var hasDropped = false

        /** Number of messages that have arrived whole or were rejected. */
        private var messages = 0
        var isBusy = false
            private set

        val isWithoutWork: Boolean
            get() = !isBusy && !isAnswerUnread

        val isIdle: Boolean
            get() = isWithoutWork && !parser.isInMessage

        private val mayStart: Boolean
            get() = !isBusy && !isEnding && !isAnswerUnread

        val handlers = Connection.Handlers(
            onOpened = {
                connection = it
                it.onFlushed = ::onFlushed
                it.pauseReading(isPaused = true)
                openConnections.add(this)
                newcomers.add(this)
                admitNewcomers()
            },
            onBytes = { _, bytes -> receive(bytes) },
            onClosed = {
                openConnections.remove(this)
                unproven.remove(this)
                newcomers.remove(this)
                parser.clear()
                // The work of a request goes on without its caller, and holds its bytes until it is answered.
                if (!isBusy) release()
                admitSoon()
            },
        )

        fun admit() {
            newcomers.remove(this)
            unproven.add(this)
            lastActivityAt = loop.now
            connection?.pauseReading(isPaused = false)
        }

        fun refuse() = end(UNAVAILABLE, "too many connections at the same time")

        /** Closes this connection unless it has work or a message turns out to have arrived; returns whether it did. */
        fun makePlace(): Boolean {
            if (!isWithoutWork) return false
            val before = messages
            when {
                isEnding -> Unit
                parser.hasRest -> goOn()
                else -> connection?.readArrived()
            }
            if (messages > before) return false
            close()
            return true
        }

        fun close() {
            connection?.close()
        }

        fun checkTimeouts(now: MonotonicTime, timeouts: HttpTimeouts) {
            if (isBusy || this in newcomers) return
            val isSlow = parser.isInMessage && messageStartedAt?.let { now - it > timeouts.messageTimeout } == true
            if (isSlow && !isAnswerUnread && !isEnding) return reject(REQUEST_TIMEOUT, "request not complete in time")
            if (now - lastActivityAt > timeouts.idleTimeout) close()
        }

        private fun receive(bytes: ByteBuffer) {
            if (isEnding) return
            lastActivityAt = loop.now
            if (messageStartedAt == null) messageStartedAt = lastActivityAt
            if (!parser.append(bytes)) hasDropped = true
            if (isBusy || isAnswerUnread) connection?.pauseReading(isPaused = true) else goOn()
        }

        /** Takes the next message, and reads no further while whole requests may wait to be parsed. */
        private fun goOn() {
            processNext()
            if (mayStart) connection?.pauseReading(isPaused = parser.hasRest)
        }

        private fun reserve(bytes: Long): Boolean {
            val current = holding ?: memory.open(connection?.peerAddress.orEmpty(), loop.now, ::giveUp)
            holding = current
            return current.resize(maxOf(current.bytes, bytes))
        }

        private fun release() {
            holding?.close()
            holding = null
        }

        /** Ends the message or the unread answer of this connection, because others need the room. */
        private fun giveUp() {
            if (isAnswerUnread) close() else reject(UNAVAILABLE, "too many large messages at the same time")
        }

        private fun processNext() {
            when (val parsed = parser.next()) {
                is ParseResult.Request -> start(parsed)
                is ParseResult.Rejected -> reject(parsed.status, parsed.detail)
                is ParseResult.Response, ParseResult.Incomplete -> Unit
            }
        }

        private fun start(parsed: ParseResult.Request) {
            val bytes = parser.heldBytes + HEAD_COPIES * parsed.headBytes + BODY_COPIES * parsed.request.body.size
            val current = holding ?: memory.open(connection?.peerAddress.orEmpty(), loop.now, ::giveUp)
            holding = current
            if (!current.begin(bytes)) return reject(UNAVAILABLE, "too many large messages at the same time")
            unproven.remove(this)
            messages += 1
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
                if (!isAnswered) {
                    isBusy = false
                    close()
                }
            }
        }

        private fun respond(response: HttpResponse, keepsAlive: Boolean) {
            isBusy = false
            lastActivityAt = loop.now
            val connection = connection ?: return
            if (connection.isClosed) return release()
            val staysOpen = keepsAlive && !isDraining && !hasDropped
            connection.write(*encode(response, staysOpen))
            if (!staysOpen) {
                isEnding = true
                parser.clear()
            }
            isAnswerUnread = connection.queuedBytes > 0
            if (!isAnswerUnread) {
                settle()
            } else if (holding?.awaitReader(parser.heldBytes + connection.queuedBytes) == false) {
                return loop.post { close() }
            }
            if (!staysOpen) return if (hasDropped) connection.closeAfterPeer() else connection.closeWhenFlushed()
            if (!isAnswerUnread) resume(connection)
        }

        /** Goes on with the bytes after a request whose answer is written. */
        private fun onFlushed() {
            if (!isAnswerUnread) return
            isAnswerUnread = false
            lastActivityAt = loop.now
            settle()
            connection?.let(::resume)
        }

        /** Holds only what has arrived of the next message. */
        private fun settle() {
            release()
            if (parser.heldBytes > 0) reserve(parser.heldBytes)
            admitSoon()
        }

        private fun resume(connection: Connection) {
            connection.pauseReading(isPaused = parser.hasRest)
            if (!parser.isInMessage) return
            // What the server itself did not read meanwhile is not the client's delay.
            messageStartedAt = loop.now
            loop.post { if (!connection.isClosed && mayStart) goOn() }
        }

        private fun reject(status: Int, detail: String) {
            if (isEnding) return
            logger.info("event=request_unreadable status={} detail=\"{}\"", status, detail)
            end(status, detail)
        }

        /** Answers with [status] and closes the connection once its caller can have read the answer. */
        private fun end(status: Int, detail: String) {
            isEnding = true
            unproven.remove(this)
            messages += 1
            parser.clear()
            release()
            val pause = ceil(timeouts().messageTimeout.toDouble(DurationUnit.SECONDS)).toInt()
            val headers = if (status == UNAVAILABLE) mapOf("retry-after" to pause.toString()) else emptyMap()
            val response = HttpResponse.json(status, "{\"error\":\"$detail\"}", headers)
            connection?.write(*encode(response, keepsAlive = false))
            connection?.closeAfterPeer()
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(HttpServer::class.java)

        const val NEWCOMER_SHARE = 8
        const val MAX_NEWCOMERS = 32
        const val REQUEST_TIMEOUT = 408
        const val UNAVAILABLE = 503

        /** A request is held with its body, and while it is forwarded also encoded, as a message and as a frame. */
        const val BODY_COPIES = 4L

        /** Text of the head and its headers, for which the runtime takes a few bytes a character. */
        const val HEAD_COPIES = 4L

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
