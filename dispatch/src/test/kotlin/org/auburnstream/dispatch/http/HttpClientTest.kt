package org.auburnstream.dispatch.http

import org.auburnstream.dispatch.loop.EventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against calls whose result misstates whether the server may execute them. Each test is named after its
 * failure: a call that was never sent counts as possibly executed, or a call that was sent counts as not sent.
 */
class HttpClientTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")
    private val loopback = InetAddress.getLoopbackAddress()

    @BeforeEach
    fun start() = loopThread.start()

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    private fun call(port: Int, host: String = "127.0.0.1"): CallResult {
        val result = CompletableFuture<CallResult>()
        loop.post {
            val request = HttpRequest("POST", "/", emptyMap(), ByteArray(0))
            HttpClient(loop).call("$host:$port", request, 10.seconds) { result.complete(it) }
        }
        return result.get(20, TimeUnit.SECONDS)
    }

    @Test
    fun refusedConnectionIsReportedAsPossiblyExecuted() {
        val port = ServerSocket(0, 1, loopback).use { it.localPort }

        assertEquals(CallResult.Unsent, call(port))
    }

    @Test
    fun unknownHostThrowsToTheCaller() {
        assertEquals(CallResult.Unsent, call(port = 80, host = "no-such-host.invalid"))
    }

    @Test
    fun unansweredCallsKeepLaterCallsFromBeingSent() {
        ServerSocket(0, 16, loopback).use { server ->
            thread { answerAllButFirst(server, silent = 2) }
            val results = List(3) { CompletableFuture<CallResult>() }
            loop.post {
                val client = HttpClient(loop, maxConnections = 2)
                val request = HttpRequest("POST", "/", emptyMap(), ByteArray(0))
                results.forEach { result ->
                    client.call("127.0.0.1:${server.localPort}", request, 60.seconds) { result.complete(it) }
                }
            }

            assertIs<CallResult.Answered>(results.last().get(20, TimeUnit.SECONDS))
            assertFalse(results[0].isDone || results[1].isDone)
        }
    }

    /** An order that was queued before its leader was suspended would leave after a later leader's orders. */
    @Test
    fun aQueuedCallIsSentAfterItsPermissionHasLapsed() {
        ServerSocket(0, 16, loopback).use { server ->
            val requests = AtomicInteger()
            val mayAnswer = CountDownLatch(1)
            thread { answerWhenReleased(server, requests, mayAnswer) }
            val results = List(3) { CompletableFuture<CallResult>() }
            val isPermitted = AtomicBoolean(true)
            loop.post {
                val client = HttpClient(loop, maxConnections = 1)
                val request = HttpRequest("POST", "/", emptyMap(), ByteArray(0))
                results.forEachIndexed { number, result ->
                    val permission = { number != 1 || isPermitted.get() }
                    client.call("127.0.0.1:${server.localPort}", request, 60.seconds, isPermitted = permission) {
                        result.complete(it)
                    }
                }
            }
            isPermitted.set(false)
            mayAnswer.countDown()

            assertIs<CallResult.Answered>(results[0].get(20, TimeUnit.SECONDS))
            assertEquals(CallResult.Unsent, results[1].get(20, TimeUnit.SECONDS))
            assertIs<CallResult.Answered>(results[2].get(20, TimeUnit.SECONDS))
            assertEquals(2, requests.get())
        }
    }

    /** The connection of each such call stayed busy, and after sixteen of them the address was never called again. */
    @Test
    fun callbacksThatThrowAtATimeoutUseUpTheConnections() {
        ServerSocket(0, 64, loopback).use { server ->
            thread { answerAllButFirst(server, silent = MAX_OPEN_CONNECTIONS) }
            val timedOut = CountDownLatch(MAX_OPEN_CONNECTIONS)
            val result = CompletableFuture<CallResult>()
            loop.post {
                val client = HttpClient(loop, maxConnections = MAX_OPEN_CONNECTIONS)
                val request = HttpRequest("POST", "/", emptyMap(), ByteArray(0))
                val address = "127.0.0.1:${server.localPort}"
                repeat(MAX_OPEN_CONNECTIONS) {
                    client.call(address, request, 1.seconds) {
                        timedOut.countDown()
                        if (timedOut.count == 0L) {
                            loop.post { client.call(address, request, 10.seconds) { result.complete(it) } }
                        }
                        error("a result that nothing expects")
                    }
                }
            }

            assertIs<CallResult.Answered>(result.get(20, TimeUnit.SECONDS))
        }
    }

    /** The call was neither sent nor over before its timeout, and its connection carried no other call. */
    @Test
    fun aPermissionThatThrowsKeepsAReusedConnectionBusy() {
        ServerSocket(0, 16, loopback).use { server ->
            thread { answerAllButFirst(server, silent = 0) }
            val first = CompletableFuture<CallResult>()
            val second = CompletableFuture<CallResult>()
            val client = HttpClient(loop, maxConnections = 1)
            val request = HttpRequest("POST", "/", emptyMap(), ByteArray(0))
            val address = "127.0.0.1:${server.localPort}"
            loop.post { client.call(address, request, 60.seconds) { first.complete(it) } }
            assertIs<CallResult.Answered>(first.get(20, TimeUnit.SECONDS))
            loop.post {
                val permission = { error("a state that nothing expects") }
                client.call(address, request, 60.seconds, isPermitted = permission) { second.complete(it) }
            }

            assertEquals(CallResult.Unsent, second.get(20, TimeUnit.SECONDS))
        }
    }

    /** Answers and counts the requests of each connection once [mayAnswer] is released. */
    private fun answerWhenReleased(server: ServerSocket, requests: AtomicInteger, mayAnswer: CountDownLatch) {
        try {
            while (true) {
                val socket = server.accept()
                thread {
                    socket.use {
                        for (line in it.getInputStream().bufferedReader().lineSequence()) {
                            if (line.isNotEmpty()) continue
                            requests.incrementAndGet()
                            mayAnswer.await()
                            it.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".toByteArray())
                        }
                    }
                }
            }
        } catch (_: SocketException) {
            // The server was closed.
        }
    }

    /** Accepts connections until [server] closes, and answers the first request of each but the first [silent]. */
    private fun answerAllButFirst(server: ServerSocket, silent: Int) {
        val open = ArrayList<Socket>()
        try {
            while (true) {
                val socket = server.accept().also(open::add)
                if (open.size <= silent) continue
                socket.getInputStream().read()
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".toByteArray())
            }
        } catch (_: SocketException) {
            open.forEach { it.close() }
        }
    }

    @Test
    fun connectionClosedAfterTheServerReadIsReportedAsUnsent() {
        ServerSocket(0, 1, loopback).use { server ->
            thread { server.accept().use { it.getInputStream().read() } }

            assertEquals(CallResult.Unknown, call(server.localPort))
        }
    }

    private companion object {
        const val MAX_OPEN_CONNECTIONS = 16
    }
}
