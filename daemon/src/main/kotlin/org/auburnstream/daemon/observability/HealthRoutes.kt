package org.auburnstream.daemon.observability

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get

/**
 * Adds the routes of the health listener.
 *
 * - `GET /health/live` answers 200 while the process can serve requests.
 * - `GET /health/ready` answers 200 with `ready`, or 503 with the reason in lower case.
 * - `GET /metrics` answers with the metrics in the Prometheus text format.
 */
public fun Route.healthRoutes(readiness: () -> Readiness, metrics: DaemonMetrics) {
    get("/health/live") {
        call.respondText("live\n")
    }
    get("/health/ready") {
        when (val state = readiness()) {
            is Readiness.Ready -> call.respondText("ready\n")
            is Readiness.Unready -> call.respondText(
                text = state.reason.name.lowercase() + "\n",
                status = HttpStatusCode.ServiceUnavailable,
            )
        }
    }
    get("/metrics") {
        call.respondBytes(metrics.scrape(), ContentType.parse(DaemonMetrics.CONTENT_TYPE))
    }
}
