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
 * Command in the replicated log of the control group.
 *
 * @property operation id by which a resent command is recognized.
 * @property operator operator or daemon that requested the command.
 * @property proposedAt wall-clock time of the proposing daemon; replicas use no other time.
 */
@Serializable
public data class ReplicatedCommand(
    val operation: OperationId,
    val operator: OperatorId,
    val proposedAt: Instant,
    val body: CommandBody,
)

/** Operation that a command requests. */
@Serializable
public sealed interface CommandBody {
    /** Changes the settings. */
    @Serializable
    @SerialName("control")
    public data class Control(val command: ControlCommand) : CommandBody

    /** Changes the fleet. */
    @Serializable
    @SerialName("fleet")
    public data class Fleet(val command: FleetCommand) : CommandBody

    /** Sets the daemons whose settings lease may be live. */
    @Serializable
    @SerialName("daemons")
    public data class Daemons(val live: Set<DaemonId>) : CommandBody

    /** Records that the process of [daemon] has restarted, so that the other daemons resend their state to it. */
    @Serializable
    @SerialName("daemon_started")
    public data class DaemonStarted(val daemon: DaemonId) : CommandBody
}

/** Response of the replicated state to one command. */
@Serializable
public sealed interface CommandAnswer {
    /** The settings command was executed; a resent command gets the same [result]. */
    @Serializable
    @SerialName("control")
    public data class Control(val result: ControlResult) : CommandAnswer

    /** The fleet command was executed; a resent command gets the same [result]. */
    @Serializable
    @SerialName("fleet")
    public data class Fleet(val result: FleetResult) : CommandAnswer

    /** The live daemons were set. */
    @Serializable
    @SerialName("daemons")
    public data object Daemons : CommandAnswer

    /** The command was not executed because its operation id was refused. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val problem: OperationProblem) : CommandAnswer

    /** The command was not executed because this software version cannot decode it. */
    @Serializable
    @SerialName("unreadable")
    public data object Unreadable : CommandAnswer
}
