package org.auburnstream.daemon.caller

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.auburnstream.daemon.target.TargetGateway
import org.auburnstream.daemon.target.TargetListener
import org.auburnstream.daemon.target.TargetSettings
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.routing.Router
import org.auburnstream.routing.RoutingSettings
import org.auburnstream.routing.credit.DaemonView
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** The request path of one daemon in this process, on real sockets with free ports. */
class RequestPath(
    callers: CallerSettings = CallerSettings(),
    targets: TargetSettings = TargetSettings(),
    routing: RoutingSettings = RoutingSettings(freezeThreshold = 60.seconds, announcementExpiry = 60.seconds),
    wrap: (RequestHandler) -> RequestHandler = { it },
) : AutoCloseable {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val clock = { MonotonicTime(System.nanoTime()) }
    private val ids = AtomicLong()
    val gateway = TargetGateway(selector, clock, targets)
    private val router =
        Router(
            self = DaemonId("d1"),
            dataCentre = DataCentreId("dc1"),
            view = DaemonView(version = 0, configured = setOf(DaemonId("d1"))),
            epoch = 1,
            start = clock(),
            random = Random(1),
            settings = routing,
        )
    val driver = RouterDriver(router, gateway, clock, tick = routing.tick)
    val server =
        CallerServer(scope, selector, clock, { RequestId("r${ids.incrementAndGet()}") }, wrap(driver::handle), callers)
    private val listener = TargetListener(announce = driver::announce)
    val callerPort: Int = runBlocking { server.start() }
    val targetPort: Int = runBlocking { listener.start() }
    private val client = HttpClient.newHttpClient()

    init {
        driver.start(scope)
    }

    fun announce(port: Int, vm: String = "vm-1", service: String = "print", incarnation: Long = 1) {
        driver.announce(announcement(port, vm, service, incarnation))
    }

    fun call(path: String, method: String = "GET", body: String = "", vararg headers: String): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$callerPort$path"))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        if (headers.isNotEmpty()) request.headers(*headers)
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    fun post(port: Int, path: String, body: String): HttpResponse<String> = client.send(
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port$path"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    /** Sends [bytes] on a connection of its own and returns everything received until it is closed. */
    fun raw(bytes: String): String = Socket("127.0.0.1", callerPort).use {
        it.getOutputStream().write(bytes.toByteArray())
        it.getInputStream().readAllBytes().decodeToString()
    }

    override fun close() {
        runBlocking {
            server.close()
            listener.close()
        }
        gateway.close()
        scope.cancel()
        selector.close()
    }

    companion object {
        fun announcement(
            port: Int,
            vm: String = "vm-1",
            service: String = "print",
            incarnation: Long = 1,
        ): Announcement = Announcement(
            vm = VmId(vm),
            incarnation = incarnation,
            dataCentre = DataCentreId("dc1"),
            rack = RackId("rack1"),
            pool = PoolId("pool1"),
            address = "127.0.0.1",
            port = port,
            service = ServiceId(service),
        )
    }
}
