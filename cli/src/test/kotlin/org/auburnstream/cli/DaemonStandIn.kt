package org.auburnstream.cli

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.auburnstream.api.LeaseView
import org.auburnstream.api.StatusView
import org.auburnstream.control.RollOutProgress
import org.auburnstream.daemon.operator.ControlService
import org.auburnstream.daemon.operator.OperatorServices
import org.auburnstream.daemon.operator.Proposal
import org.auburnstream.daemon.operator.ReadOutcome
import org.auburnstream.daemon.operator.operatorRoutes
import org.auburnstream.daemon.state.CommandAnswer
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.daemon.state.ReplicatedState
import org.auburnstream.daemon.state.StateMessages
import org.auburnstream.model.LogIndex
import org.auburnstream.model.OperatorId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The operators' interface of a daemon that is alone in its group; it can lose answers after running the command. */
class DaemonStandIn(private val state: ReplicatedState = ReplicatedState()) :
    ControlService,
    AutoCloseable {
    /** Answers to lose, counted down with each proposal. */
    var answersToLose = 0
    var progress = RollOutProgress(true, 40.milliseconds, emptyList())
    private val services =
        OperatorServices(
            control = this,
            status = ::status,
            authenticate = { OperatorId("amina").takeIf { _ -> it == TOKEN } },
            clock = FixedClock,
        )
    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing { operatorRoutes(services) }
    }.start()
    val address: String = runBlocking { "127.0.0.1:${server.engine.resolvedConnectors().first().port}" }
    val version: Long get() = state.view.value.control.version.value

    override suspend fun propose(command: ReplicatedCommand): Proposal {
        val index = state.view.value.appliedIndex + 1
        val answer: CommandAnswer = StateMessages.decodeAnswer(state.apply(index, StateMessages.encode(command)))!!
        // Far beyond every time limit of a client: the answer never comes.
        if (answersToLose-- > 0) delay(1_000.seconds)
        return Proposal.Answered(index, answer)
    }

    override suspend fun read(): ReadOutcome = ReadOutcome.Current(state.view.value)

    override suspend fun awaitInForce(index: LogIndex, timeout: Duration): RollOutProgress = progress

    override fun close() = server.stop(0, 0)

    private fun status() = StatusView(
        "d1", "control", "leader", 3, "d1", 9, 9, version, 0,
        LeaseView(
            live = true,
            remainingMillis = 2_100,
        ),
    )

    companion object {
        const val TOKEN = "0123456789abcdef"
    }
}

/** A wall clock that stands still. */
object FixedClock : Clock {
    override fun now(): Instant = Instant.fromEpochSeconds(1_800_000_000)
}
