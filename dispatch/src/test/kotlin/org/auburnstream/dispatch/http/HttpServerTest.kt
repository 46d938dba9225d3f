package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.EventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpServerTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")
    private val sockets = ArrayList<Socket>()

    @BeforeEach
    fun start() = loopThread.start()

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
        sockets.forEach { it.close() }
    }

    /** Nobody answered the request, its connection stayed busy, and a stop waited for it until the grace time ended. */
    @Test
    fun aHandlerThatThrowsOnAPipelinedRequestKeepsItsConnectionBusy() {
        val server = serve { request, respond ->
            if (request.target == "/odd") error("a request that nothing expects")
            respond(HttpResponse(200))
        }

        Socket(server.address.address, server.address.port).use { caller ->
            caller.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            caller.getOutputStream().write(("GET /even HTTP/1.1\r\n\r\n" + "GET /odd HTTP/1.1\r\n\r\n").toByteArray())

            assertContains(caller.getInputStream().readAllBytes().decodeToString(), "HTTP/1.1 200 OK")
        }
        assertFalse(onLoop { server.inProgress > 0 })
    }

    /** A response that was given counts, whatever its handler does afterwards. */
    @Test
    fun aHandlerThatThrowsAfterItsResponseTruncatesIt() {
        val body = ByteArray(8 * 1024 * 1024)
        val server = serve { _, respond ->
            respond(HttpResponse(200, body))
            error("a state that nothing expects")
        }

        Socket(server.address.address, server.address.port).use { caller ->
            caller.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            caller.getOutputStream().write("GET / HTTP/1.1\r\nconnection: close\r\n\r\n".toByteArray())

            val received = caller.getInputStream().readAllBytes()
            assertFalse(received.size < body.size, "only ${received.size} bytes arrived")
        }
    }

    /** The newcomer saw its connection end without a byte, while requests that end soon took all places. */
    @Test
    fun aNewcomerGetsAnEmptyAnswerWhileAllOthersAreBusy() {
        val held = ArrayList<(HttpResponse) -> Unit>()
        var isHeld = true
        val server = serve { _, respond -> if (isHeld) held.add(respond) else respond(HttpResponse(200)) }

        val callers = List(MAX_CONNECTIONS + 1) { server.call().also { awaitAccepted() } }
        onLoop {
            isHeld = false
            held.forEach { it(HttpResponse(200)) }
        }

        callers.forEach { caller -> assertContains(caller.answer(), "HTTP/1.1 200 OK") }
    }

    /** All served connections stay busy, so the newcomers can only be refused, and have to be told so. */
    @Test
    fun newcomersGetEmptyAnswersWhileNobodyCanBeServed() {
        val server = serve(messageTimeout = 50.milliseconds) { _, _ -> }
        onLoop { loop.every("check", 10.milliseconds, server::closeTimedOutConnections) }
        repeat(MAX_CONNECTIONS) { server.call().also { awaitAccepted() } }

        val newcomers = List(3 * MAX_CONNECTIONS) { server.call() }

        newcomers.forEach { newcomer ->
            val answer = newcomer.answer()
            assertContains(answer, "HTTP/1.1 503 Service Unavailable")
            assertContains(answer, "retry-after: 1\r\n")
            assertContains(answer, "too many connections")
        }
        assertTrue(onLoop { server.connections } <= MAX_CONNECTIONS)
    }

    /** A connection whose whole request had arrived, but was not read yet, made place for the next one. */
    @Test
    fun aRequestThatHasArrivedIsDroppedForANewcomer() {
        val server = serve { _, respond -> respond(HttpResponse(200)) }
        val isBlocked = CountDownLatch(1)
        loop.post { isBlocked.await(WAIT_SECONDS, TimeUnit.SECONDS) }
        val callers = List(3 * MAX_CONNECTIONS) { server.call() }
        isBlocked.countDown()

        callers.forEach { caller -> assertContains(caller.answer(), "HTTP/1.1 200 OK") }
    }

    private fun HttpServer.call() = Socket(address.address, address.port).also {
        it.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        sockets += it
        it.getOutputStream().write("GET / HTTP/1.1\r\nconnection: close\r\n\r\n".toByteArray())
    }

    private fun Socket.answer() = use { it.getInputStream().readAllBytes().decodeToString() }

    /** The first turn may have begun before the connection arrived, the second accepts it, and the third reads it. */
    private fun awaitAccepted() = repeat(4) { onLoop { } }

    private fun serve(
        messageTimeout: Duration = 60.seconds,
        handle: (HttpRequest, (HttpResponse) -> Unit) -> Unit,
    ): HttpServer = onLoop {
        HttpServer(
            loop = loop,
            address = InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            limits = { HttpLimits(maxHeadBytes = 1024, maxBodyBytes = 1024) },
            timeouts = { HttpTimeouts(messageTimeout, idleTimeout = 60.seconds) },
            maxConnections = MAX_CONNECTIONS,
            handle = handle,
        )
    }

    private fun <T> onLoop(block: () -> T): T {
        val result = CompletableFuture<T>()
        loop.post { result.complete(block()) }
        return result.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val WAIT_SECONDS = 20L
        const val MAX_CONNECTIONS = 4
    }
}
