package org.auburnstream.dispatch.loop

import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.time.Duration.Companion.seconds

/**
 * A non-blocking TCP connection that runs on an [EventLoop] and queues its output.
 *
 * @property onBytes called with received bytes; the buffer is reused after the call.
 * @property onClosed called once when the connection is closed, by either side or by an error; never from within
 *   [write], so a caller may write to several connections of a collection that [onClosed] changes.
 */
public class Connection private constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel?,
    private val onBytes: (Connection, ByteBuffer) -> Unit,
    private val onClosed: (Connection) -> Unit,
) {
    private val output = ArrayDeque<ByteBuffer>()
    private var key: SelectionKey? = null
    private var onConnected: (() -> Unit)? = null
    private var closesWhenFlushed = false
    private var isReadPaused = false

    /** Bytes that may still be read and discarded before the connection is closed; negative if none are discarded. */
    private var discardLeft = -1

    private val socket: SocketChannel
        get() = checkNotNull(channel)

    /** Why the connection could not be started; null if it was, even if the peer refuses it later. */
    public var startFailure: Exception? = null
        private set

    /** IP address of the peer, or an empty string if it is not known. */
    public val peerAddress: String
        get() = try {
            (channel?.remoteAddress as? InetSocketAddress)?.address?.hostAddress.orEmpty()
        } catch (_: IOException) {
            ""
        }

    /** Called when all queued bytes are written, but not from within [write]. */
    public var onFlushed: () -> Unit = {}

    /** Whether the connection is established and not closed. */
    public var isOpen: Boolean = false
        private set

    /** Whether the connection is closed. */
    public var isClosed: Boolean = false
        private set

    /** Number of bytes queued for writing. */
    public var queuedBytes: Int = 0
        private set

    /**
     * Queues [bytes] and writes as much as possible; drops them if the connection is not open.
     *
     * After a failed write the connection is no longer open, and is closed in the next turn of the loop.
     */
    public fun write(vararg bytes: ByteArray) {
        if (!isOpen) return
        bytes.forEach {
            output.add(ByteBuffer.wrap(it))
            queuedBytes += it.size
        }
        val isWritten = writeQueued()
        if (!isWritten) isOpen = false
        val isOver = !isWritten || (output.isEmpty() && closesWhenFlushed)
        if (isOver) loop.post { close() } else updateInterest()
    }

    /** Closes the connection once all queued bytes are written. */
    public fun closeWhenFlushed() {
        closesWhenFlushed = true
        if (output.isEmpty()) close()
    }

    /**
     * Closes the connection once all queued bytes are written and the peer has closed its side.
     *
     * A close with unread bytes would reset the connection, and the peer could lose the last answer. Bytes that still
     * arrive are therefore discarded, up to [DISCARDED_BYTES] and for up to [DISCARD_TIME].
     */
    public fun closeAfterPeer() {
        if (isClosed || discardLeft >= 0) return
        discardLeft = DISCARDED_BYTES
        pauseReading(isPaused = false)
        if (output.isEmpty()) shutDownOutput()
        loop.after(DISCARD_TIME, ::close)
    }

    private fun shutDownOutput() {
        try {
            socket.shutdownOutput()
        } catch (_: IOException) {
            loop.post { close() }
        }
    }

    /** Pauses or resumes reading, which applies TCP backpressure to the peer. */
    public fun pauseReading(isPaused: Boolean) {
        isReadPaused = isPaused
        updateInterest()
    }

    /** Closes the connection immediately and discards the queued bytes. */
    public fun close() {
        if (isClosed) return
        isClosed = true
        isOpen = false
        key?.cancel()
        try {
            channel?.close()
        } catch (_: IOException) {
            // The connection is unusable in either case.
        }
        output.clear()
        queuedBytes = 0
        onClosed(this)
    }

    private fun closeUnstarted(cause: Exception) {
        startFailure = cause
        loop.post { close() }
    }

    private fun markOpen() {
        isOpen = true
        updateInterest()
    }

    /**
     * Reads what has arrived already, although the loop has not reported it yet.
     *
     * Must not be called from within [onBytes] of any connection, whose buffer it would overwrite.
     */
    public fun readArrived() {
        if (isOpen && !isReadPaused) closeOnFailure(::read)
    }

    private fun handle(key: SelectionKey) = closeOnFailure {
        if (key.isConnectable && socket.finishConnect()) {
            markOpen()
            onConnected?.invoke()
        }
        if (key.isValid && key.isWritable) flush()
        if (key.isValid && key.isReadable) read()
    }

    private inline fun closeOnFailure(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            close()
        } catch (e: Exception) {
            // The owner of the connection has to learn that it is closed; closing the channel alone tells nobody.
            logger.error("event=connection_handler_failed cause=\"{}\"", e.toString(), e)
            close()
        }
    }

    private fun read() {
        val buffer = readBuffer.get()
        repeat(MAX_READS_PER_TURN) {
            buffer.clear()
            val count = socket.read(buffer)
            if (count < 0) return close()
            if (count == 0) return
            buffer.flip()
            if (discardLeft >= 0) {
                discardLeft -= count
                return if (discardLeft < 0) close() else Unit
            }
            onBytes(this, buffer)
            if (isClosed || isReadPaused || count < buffer.capacity()) return
        }
    }

    private fun flush() {
        val isOver = !writeQueued() || (output.isEmpty() && closesWhenFlushed)
        if (isOver) return close()
        updateInterest()
        if (output.isNotEmpty()) return
        if (discardLeft >= 0) shutDownOutput()
        onFlushed()
    }

    /** Writes as much of the queue as the socket takes; returns false if the connection has failed. */
    private fun writeQueued(): Boolean {
        try {
            while (output.isNotEmpty()) {
                val batch = if (output.size == 1) null else output.take(MAX_BUFFERS_PER_WRITE).toTypedArray()
                val count = if (batch == null) socket.write(output.first()).toLong() else socket.write(batch)
                queuedBytes -= count.toInt()
                while (output.isNotEmpty() && !output.first().hasRemaining()) output.removeFirst()
                if (count == 0L) break
            }
        } catch (_: IOException) {
            return false
        }
        return true
    }

    private fun updateInterest() {
        val current = key ?: return
        if (!current.isValid || !isOpen) return
        val read = if (isReadPaused) 0 else SelectionKey.OP_READ
        val operations = read or if (output.isEmpty()) 0 else SelectionKey.OP_WRITE
        if (current.interestOps() != operations) current.interestOps(operations)
    }

    /** Opens outgoing connections and listening sockets. */
    public companion object {
        private val logger = LoggerFactory.getLogger(Connection::class.java)
        private const val MAX_READS_PER_TURN = 4
        private const val MAX_ACCEPTS_PER_TURN = 32
        private const val MAX_BUFFERS_PER_WRITE = 16
        private const val READ_BUFFER_BYTES = 64 * 1024
        private const val ACCEPT_BACKLOG = 512

        /** Covers what a peer sends before the answer reaches it. */
        private const val DISCARDED_BYTES = 1024 * 1024
        private val DISCARD_TIME = 1.seconds
        private val readBuffer: ThreadLocal<ByteBuffer> =
            ThreadLocal.withInitial { ByteBuffer.allocateDirect(READ_BUFFER_BYTES) }

        /**
         * Connects to [address] and calls [onConnected] on success, or [onClosed] if the connection fails.
         *
         * Never throws: a connection that cannot be started, such as without a file descriptor or to an unresolved
         * address, is closed in the next turn of the loop and has a [startFailure].
         */
        public fun connect(
            loop: EventLoop,
            address: InetSocketAddress,
            onConnected: (Connection) -> Unit,
            onBytes: (Connection, ByteBuffer) -> Unit,
            onClosed: (Connection) -> Unit,
        ): Connection {
            val channel = try {
                loop.openSocket()
            } catch (e: Exception) {
                return Connection(loop, channel = null, onBytes, onClosed).also { it.closeUnstarted(e) }
            }
            val connection = Connection(loop, channel, onBytes, onClosed)
            connection.onConnected = { onConnected(connection) }
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val isConnected = channel.connect(address)
                val operations = if (isConnected) SelectionKey.OP_READ else SelectionKey.OP_CONNECT
                connection.key = loop.register(channel, operations, connection::handle)
                if (isConnected) {
                    loop.post {
                        if (!connection.isClosed) {
                            connection.markOpen()
                            onConnected(connection)
                        }
                    }
                }
            } catch (e: Exception) {
                connection.closeUnstarted(e)
            }
            return connection
        }

        /**
         * Listens on [address] and calls [accept] for the handlers of each accepted connection.
         *
         * @throws IOException if the address cannot be bound.
         */
        public fun listen(loop: EventLoop, address: InetSocketAddress, accept: () -> Handlers): Listener {
            val server = ServerSocketChannel.open()
            server.configureBlocking(false)
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            server.bind(address, ACCEPT_BACKLOG)
            val listener = Listener(server)
            listener.key = loop.register(server, SelectionKey.OP_ACCEPT) { listener.acceptAll(loop, accept) }
            return listener
        }

        private fun Listener.acceptAll(loop: EventLoop, accept: () -> Handlers) {
            // A closed channel keeps its descriptor until the next turn.
            repeat(MAX_ACCEPTS_PER_TURN) {
                if (isPaused) return
                val channel = try {
                    server.accept() ?: return
                } catch (_: IOException) {
                    return
                }
                try {
                    open(loop, channel, accept)
                } catch (e: Exception) {
                    // Only this connection fails; the loop would close the listening socket.
                    logger.error("event=accept_failed cause=\"{}\"", e.toString(), e)
                    channel.close()
                }
            }
        }

        private fun open(loop: EventLoop, channel: SocketChannel, accept: () -> Handlers) {
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val handlers = accept()
            val connection = Connection(loop, channel, handlers.onBytes, handlers.onClosed)
            connection.key = loop.register(channel, SelectionKey.OP_READ, connection::handle)
            connection.markOpen()
            handlers.onOpened(connection)
        }
    }

    /** Callbacks of an accepted connection. */
    public class Handlers(
        internal val onOpened: (Connection) -> Unit,
        internal val onBytes: (Connection, ByteBuffer) -> Unit,
        internal val onClosed: (Connection) -> Unit,
    )

    /** A listening socket. */
    public class Listener internal constructor(internal val server: ServerSocketChannel) {
        internal var key: SelectionKey? = null

        /** Whether connections are left in the backlog of the socket, in the order in which they arrived. */
        public var isPaused: Boolean = false
            set(value) {
                if (field == value) return
                field = value
                key?.takeIf { it.isValid }?.interestOps(if (value) 0 else SelectionKey.OP_ACCEPT)
            }

        /** Local address of the socket. */
        public val address: InetSocketAddress
            get() = server.localAddress as InetSocketAddress

        /** Closes the socket; accepted connections stay open. */
        public fun close() {
            server.close()
        }
    }
}
