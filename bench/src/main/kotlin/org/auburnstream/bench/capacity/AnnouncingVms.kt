package org.auburnstream.bench.capacity

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
import kotlinx.serialization.json.Json
import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration.Companion.seconds

/** Announces [count] VMs to each of [daemons] (`address:port`) once a second; nothing listens at their address. */
internal class AnnouncingVms(private val count: Int, private val daemons: List<String>) : AutoCloseable {
    private val client = HttpClient(CIO) { engine { maxConnectionsCount = MAX_CONNECTIONS } }
    private val messages = List(count) { Json.encodeToString(Announcement.serializer(), announcement(it)) }

    /** Announces until cancelled; each VM at its own moment of the second. */
    suspend fun run(): Unit = coroutineScope {
        messages.forEachIndexed { i, message ->
            launch {
                delay(INTERVAL * i / count)
                while (true) {
                    daemons.forEach { announce(it, message) }
                    delay(INTERVAL)
                }
            }
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun announce(daemon: String, message: String) {
        try {
            client.post("http://$daemon/v1/announcements") {
                contentType(ContentType.Application.Json)
                setBody(message)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: java.io.IOException) {
            // Announced again after the interval.
        }
    }

    private fun announcement(i: Int): Announcement = Announcement(
        vm = VmId("vm-$i"),
        incarnation = 1,
        dataCentre = DataCentreId("dc-${i % DATA_CENTRES}"),
        rack = RackId("rack-${i / VMS_PER_RACK}"),
        pool = PoolId(POOL),
        address = "127.0.0.1",
        port = DISCARD_PORT,
        service = ServiceId(SERVICE),
        processors = 16,
        memoryMegabytes = 32_768,
    )

    companion object {
        const val POOL = "pool-1"
        const val SERVICE = "service-1"
        private const val DATA_CENTRES = 3
        private const val VMS_PER_RACK = 4
        private const val DISCARD_PORT = 9
        private const val MAX_CONNECTIONS = 256
        private val INTERVAL = 1.seconds
    }
}
