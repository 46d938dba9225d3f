package org.auburnstream.testkit.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.auburnstream.model.Announcement
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** Announces a stand-in target to each of [daemons], given as `address:port`, once a second. */
internal class Announcer(initial: Announcement, private val daemons: List<String>) : AutoCloseable {
    private val current = AtomicReference(initial)
    private val client = HttpClient(CIO) { expectSuccess = false }

    @Volatile
    private var silent = false

    fun update(change: (Announcement) -> Announcement) {
        current.updateAndGet(change)
    }

    fun silence() {
        silent = true
    }

    /** Announces until cancelled; a daemon that does not answer delays no other. */
    suspend fun run(): Unit = coroutineScope {
        daemons.forEach { daemon ->
            launch {
                while (true) {
                    if (!silent) withTimeoutOrNull(INTERVAL) { announce(daemon) }
                    delay(INTERVAL)
                }
            }
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun announce(daemon: String) {
        try {
            client.post("http://$daemon/v1/announcements") {
                contentType(ContentType.Application.Json)
                setBody(Json.encodeToString(Announcement.serializer(), current.get()))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // A daemon that is away is announced to again at the next turn.
        }
    }

    private companion object {
        val INTERVAL = 1.seconds
    }
}
