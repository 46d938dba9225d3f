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
 * Links between the processes of one deployment, over which they replicate, forward calls and tell of the leader.
 *
 * A process that listens is named by its address, so that a name is enough to reach it. Each process sends on the
 * links that it dialled itself; answers come back on the same link. A link that stays silent after a ping is closed
 * and dialled again, since a connection may go silent without a reset.
 *
 * @param self name of this process.
 * @param address where to listen, or null for a process that only dials.
 * @param onStatus gets what another process knows of the group.
 * @param onCall gets a call and the function that answers it.
 */
public class PeerNetwork(
    private val loop: EventLoop,
    override val self: DaemonId,
    address: InetSocketAddress?,
    private val scope: CoroutineScope,
    private val onStatus: (DaemonId, ByteArray) -> Unit,
    private val onCall: (ByteArray, (ByteArray) -> Unit) -> Unit = { _, _ -> },
) : PeerTransport {
    private val outgoing = HashMap<DaemonId, OutgoingLink>()
    private val incoming = LinkedHashSet<IncomingLink>()
    private val handlers = HashMap<FrameKind, suspend (DaemonId, ByteArray) -> Unit>()
    private var status = ByteArray(0)
    private var lastCall = 0L
    private var known: Set<DaemonId> = emptySet()
    private val listener = address?.let { Connection.listen(loop, it) { IncomingLink().handlers } }

    init {
        loop.after(CHECK_INTERVAL, ::check)
    }

    override val peers: Set<DaemonId>
        get() = known - self

    /** Processes to which a link is kept open at all times. */
    public var watched: Set<DaemonId> = emptySet()
        set(value) {
            field = value - self
            field.forEach(::link)
        }

    /** Notes processes that take part in the group. */
    public fun know(ids: Set<DaemonId>) {
        known = known + ids
    }

    /** Whether a link to [id] stands and was heard lately. */
    public fun isConnected(id: DaemonId): Boolean = outgoing[id]?.isUp ?: false

    /** Tells all processes that are linked to this one what this process knows of the group. */
    public fun publish(bytes: ByteArray) {
        status = bytes
        incoming.forEach { it.send(Frame(FrameKind.STATUS, 0, bytes)) }
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
            else -> error("channel $channel is not carried")
        }
    }

    /**
     * Calls the process [to]; [done] gets its answer, or null if there is none within [timeout].
     *
     * @return false if the call was certainly not sent; [done] is not called then.
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

    private fun check() {
        loop.after(CHECK_INTERVAL, ::check)
        val now = loop.now
        outgoing.values.toList().forEach { it.check(now) }
        outgoing.values.removeAll { it.isDisused(now) }
    }

    private fun deliver(from: DaemonId, frame: Frame) {
        val handler = handlers[frame.kind] ?: return
        scope.launch(start = CoroutineStart.UNDISPATCHED) { handler(from, frame.payload) }
    }

    private inner class OutgoingLink(private val to: DaemonId) {
        private var connection: Connection? = null
        private var reader = FrameReader()
        private var heardAt = loop.now
        private var pingedAt: MonotonicTime? = null
        private var dialledAt = loop.now
        private var usedAt = loop.now
        private var retryAt: MonotonicTime? = null
        private var isReported = false
        val calls = HashMap<Long, (ByteArray?) -> Unit>()

        val isUp: Boolean
            get() = connection?.isOpen == true

        init {
            dial()
        }

        fun isDisused(now: MonotonicTime): Boolean {
            val isDisused = to !in watched && now - usedAt > DISUSE_TIMEOUT
            if (isDisused) close()
            return isDisused
        }

        fun send(frame: Frame): Boolean {
            usedAt = loop.now
            val current = connection
            if (current == null || !current.isOpen || current.queuedBytes > MAX_QUEUED_BYTES) return false
            current.write(frame.encode())
            return true
        }

        fun check(now: MonotonicTime) {
            val current = connection
            val retry = retryAt
            when {
                current == null -> if (retry == null || now >= retry) dial()
                !current.isOpen -> if (now - dialledAt > DIAL_TIMEOUT) current.close()
                pingedAt?.let { now - it > PONG_TIMEOUT && heardAt < it } == true -> current.close()
                now - heardAt > PING_AFTER && pingedAt.let { it == null || heardAt >= it } -> {
                    pingedAt = now
                    current.write(Frame(FrameKind.PING, 0, EMPTY).encode())
                }
            }
        }

        fun close() {
            connection?.close()
        }

        private fun dial() {
            val address = addressOf(to) ?: return
            dialledAt = loop.now
            reader = FrameReader()
            connection = Connection.connect(
                loop,
                address,
                onConnected = {
                    heardAt = loop.now
                    pingedAt = null
                    isReported = false
                    it.write(Frame(FrameKind.HELLO, 0, self.value.encodeToByteArray()).encode())
                    logger.info("event=link_up peer={}", to)
                },
                onBytes = { current, bytes ->
                    heardAt = loop.now
                    if (!reader.read(bytes, ::take)) current.close()
                },
                onClosed = { closed() },
            )
        }

        private fun closed() {
            if (!isReported) logger.info("event=link_down peer={}", to)
            isReported = true
            connection = null
            retryAt = loop.now + REDIAL_PAUSE
            val open = calls.values.toList()
            calls.clear()
            open.forEach { it(null) }
        }

        private fun take(frame: Frame) {
            when (frame.kind) {
                FrameKind.REPLY -> calls.remove(frame.number)?.invoke(frame.payload)
                FrameKind.STATUS -> onStatus(to, frame.payload)
                else -> Unit
            }
        }
    }

    private inner class IncomingLink {
        private val reader = FrameReader()
        private var connection: Connection? = null
        private var from: DaemonId? = null

        val handlers = Connection.Handlers(
            onOpened = {
                connection = it
                incoming.add(this)
            },
            onBytes = { current, bytes -> if (!reader.read(bytes, ::take)) current.close() },
            onClosed = { incoming.remove(this) },
        )

        fun send(frame: Frame) {
            connection?.write(frame.encode())
        }

        fun close() {
            connection?.close()
        }

        private fun take(frame: Frame) {
            when (frame.kind) {
                FrameKind.HELLO -> {
                    // A process that dials again has given up its earlier link, whose end may never arrive.
                    val id = DaemonId(frame.payload.decodeToString())
                    incoming.filter { it !== this && it.from == id }.forEach { it.close() }
                    from = id
                    if (status.isNotEmpty()) send(Frame(FrameKind.STATUS, 0, status))
                }
                FrameKind.PING -> send(Frame(FrameKind.PONG, 0, EMPTY))
                FrameKind.CALL -> onCall(frame.payload) { send(Frame(FrameKind.REPLY, frame.number, it)) }
                FrameKind.CONSENSUS, FrameKind.PROPOSAL -> from?.let { deliver(it, frame) }
                FrameKind.REPLY, FrameKind.STATUS, FrameKind.PONG -> Unit
            }
        }
    }

    /** Names of processes that listen. */
    public companion object {
        private val logger = LoggerFactory.getLogger(PeerNetwork::class.java)
        private val EMPTY = ByteArray(0)
        private val CHECK_INTERVAL: Duration = 200.milliseconds

        // A round trip takes a few ms, so these times leave room for a process that is slowed or short of processor.
        private val DIAL_TIMEOUT: Duration = 800.milliseconds
        private val PING_AFTER: Duration = 500.milliseconds
        private val PONG_TIMEOUT: Duration = 1_000.milliseconds
        private val REDIAL_PAUSE: Duration = 200.milliseconds
        private val DISUSE_TIMEOUT: Duration = 60.seconds
        private const val MAX_QUEUED_BYTES = 8 * 1024 * 1024

        /** Returns the name of the process that listens at [host] and [port]. */
        public fun idOf(host: String, port: Int): DaemonId = DaemonId("$host:$port")

        /** Returns the address of [id], or null if it does not name one. */
        public fun addressOf(id: DaemonId): InetSocketAddress? {
            val port = id.value.substringAfterLast(':').toIntOrNull() ?: return null
            return InetSocketAddress(id.value.substringBeforeLast(':'), port)
        }
    }
}
