package org.auburnstream.daemon.operator

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.auburnstream.api.LeaseView
import org.auburnstream.api.StatusView
import org.auburnstream.control.BlockingDaemon
import org.auburnstream.control.HoldCause
import org.auburnstream.control.RollOutProgress
import org.auburnstream.daemon.state.ReplicatedState
import org.auburnstream.model.DaemonId
import org.auburnstream.model.OperatorId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Test server for the operators' API on an ephemeral port, backed by a [LocalGroup]. */
class OperatorServer(bodyTimeout: Duration = 500.milliseconds) : AutoCloseable {
    val state = ReplicatedState()
    val group = LocalGroup(state)

    /** Wall clock of the daemon. */
    var now: Instant = Instant.fromEpochSeconds(1_800_000_000)

    /** Roll-out progress returned to requests that wait for a change to be in force. */
    var progress =
        RollOutProgress(
            true,
            120.milliseconds,
            listOf(BlockingDaemon(DaemonId("d3"), HoldCause.LEASE, 90.milliseconds)),
        )

    private val services =
        OperatorServices(
            control = GroupControlService(group, state, rollOut = { _, _ -> progress }),
            status = ::status,
            authenticate = { token -> OperatorId("amina").takeIf { token == TOKEN } },
            clock = object : Clock {
                override fun now() = now
            },
            maxBodyBytes = MAX_BODY,
            bodyTimeout = bodyTimeout,
        )
    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing { operatorRoutes(services) }
    }.start()

    val port: Int = runBlocking { server.engine.resolvedConnectors().first().port }
    val address: String = "127.0.0.1:$port"

    override fun close() = server.stop(0, 0)

    private fun status(): StatusView {
        val replica = group.status.value
        return StatusView(
            daemon = "d1",
            group = group.id.value,
            role = replica.role.name.lowercase(),
            term = replica.term,
            leader = replica.leader?.value,
            commitIndex = replica.commitIndex.value,
            appliedIndex = replica.appliedIndex.value,
            settingsVersion = state.view.value.control.version.value,
            epoch = state.view.value.control.epoch,
            lease = LeaseView(live = true, remainingMillis = 2_500),
        )
    }

    companion object {
        const val TOKEN = "0123456789abcdef"
        const val MAX_BODY = 4_096L
    }
}
