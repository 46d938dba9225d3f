package org.auburnstream.dispatch

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.slf4j.LoggerFactory
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a failed request whose line in the log and whose metric do not tell why it failed. */
class EntryNodeTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")
    private val callers = freeAddress()
    private val leader = freeAddress()
    private val metrics = NodeMetrics()
    private val lines = LinkedBlockingQueue<String>()
    private val logger = LoggerFactory.getLogger("entry") as Logger
    private val appender = object : AppenderBase<ILoggingEvent>() {
        override fun append(event: ILoggingEvent) {
            lines.add(event.formattedMessage)
        }
    }

    @BeforeEach
    fun start() {
        appender.start()
        logger.addAppender(appender)
        loopThread.start()
    }

    @AfterEach
    fun stop() {
        logger.detachAppender(appender)
        loop.stop()
        loopThread.join()
    }

    @Test
    fun aRequestWithoutALeaderIsNotToldFromOthers() {
        startEntry(seeds = emptySet())

        assertFailure(status = 503, cause = "no_leader")
    }

    @Test
    fun aRequestThatAnIdleLeaderDoesNotServeIsNotToldFromOthers() {
        startLeader { reply -> reply(ForwardedReply(null)) }

        assertFailure(status = 503, cause = "leader_idle")
    }

    @Test
    fun aRequestThatMayHaveRunIsNotToldFromOthers() {
        startLeader { }

        assertFailure(status = 504, cause = "no_answer")
    }

    @Test
    fun aRefusalByTheLeaderIsCountedAsNotForwarded() {
        startLeader { reply -> reply(ForwardedReply(HttpResponse(503))) }

        assertEquals(503, request())
        assertTrue(nextLine("request_failed").endsWith(" cause=answered"))
        assertFalse(scrape().contains("auburnstream_requests_not_forwarded_total"))
    }

    private fun assertFailure(status: Int, cause: String) {
        assertEquals(status, request())
        val line = nextLine("request_failed")
        assertContains(line, " path=/queue/1 method=GET status=$status leader=")
        assertTrue(line.endsWith(" cause=$cause"), line)
        assertContains(scrape(), "auburnstream_requests_not_forwarded_total{cause=\"$cause\"} 1.0")
    }

    private fun request(): Int {
        val url = URI("http://${callers.hostString}:${callers.port}/queue/1").toURL()
        return (url.openConnection() as HttpURLConnection).responseCode
    }

    private fun scrape(): String = onLoop { metrics.scrape().decodeToString() }

    private fun nextLine(event: String): String {
        while (true) {
            val line = checkNotNull(lines.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "no line of $event" }
            if (line.startsWith("event=$event ")) return line
        }
    }

    /** Starts an entry process and a leader that [serve] stands for, and waits until the entry process knows it. */
    private fun startLeader(serve: (reply: (ForwardedReply) -> Unit) -> Unit) {
        val id = PeerNetwork.idOf(leader.hostString, leader.port)
        onLoop {
            val network = PeerNetwork(
                loop = loop,
                self = id,
                address = leader,
                scope = CoroutineScope(SupervisorJob() + loop),
                onStatus = { _, _ -> },
                onCall = { _, reply -> serve { reply(Messages.encode(it)) } },
            )
            network.publish(Messages.encode(GroupStatus(term = 1, leader = id, members = listOf(id))))
        }
        startEntry(seeds = setOf(id))
        nextLine("leader_changed")
    }

    private fun startEntry(seeds: Set<DaemonId>) {
        val settings = NodeSettings(
            name = "test",
            dataCentre = DataCentreId("test"),
            callers = callers,
            readiness = null,
            control = null,
            peer = leader,
            metrics = null,
            seeds = seeds,
            formsGroup = false,
            dataFolder = null,
            losses = 0,
        )
        onLoop { EntryNode(settings, loop, Handler, metrics).start() }
    }

    private fun <T> onLoop(block: () -> T): T {
        val result = CompletableFuture<T>()
        loop.post { result.complete(block()) }
        return result.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun freeAddress(): InetSocketAddress {
        val loopback = InetAddress.getLoopbackAddress()
        return InetSocketAddress(loopback, ServerSocket(0, 1, loopback).use { it.localPort })
    }

    private object Handler : RequestHandler {
        override fun handle(
            listener: ListenerKind,
            request: HttpRequest,
            leader: LeaderAccess,
            respond: (HttpResponse?) -> Unit,
        ) = error("an entry process serves no request")

        override fun noLeader(listener: ListenerKind, request: HttpRequest) = HttpResponse(503)

        override fun unknown(listener: ListenerKind, request: HttpRequest) = HttpResponse(504)

        override fun isRepeatable(listener: ListenerKind, request: HttpRequest) = true

        override fun clientTimeoutMs(request: HttpRequest): Long = 3_000
    }

    private companion object {
        const val WAIT_SECONDS = 20L
    }
}
