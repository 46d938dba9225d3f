package org.auburnstream.daemon

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP listener for the routes of one kind of client, such as operators; callers have a separate server. */
internal class HttpListener(private val host: String, private val port: Int, private val routes: Route.() -> Unit) {
    private var server: EmbeddedServer<*, *>? = null

    /** Starts listening and returns the bound TCP port. */
    suspend fun start(): Int {
        val started = embeddedServer(CIO, port = port, host = host) { install() }
        server = started
        started.startSuspend(wait = false)
        return started.engine.resolvedConnectors().first().port
    }

    /** Closes the listener; requests in progress may complete within [SHUTDOWN_GRACE_PERIOD]. */
    suspend fun close() {
        server?.stopSuspend(SHUTDOWN_GRACE_PERIOD.inWholeMilliseconds, SHUTDOWN_TIMEOUT.inWholeMilliseconds)
    }

    private fun Application.install() {
        routing { routes() }
    }

    private companion object {
        val SHUTDOWN_GRACE_PERIOD = 100.milliseconds
        val SHUTDOWN_TIMEOUT = 1.seconds
    }
}
