package org.auburnstream.daemon.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.control.ControlCommand
import org.auburnstream.control.ControlResult
import org.auburnstream.control.OperationProblem
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetResult
import org.auburnstream.model.DaemonId
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import kotlin.time.Instant

/**
 * Entry of the replicated log.
 *
 * @property operation id by which a resend is recognized.
 * @property operator who asked for it.
 * @property proposedAt wall clock of the proposing daemon; the replicas use no other time.
 */
@Serializable
public data class ReplicatedCommand(
    val operation: OperationId,
    val operator: OperatorId,
    val proposedAt: Instant,
    val body: CommandBody,
)

/** What a command asks for. */
@Serializable
public sealed interface CommandBody {
    /** A change of the settings. */
    @Serializable
    @SerialName("control")
    public data class Control(val command: ControlCommand) : CommandBody

    /** A change of the fleet. */
    @Serializable
    @SerialName("fleet")
    public data class Fleet(val command: FleetCommand) : CommandBody

    /** The daemons whose settings lease may be live are now [live]. */
    @Serializable
    @SerialName("daemons")
    public data class Daemons(val live: Set<DaemonId>) : CommandBody

    /** The process of [daemon] started anew; the others report to it again what they hold. */
    @Serializable
    @SerialName("daemon_started")
    public data class DaemonStarted(val daemon: DaemonId) : CommandBody
}

/** Answer of the replicated state to one command. */
@Serializable
public sealed interface CommandAnswer {
    /** The command on the settings was run; a resend gets the same [result]. */
    @Serializable
    @SerialName("control")
    public data class Control(val result: ControlResult) : CommandAnswer

    /** The command on the fleet was run; a resend gets the same [result]. */
    @Serializable
    @SerialName("fleet")
    public data class Fleet(val result: FleetResult) : CommandAnswer

    /** The live daemons were set. */
    @Serializable
    @SerialName("daemons")
    public data object Daemons : CommandAnswer

    /** The command was not run, because of its operation id. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val problem: OperationProblem) : CommandAnswer

    /** The command was not run, because this version of the software cannot read it. */
    @Serializable
    @SerialName("unreadable")
    public data object Unreadable : CommandAnswer
}
