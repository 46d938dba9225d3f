package org.auburnstream.dispatch.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.dispatch.loop.Connection
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Maintains the TCP links between the processes of one deployment.
 *
 * The links carry replication messages, forwarded calls and the status of the control group. The id of a listening
 * process is its address, so the id is enough to connect to it. Each process sends on the links that it opened itself;
 * replies arrive on the same link. A link without an answer to a ping is closed and opened again, since a connection
 * may stop delivering data without a reset.
 *
 * @param self id of this process.
 * @param address address to listen on, or null for a process that only opens links.
 * @param onStatus called with the sender and the encoded status of the group that it published.
 * @param onCall called with the payload of a call and the function that sends its reply.
 * @param maxIncoming maximum number of links that others have opened; a further one takes the place of a link that has
 *   not named its process, and is closed if there is none.
 */
public class PeerNetwork(
    private val loop: EventLoop,
    override val self: DaemonId,
    address: InetSocketAddress?,
    private val scope: CoroutineScope,
    private val onStatus: (DaemonId, ByteArray) -> Unit,
    private val onCall: (ByteArray, (ByteArray) -> Unit) -> Unit = { _, _ -> },
    private val maxIncoming: Int = Int.MAX_VALUE,
) : PeerTransport {
    private val outgoing = HashMap<DaemonId, OutgoingLink>()
    private val incoming = LinkedHashSet<IncomingLink>()
    private val handlers = HashMap<FrameKind, suspend (DaemonId, ByteArray) -> Unit>()
    private var status = ByteArray(0)
    private var lastCall = 0L
    private var knownPeers: Set<DaemonId> = emptySet()
    private val listener = address?.let { Connection.listen(loop, it) { IncomingLink().handlers } }

    init {
        loop.every("check_links", CHECK_INTERVAL, ::checkLinks)
    }

    override val peers: Set<DaemonId>
        get() = knownPeers - self

    /** Processes to which a link is kept open even when it is idle. */
    public var keptOpen: Set<DaemonId> = emptySet()
        set(value) {
            field = value - self
            field.forEach(::link)
        }

    /** Adds [ids] to the known processes of the group. */
    public fun addKnownPeers(ids: Set<DaemonId>) {
        knownPeers = knownPeers + ids
    }

    /** Whether the link to [id] is open; a link that stops answering pings is closed. */
    public fun isConnected(id: DaemonId): Boolean = outgoing[id]?.isUp ?: false

    /** Sends the encoded status [bytes] on all incoming links, and later on each new one. */
    public fun publish(bytes: ByteArray) {
        status = bytes
        // A link that closes removes itself from the set.
        incoming.toList().forEach { it.send(Frame(FrameKind.STATUS, 0, bytes)) }
    }

    override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean {
        val kind = when (channel) {
            PeerChannel.CONSENSUS -> FrameKind.CONSENSUS
            PeerChannel.PROPOSAL -> FrameKind.PROPOSAL
            else -> return false
        }
        return link(to).send(Frame(kind, 0, payload))
    }

    override fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit) {
        when (channel) {
            PeerChannel.CONSENSUS -> handlers[FrameKind.CONSENSUS] = handler
            PeerChannel.PROPOSAL -> handlers[FrameKind.PROPOSAL] = handler
            else -> error("channel $channel is not supported")
        }
    }

    /**
     * Calls the process [to]; passes its reply to [done], or null if none arrives within [timeout] or the link closes.
     *
     * @return false if the call was certainly not sent; [done] is then not called.
     */
    public fun call(to: DaemonId, payload: ByteArray, timeout: Duration, done: (ByteArray?) -> Unit): Boolean {
        val link = outgoing[to]?.takeIf { it.isUp } ?: return false
        lastCall += 1
        val number = lastCall
        link.calls[number] = done
        if (!link.send(Frame(FrameKind.CALL, number, payload))) {
            link.calls.remove(number)
            return false
        }
        loop.after(timeout) { link.calls.remove(number)?.invoke(null) }
        return true
    }

    /** Closes all links. */
    public fun close() {
        listener?.close()
        outgoing.values.toList().forEach { it.close() }
        incoming.toList().forEach { it.close() }
    }

    private fun link(to: DaemonId): OutgoingLink = outgoing.getOrPut(to) { OutgoingLink(to) }

    private fun checkLinks() {
        val now = loop.now
        // Closing a link answers its calls, and an answer may open another link.
        outgoing.values.toList().forEach { it.check(now) }
        outgoing.toList().forEach { (id, link) -> if (link.closeIfIdle(now)) outgoing.remove(id, link) }
    }

    private fun deliver(from: DaemonId, frame: Frame) {
        val handler = handlers[frame.kind] ?: return
        scope.launch(start = CoroutineStart.UNDISPATCHED) { handler(from, frame.payload) }
    }

    private inner class OutgoingLink(private val to: DaemonId) {
        private var connection: Connection? = null
        private var reader = FrameReader()
        private var lastReceivedAt = loop.now
        private var lastPingAt: MonotonicTime? = null
        private var connectStartedAt = loop.now
        private var lastUsedAt = loop.now
        private var retryAt: MonotonicTime? = null
        private var isDownLogged = false
        val calls = HashMap<Long, (ByteArray?) -> Unit>()

        val isUp: Boolean
            get() = connection?.isOpen == true

        init {
            connect()
        }

        /** Closes the link if it is not in [keptOpen] and idle for [IDLE_TIMEOUT]; returns whether it did. */
        fun closeIfIdle(now: MonotonicTime): Boolean {
            val isIdle = to !in keptOpen && now - lastUsedAt > IDLE_TIMEOUT
            if (isIdle) close()
            return isIdle
        }

        fun send(frame: Frame): Boolean {
            lastUsedAt = loop.now
            val current = connection
            if (current == null || !current.isOpen || current.queuedBytes > MAX_QUEUED_BYTES) return false
            current.write(frame.encode())
            return true
        }

        /** Opens the link if it is due, closes it after a timeout, or sends a ping on a silent link. */
        fun check(now: MonotonicTime) {
            val current = connection
            val retry = retryAt
            when {
                current == null -> if (retry == null || now >= retry) connect()
                !current.isOpen -> if (now - connectStartedAt > CONNECT_TIMEOUT) current.close()
                lastPingAt?.let { now - it > PONG_TIMEOUT && lastReceivedAt < it } == true -> current.close()
                now - lastReceivedAt > PING_AFTER && lastPingAt.let { it == null || lastReceivedAt >= it } -> {
                    lastPingAt = now
                    current.write(Frame(FrameKind.PING, 0, EMPTY).encode())
                }
            }
        }

        fun close() {
            connection?.close()
        }

        private fun connect() {
            val address = addressOf(to) ?: return
            connectStartedAt = loop.now
            reader = FrameReader()
            connection = Connection.connect(
                loop,
                address,
                onConnected = {
                    lastReceivedAt = loop.now
                    lastPingAt = null
                    isDownLogged = false
                    it.write(Frame(FrameKind.HELLO, 0, self.value.encodeToByteArray()).encode())
                    logger.info("event=link_up peer={}", to)
                },
                onBytes = { current, bytes ->
                    lastReceivedAt = loop.now
                    if (!reader.read(bytes, ::onFrame)) current.close()
                },
                onClosed = { onConnectionClosed() },
            )
        }

        private fun onConnectionClosed() {
            if (!isDownLogged) logger.info("event=link_down peer={}", to)
            isDownLogged = true
            connection = null
            retryAt = loop.now + RECONNECT_DELAY
            val unanswered = calls.values.toList()
            calls.clear()
            unanswered.forEach(::endUnanswered)
        }

        private fun endUnanswered(done: (ByteArray?) -> Unit) {
            try {
                done(null)
            } catch (e: Exception) {
                // The other calls belong to other requests, which wait for their ends.
                logger.error("event=call_handler_failed peer={} cause=\"{}\"", to, e.toString(), e)
            }
        }

        private fun onFrame(frame: Frame) {
            when (frame.kind) {
                FrameKind.REPLY -> calls.remove(frame.number)?.invoke(frame.payload)
                FrameKind.STATUS -> onStatus(to, frame.payload)
                else -> Unit
            }
        }
    }

    /** Closes the oldest link that has not named its process, or else [newcomer]. */
    private fun closeForNewcomer(newcomer: IncomingLink) {
        val leaving = incoming.firstOrNull { !it.isNamed && it !== newcomer } ?: newcomer
        logger.info("event=link_refused links={} limit={}", incoming.size, maxIncoming)
        leaving.close()
    }

    private inner class IncomingLink {
        private val reader = FrameReader { if (from == null) MAX_HELLO_BYTES else Frame.MAX_PAYLOAD_BYTES }
        private var connection: Connection? = null
        private var from: DaemonId? = null

        val isNamed: Boolean
            get() = from != null

        val handlers = Connection.Handlers(
            onOpened = {
                connection = it
                incoming.add(this)
                if (incoming.size > maxIncoming) closeForNewcomer(this)
            },
            onBytes = { current, bytes -> if (!reader.read(bytes, ::onFrame)) current.close() },
            onClosed = { incoming.remove(this) },
        )

        fun send(frame: Frame) {
            val current = connection ?: return
            if (current.queuedBytes > MAX_QUEUED_BYTES) current.close() else current.write(frame.encode())
        }

        fun close() {
            connection?.close()
        }

        private fun onFrame(frame: Frame) {
            when (frame.kind) {
                FrameKind.HELLO -> {
                    // A process that connects again has dropped its earlier link, but its close may never arrive here.
                    val id = DaemonId(frame.payload.decodeToString())
                    incoming.filter { it !== this && it.from == id }.forEach { it.close() }
                    from = id
                    if (status.isNotEmpty()) send(Frame(FrameKind.STATUS, 0, status))
                }
                // Whatever is queued shows as well that this process lives, once it is read.
                FrameKind.PING -> if (connection?.queuedBytes == 0) send(Frame(FrameKind.PONG, 0, EMPTY))
                FrameKind.CALL -> onCall(frame.payload) { send(Frame(FrameKind.REPLY, frame.number, it)) }
                FrameKind.CONSENSUS, FrameKind.PROPOSAL -> from?.let { deliver(it, frame) }
                FrameKind.REPLY, FrameKind.STATUS, FrameKind.PONG -> Unit
            }
        }
    }

    /** Converts between the id and the address of a listening process. */
    public companion object {
        private val logger = LoggerFactory.getLogger(PeerNetwork::class.java)
        private val EMPTY = ByteArray(0)
        private val CHECK_INTERVAL: Duration = 200.milliseconds

        // A round trip takes a few ms; these timeouts tolerate a process that is slowed or short of CPU time.
        private val CONNECT_TIMEOUT: Duration = 800.milliseconds
        private val PING_AFTER: Duration = 500.milliseconds
        private val PONG_TIMEOUT: Duration = 1_000.milliseconds
        private val RECONNECT_DELAY: Duration = 200.milliseconds
        private val IDLE_TIMEOUT: Duration = 60.seconds
        private val PORTS = 1..65_535

        /** A name of a process; a link that has not given it sends nothing else. */
        private const val MAX_HELLO_BYTES = 1_024
        private const val MAX_QUEUED_BYTES = 8 * 1024 * 1024

        /** Returns the id of the process that listens on [host] and [port]. */
        public fun idOf(host: String, port: Int): DaemonId = DaemonId("$host:$port")

        /** Returns the address that [id] contains, or null if it contains none. */
        public fun addressOf(id: DaemonId): InetSocketAddress? {
            val port = id.value.substringAfterLast(':').toIntOrNull() ?: return null
            if (port !in PORTS) return null
            return InetSocketAddress(id.value.substringBeforeLast(':'), port)
        }
    }
}
