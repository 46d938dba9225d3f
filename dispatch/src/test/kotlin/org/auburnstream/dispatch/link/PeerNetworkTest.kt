package org.auburnstream.dispatch.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.auburnstream.dispatch.loop.EventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.io.DataInputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class PeerNetworkTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")
    private val loopback = InetAddress.getLoopbackAddress()
    private val address = InetSocketAddress(loopback, ServerSocket(0, 1, loopback).use { it.localPort })
    private val links = ArrayList<Socket>()
    private lateinit var network: PeerNetwork

    @BeforeEach
    fun start() {
        loopThread.start()
        onLoop {
            network = PeerNetwork(
                loop = loop,
                self = PeerNetwork.idOf(address.hostString, address.port),
                address = address,
                scope = CoroutineScope(SupervisorJob() + loop),
                onStatus = { _, _ -> },
            )
            network.publish(byteArrayOf(1))
        }
    }

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
        links.forEach { it.close() }
    }

    /** Anybody could make the process hold the largest frame on each of any number of links. */
    @Test
    fun aLinkThatHasNotNamedItsProcessIsReadALargeFrame() {
        Socket(address.address, address.port).use { link ->
            link.soTimeout = TimeUnit.SECONDS.toMillis(20).toInt()
            val header = Frame(FrameKind.CALL, 1, ByteArray(4096)).encode()
            link.getOutputStream().write(header, 0, Frame.HEADER_BYTES)

            assertEquals(-1, link.getInputStream().read())
        }
    }

    /** A process that was suspended publishes to links that its peers have closed, before it reads that they did. */
    @Test
    fun linksThatPeersHaveClosedEndThePublicationOfTheStatus() {
        val closed = List(2) { openLink("closed-$it") }
        val open = openLink("open")
        val failure = onLoop {
            closed.forEach { it.close() }
            runCatching { network.publish(byteArrayOf(2)) }.exceptionOrNull()
        }

        assertNull(failure)
        assertContentEquals(byteArrayOf(2), readPayload(open))
    }

    /** The id of a peer comes from its messages, and an address that cannot exist must not end their handler. */
    @Test
    fun anIdWithAPortThatCannotExistIsTakenForAnAddress() {
        for (port in listOf(-1, 0, 65_536, Int.MAX_VALUE)) {
            assertNull(PeerNetwork.addressOf(PeerNetwork.idOf("127.0.0.1", port)), "port $port")
        }
        for (port in listOf(1, 65_535)) {
            assertEquals(port, PeerNetwork.addressOf(PeerNetwork.idOf("127.0.0.1", port))?.port)
        }
    }

    /** Each call belongs to another request, which would stay unanswered for good. */
    @Test
    fun aCallHandlerThatThrowsLeavesTheOtherCallsOfAClosedLinkUnanswered() {
        val replies = List(3) { CompletableFuture<ByteArray?>() }
        ServerSocket(0, 1, loopback).use { server ->
            val peer = PeerNetwork.idOf(loopback.hostAddress, server.localPort)
            onLoop { network.keptOpen = setOf(peer) }
            val link = server.accept().also(links::add)
            while (!onLoop { network.isConnected(peer) }) Thread.sleep(POLL_MS)
            onLoop {
                replies.forEachIndexed { index, reply ->
                    val isSent = network.call(peer, byteArrayOf(1), timeout = 600.seconds) {
                        reply.complete(it)
                        if (index == 1) error("a handler that fails")
                    }
                    check(isSent)
                }
            }
            link.setSoLinger(true, 0)
            link.close()

            replies.forEach { assertNull(it.get(WAIT_SECONDS, TimeUnit.SECONDS)) }
        }
    }

    /** Opens a link that resets its connection when it is closed, and reads the status that it gets. */
    private fun openLink(name: String): Socket {
        val link = Socket(loopback, address.port).also(links::add)
        link.setSoLinger(true, 0)
        link.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        link.getOutputStream().write(Frame(FrameKind.HELLO, 0, name.encodeToByteArray()).encode())
        readPayload(link)
        return link
    }

    private fun readPayload(link: Socket): ByteArray {
        val input = DataInputStream(link.getInputStream())
        val payload = ByteArray(input.readInt())
        input.skipNBytes(Frame.HEADER_BYTES - Int.SIZE_BYTES.toLong())
        input.readFully(payload)
        return payload
    }

    private fun <T> onLoop(block: () -> T): T {
        val result = CompletableFuture<T>()
        loop.post { result.complete(block()) }
        return result.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val WAIT_SECONDS = 20L
        const val POLL_MS = 5L
    }
}
