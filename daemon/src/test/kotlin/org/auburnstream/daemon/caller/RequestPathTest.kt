package org.auburnstream.daemon.caller

import kotlinx.serialization.json.Json
import org.auburnstream.daemon.target.ScriptedTarget
import org.auburnstream.model.Announcement
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RequestPathTest {
    @Test
    fun announcedTargetAnswersCaller() {
        ScriptedTarget.echo().use { target ->
            RequestPath().use { path ->
                val announcement = Json.encodeToString(Announcement.serializer(), RequestPath.announcement(target.port))
                val reply = path.post(path.targetPort, "/v1/announcements", announcement)
                assertEquals(200, reply.statusCode(), reply.body())

                val answer = path.call("/print/orders/42?copies=2", "POST", "chart")

                assertEquals(200, answer.statusCode(), answer.body())
                assertEquals("POST /orders/42?copies=2 HTTP/1.1 chart", answer.body())
            }
        }
    }

    @Test
    fun connectionIsUsedAgainAfterAnEchoedAnswer() {
        ScriptedTarget.echo().use { target ->
            RequestPath().use { path ->
                path.announce(target.port)
                repeat(20) { assertEquals("GET /$it HTTP/1.1 ", path.call("/print/$it").body()) }
                assertEquals(1, target.accepted)
            }
        }
    }

    @Test
    fun unknownServiceIsNotRun() {
        RequestPath().use { path ->
            val answer = path.call("/nothing/x")

            assertEquals(404, answer.statusCode())
            assertContains(answer.body(), "urn:auburnstream:problem:unknown-service")
            assertTrue(answer.headers().firstValue("Retry-After").isPresent)
        }
    }
}
