package org.auburnstream.daemon.target

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.auburnstream.model.Announcement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Targets' listener: `POST /v1/announcements` with an [Announcement] in JSON.
 *
 * @param port TCP port, or 0 for any free one.
 * @param interval time between two announcements that targets are asked to keep.
 * @param announce takes in a valid announcement and returns the newest known incarnation if this one is outdated.
 */
public class TargetListener(
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
    private val interval: Duration = 1.seconds,
    private val announce: (Announcement) -> Long?,
) {
    private var server: EmbeddedServer<*, *>? = null

    /** Begins to listen and returns the bound TCP port. */
    public suspend fun start(): Int {
        val started = embeddedServer(CIO, port = port, host = host) { announcements() }
        server = started
        started.startSuspend(wait = false)
        return started.engine.resolvedConnectors().first().port
    }

    /** Closes the listener. */
    public suspend fun close() {
        server?.stopSuspend(GRACE.inWholeMilliseconds, TIMEOUT.inWholeMilliseconds)
    }

    private fun Application.announcements() {
        routing {
            post("/v1/announcements") { receive(call) }
        }
    }

    private suspend fun receive(call: ApplicationCall) {
        val channel = call.receiveChannel()
        val body = channel.readRemaining(MAX_BYTES + 1L).readByteArray()
        if (body.size > MAX_BYTES) {
            channel.cancel()
            return call.refuse(AnnouncementFault.OVERSIZED_ANNOUNCEMENT.problem("The body exceeds $MAX_BYTES bytes."))
        }
        val announcement =
            try {
                Json.decodeFromString(Announcement.serializer(), body.decodeToString())
            } catch (e: SerializationException) {
                val title = "The body is not an announcement in JSON: ${e.message?.lineSequence()?.first()}"
                return call.refuse(AnnouncementFault.MALFORMED_ANNOUNCEMENT.problem(title))
            }
        val invalid = invalidField(announcement)
        if (invalid != null) return call.refuse(AnnouncementFault.INVALID_ANNOUNCEMENT.problem("$invalid."))
        val newest = announce(announcement)
        if (newest != null) {
            val title = "Incarnation ${announcement.incarnation} of ${announcement.vm} is older than $newest."
            return call.refuse(AnnouncementFault.STALE_INCARNATION.problem(title))
        }
        val reply = Json.encodeToString(AnnouncementReply.serializer(), AnnouncementReply(interval.inWholeMilliseconds))
        call.respondText(reply, ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.refuse(problem: AnnouncementProblem) {
        val text = Json.encodeToString(AnnouncementProblem.serializer(), problem)
        respondText(text, ContentType.Application.ProblemJson, HttpStatusCode.fromValue(problem.status))
    }

    private companion object {
        const val MAX_BYTES = 16 * 1024
        val GRACE = 100.milliseconds
        val TIMEOUT = 1.seconds
    }
}
