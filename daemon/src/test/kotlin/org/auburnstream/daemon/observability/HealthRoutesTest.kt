package org.auburnstream.daemon.observability

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import io.ktor.server.cio.CIO as ServerCIO

/** Guards against health checks that report a wrong state: an unready daemon must still be live. */
class HealthRoutesTest {
    @Test
    fun answersLivenessReadinessAndMetrics() = runBlocking {
        var state: Readiness = Readiness.Ready
        val server = embeddedServer(ServerCIO, port = 0, host = "127.0.0.1") {
            routing { healthRoutes(readiness = { state }, metrics = DaemonMetrics()) }
        }.start()
        val port = server.engine.resolvedConnectors().single().port
        val client = HttpClient(CIO)

        suspend fun get(path: String): Pair<Int, String> =
            client.get("http://127.0.0.1:$port$path").let { it.status.value to it.bodyAsText() }

        assertEquals(200 to "live\n", get("/health/live"))
        assertEquals(200 to "ready\n", get("/health/ready"))
        state = Readiness.Unready(UnreadyReason.SETTINGS_LEASE_EXPIRED)
        assertEquals(503 to "settings_lease_expired\n", get("/health/ready"))
        assertEquals(200 to "live\n", get("/health/live"))
        assertContains(get("/metrics").second, "process_cpu_seconds_total")
        client.close()
        server.stop(gracePeriodMillis = 0, timeoutMillis = 1000)
    }
}
