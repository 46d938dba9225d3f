package org.auburnstream.daemon.state

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import org.auburnstream.consensus.StateMachine
import org.auburnstream.control.Admission
import org.auburnstream.control.ChangeGuard
import org.auburnstream.control.CommandContext
import org.auburnstream.control.ControlSnapshot
import org.auburnstream.control.ControlState
import org.auburnstream.control.OperationPolicy
import org.auburnstream.control.OperationSnapshot
import org.auburnstream.control.OperationTable
import org.auburnstream.daemon.fleet.FleetStateHolder
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.model.LogIndex

/**
 * State machine of the control group, which holds the settings, the fleet and the live daemons.
 *
 * A table of operations detects resent commands. [apply] never throws because of a command's content: every replica
 * answers a command that it cannot decode with [CommandAnswer.Unreadable]. Readers use [view], whose immutable value is
 * replaced after each command.
 *
 * @param guard refuses changes of settings that could violate an availability budget.
 * @property fleet state of the fleet on this replica.
 */
public class ReplicatedState(
    policy: OperationPolicy = OperationPolicy(),
    private val guard: ChangeGuard = { _, _ -> null },
    public val fleet: FleetStateHolder = FleetStateHolder(),
) : StateMachine {
    private val operations = OperationTable(policy)
    private var control = ControlState()
    private var daemons = LiveDaemons()
    private val published = MutableStateFlow(StateView(LogIndex(0), control, daemons))

    /** State after the last applied command. */
    public val view: StateFlow<StateView> = published.asStateFlow()

    override fun apply(index: LogIndex, command: ByteArray): ByteArray {
        val decoded = StateCodec.decode(ReplicatedCommand.serializer(), command)
        val answer = if (decoded == null) encode(CommandAnswer.Unreadable) else execute(index, decoded)
        // The index advances with every command, even a refused one, because leases wait for it.
        published.value = StateView(index, control, daemons)
        return answer
    }

    override fun snapshot(): ByteArray {
        val snapshot = StateSnapshot(control.snapshot(), operations.snapshot(), fleet.snapshot(), daemons)
        return StateCodec.encode(StateSnapshot.serializer(), snapshot)
    }

    /** @throws UnreadableSnapshotException if [snapshot] has another format version or is corrupt. */
    override fun restore(index: LogIndex, snapshot: ByteArray) {
        val decoded =
            StateCodec.decode(StateSnapshot.serializer(), snapshot)
                ?: throw UnreadableSnapshotException(index, snapshot.size)
        operations.restore(decoded.operations)
        control = ControlState.of(decoded.control)
        fleet.restore(decoded.fleet)
        daemons = decoded.daemons
        published.value = StateView(index, control, daemons)
    }

    private fun execute(index: LogIndex, command: ReplicatedCommand): ByteArray {
        // The leader never resends its own commands, so their answers need not displace operators' answers.
        if (!command.body.isOperatorCommand()) return encode(executeBody(index, command))
        val content = contentOf(command)
        return when (val admission = operations.admit(command.operation, content, command.proposedAt)) {
            is Admission.Repeated -> admission.answer
            is Admission.Refused -> encode(CommandAnswer.Refused(admission.problem))
            is Admission.First -> {
                val answer = encode(executeBody(index, command))
                operations.record(command.operation, content, admission.created, answer)
                answer
            }
        }
    }

    private fun executeBody(index: LogIndex, command: ReplicatedCommand): CommandAnswer {
        val context = CommandContext(command.operation, command.operator, command.proposedAt)
        return when (val body = command.body) {
            is CommandBody.Control -> {
                val transition = control.apply(body.command, context, guard)
                control = transition.state
                CommandAnswer.Control(transition.result)
            }

            is CommandBody.Fleet -> {
                CommandAnswer.Fleet(fleet.apply(body.command, command.proposedAt))
            }

            is CommandBody.DaemonStarted -> {
                daemons = LiveDaemons(index.value, daemons.live.orEmpty() + body.daemon)
                CommandAnswer.Daemons
            }

            is CommandBody.Daemons -> {
                daemons = LiveDaemons(index.value, body.live)
                CommandAnswer.Daemons
            }
        }
    }

    private fun CommandBody.isOperatorCommand(): Boolean = when (this) {
        is CommandBody.Control -> true
        is CommandBody.Fleet -> command is FleetCommand.Operator
        is CommandBody.Daemons, is CommandBody.DaemonStarted -> false
    }

    // A resent command has a later proposal time, so the time is excluded from the compared content.
    private fun contentOf(command: ReplicatedCommand): ByteArray {
        val content = OperationContent(command.operator.value, command.body)
        return StateCodec.encode(OperationContent.serializer(), content)
    }

    private fun encode(answer: CommandAnswer): ByteArray = StateCodec.encode(CommandAnswer.serializer(), answer)
}

/**
 * Immutable view of the replicated state.
 *
 * @property appliedIndex index of the last command that the view reflects.
 */
public data class StateView(
    val appliedIndex: LogIndex,
    val control: ControlState,
    val daemons: LiveDaemons = LiveDaemons(),
)

/** Thrown when this software version cannot decode a snapshot. */
public class UnreadableSnapshotException(index: LogIndex, size: Int) :
    RuntimeException(
        "Snapshot at index $index ($size bytes) cannot be read: start the version that wrote it, " +
            "or clear the data folder and let the daemon catch up from its peers",
    )

@Serializable
private class OperationContent(val operator: String, val body: CommandBody)

@Serializable
private class StateSnapshot(
    val control: ControlSnapshot,
    val operations: OperationSnapshot,
    val fleet: ByteArray,
    val daemons: LiveDaemons = LiveDaemons(),
)
