package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.EventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.seconds

@Timeout(60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpServerTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")

    @BeforeEach
    fun start() = loopThread.start()

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
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

    private fun serve(handle: (HttpRequest, (HttpResponse) -> Unit) -> Unit): HttpServer = onLoop {
        HttpServer(
            loop = loop,
            address = InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            limits = { HttpLimits(maxHeadBytes = 1024, maxBodyBytes = 1024) },
            timeouts = { HttpTimeouts(messageTimeout = 60.seconds, idleTimeout = 60.seconds) },
            maxConnections = 4,
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
    }
}
