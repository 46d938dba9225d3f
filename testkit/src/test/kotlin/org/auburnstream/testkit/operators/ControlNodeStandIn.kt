package org.auburnstream.testkit.operators

import org.auburnstream.dispatch.ControlNode
import org.auburnstream.dispatch.LeaderAccess
import org.auburnstream.dispatch.ListenerKind
import org.auburnstream.dispatch.NodeSettings
import org.auburnstream.dispatch.RequestHandler
import org.auburnstream.dispatch.http.HttpLimits
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.dispatch.http.HttpServer
import org.auburnstream.dispatch.http.HttpTimeouts
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.Queue
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.ServiceTerms
import org.auburnstream.scheduling.Tenant
import org.auburnstream.scheduling.TenantName
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The only member of a control group, with a catalog of one queue and one tenant, and no workers. */
internal class ControlNodeStandIn(folder: Path) : AutoCloseable {
    private val loop = EventLoop()
    private val accepted = CountDownLatch(1)
    private val settings = nodeSettings(folder)
    private val node = ControlNode(
        settings = settings,
        loop = loop,
        handler = CatalogHandler,
        gateway = { action, _, _, _ -> error("no order is expected, but $action") },
        metrics = NodeMetrics(),
        decodeCatalog = { CatalogHandler.catalog },
        onFatal = { error(it) },
    )
    private val server = HttpServer(
        loop = loop,
        address = loopback(port = 0),
        limits = { HttpLimits(MAX_BYTES, MAX_BYTES) },
        timeouts = { HttpTimeouts(5.seconds, 60.seconds) },
        maxConnections = 8,
        handle = node::serveOperator,
    )
    val address: String = "127.0.0.1:${server.address.port}"
    private val runner = thread(name = "loop") { loop.run() }

    init {
        loop.post {
            node.start()
            offerCatalog()
        }
    }

    fun awaitLeadership() = check(accepted.await(WAIT_SECONDS, TimeUnit.SECONDS)) { "no leader within $WAIT_SECONDS s" }

    override fun close() {
        loop.post { node.stop { loop.stop() } }
        runner.join()
    }

    private fun offerCatalog() {
        node.serve(ListenerKind.CONTROL, HttpRequest("POST", "/catalog")) { response ->
            if (response.status == OK) accepted.countDown() else loop.after(RETRY) { offerCatalog() }
        }
    }

    /** Takes the one catalog, whatever is asked. */
    private object CatalogHandler : RequestHandler {
        private val service = ServiceId("print")
        private val queue = Queue(QueueName("plates"), "host", "/plates/", service, attempts = 2, timeoutMs = 3_000)
        private val tenant = Tenant(TenantName("press"), keys = emptyList(), weight = 2.5)
        val catalog = Catalog(1, listOf(queue), listOf(ServiceTerms(service)), tenants = listOf(tenant))

        override fun handle(
            listener: ListenerKind,
            request: HttpRequest,
            leader: LeaderAccess,
            respond: (HttpResponse?) -> Unit,
        ) = leader.offer({ Event.CatalogSubmitted(it, catalog, document = "{}") }) { respond(HttpResponse(OK)) }

        override fun noLeader(listener: ListenerKind, request: HttpRequest) = HttpResponse(UNAVAILABLE)

        override fun unknown(listener: ListenerKind, request: HttpRequest) = HttpResponse(UNAVAILABLE)

        override fun isRepeatable(listener: ListenerKind, request: HttpRequest) = true

        override fun clientTimeoutMs(request: HttpRequest): Long? = null
    }

    companion object {
        const val TOKEN = "operators-token"
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val MAX_BYTES = 65_536
        private const val WAIT_SECONDS = 30L
        private val RETRY: Duration = 50.milliseconds

        private fun loopback(port: Int) = InetSocketAddress(InetAddress.getLoopbackAddress(), port)

        private fun nodeSettings(folder: Path): NodeSettings {
            // The port of a closed listener stays free for long enough in this short test.
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            val peer = InetSocketAddress("127.0.0.1", port)
            return NodeSettings(
                name = "control-1",
                dataCentre = DataCentreId("a"),
                callers = null,
                readiness = null,
                control = loopback(port = 0),
                peer = peer,
                metrics = null,
                seeds = setOf(PeerNetwork.idOf(peer.hostString, peer.port)),
                formsGroup = true,
                dataFolder = folder,
                losses = 0,
                operatorToken = TOKEN,
            )
        }
    }
}
