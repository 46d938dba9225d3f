package org.auburnstream.dispatch.loop

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConnectionTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")
    private val loopback = InetAddress.getLoopbackAddress()
    private val opened = CompletableFuture<Connection>()
    private val closed = CompletableFuture<Unit>()

    @BeforeEach
    fun start() = loopThread.start()

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    /** An owner that is not told keeps the connection, and waits for answers that can never come. */
    @Test
    fun aHandlerThatThrowsLeavesItsOwnerWithAConnectionThatSeemsOpen() {
        connect(onBytes = { error("a message that nothing expects") }).use {
            it.getOutputStream().write(1)

            closed.get(WAIT_SECONDS, TimeUnit.SECONDS)
            assertFalse(opened.get().isOpen)
        }
    }

    /** An owner that writes to each of its connections must not lose one from the collection meanwhile. */
    @Test
    fun aFailedWriteClosesTheConnectionWithinTheCall() {
        val peer = connect(onBytes = { })
        val connection = opened.get(WAIT_SECONDS, TimeUnit.SECONDS)
        val isClosedWithinWrite = CompletableFuture<Boolean>()
        loop.post {
            peer.setSoLinger(true, 0)
            peer.close()
            connection.write(ByteArray(1))
            isClosedWithinWrite.complete(connection.isClosed)
        }

        assertFalse(isClosedWithinWrite.get(WAIT_SECONDS, TimeUnit.SECONDS))
        closed.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertTrue(connection.isClosed)
    }

    /** A process whose listener is closed works on and takes no more connections. */
    @Test
    fun aConnectionThatCannotBeAcceptedClosesTheListener() {
        val accepted = AtomicInteger()
        val second = CompletableFuture<Connection>()
        val listener = CompletableFuture<Connection.Listener>()
        loop.post {
            val address = InetSocketAddress(loopback, 0)
            val handlers = Connection.Handlers(onOpened = second::complete, onBytes = { _, _ -> }, onClosed = { })
            listener.complete(
                Connection.listen(loop, address) {
                    if (accepted.incrementAndGet() == 1) error("a connection that nothing expects")
                    handlers
                },
            )
        }
        val port = listener.get(WAIT_SECONDS, TimeUnit.SECONDS).address.port
        Socket(loopback, port).use { first ->
            first.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            assertEquals(-1, first.getInputStream().read())
        }
        Socket(loopback, port).use { second.get(WAIT_SECONDS, TimeUnit.SECONDS) }
    }

    /** An owner that connects from a timer or a handler would lose the rest of its work. */
    @Test
    fun aConnectionToAnUnresolvedAddressEndsItsOwner() {
        assertToldThatItIsClosed(loop, InetSocketAddress.createUnresolved("unresolved.invalid", 1))
    }

    /** A process that is out of file descriptors must go on with the connections that it has. */
    @Test
    fun aProcessWithoutFileDescriptorsEndsTheOwnerOfAConnection() {
        val exhausted = EventLoop(openSocket = { throw IOException("Too many open files") })
        val thread = Thread(exhausted::run, "exhausted-loop").apply { start() }
        try {
            assertToldThatItIsClosed(exhausted, InetSocketAddress(loopback, 1))
        } finally {
            exhausted.stop()
            thread.join()
        }
    }

    /** Asserts that a connection to [address] is closed in a later turn of [loop], and its owner is told once. */
    private fun assertToldThatItIsClosed(loop: EventLoop, address: InetSocketAddress) {
        val failure = CompletableFuture<Throwable?>()
        val isClosedWithinConnect = CompletableFuture<Boolean>()
        val closings = AtomicInteger()
        loop.post {
            val result = runCatching {
                Connection.connect(
                    loop,
                    address,
                    onConnected = { opened.complete(it) },
                    onBytes = { _, _ -> },
                    onClosed = {
                        closings.incrementAndGet()
                        closed.complete(Unit)
                    },
                )
            }
            isClosedWithinConnect.complete(closings.get() > 0)
            failure.complete(result.exceptionOrNull())
        }

        assertNull(failure.get(WAIT_SECONDS, TimeUnit.SECONDS))
        assertFalse(isClosedWithinConnect.get())
        closed.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertEquals(1, closings.get())
        assertFalse(opened.isDone)
    }

    /** Connects to a listener that passes received bytes to [onBytes]. */
    private fun connect(onBytes: () -> Unit): Socket {
        val port = CompletableFuture<Int>()
        loop.post {
            val handlers = Connection.Handlers(
                onOpened = { opened.complete(it) },
                onBytes = { _, _ -> onBytes() },
                onClosed = { closed.complete(Unit) },
            )
            val listener = Connection.listen(loop, InetSocketAddress(loopback, 0)) { handlers }
            port.complete(listener.address.port)
        }
        return Socket(loopback, port.get(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    private companion object {
        const val WAIT_SECONDS = 20L
    }
}
