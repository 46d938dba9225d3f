package org.auburnstream.control

import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion
import kotlin.time.Instant

/**
 * Returns the availability budget that a change could exceed, or null to allow the change.
 *
 * Must depend only on replicated state, because every replica has to reach the same decision.
 */
public typealias ChangeGuard = (after: SettingsTree, impact: EditImpact) -> BudgetRisk?

/**
 * Replicated state of the control group: settings tree, version, epoch and change history.
 *
 * Applies commands deterministically. Immutable, so readers can use an instance while commands are applied.
 *
 * @property epoch number of restores from a backup that led to this state.
 */
public class ControlState(
    public val tree: SettingsTree = SettingsTree.Empty,
    public val version: SettingsVersion = SettingsVersion(0),
    public val epoch: Long = 0,
    public val history: ChangeHistory = ChangeHistory.Empty,
) {
    /**
     * Applies [command] and returns the resulting state and result.
     *
     * @param context operation, operator and time of the command.
     * @param guard decides whether a settings change is allowed.
     */
    public fun apply(
        command: ControlCommand,
        context: CommandContext,
        guard: ChangeGuard = { _, _ -> null },
    ): ControlTransition = when (command) {
        is ControlCommand.ChangeSettings -> changeSettings(command, context, guard)
        is ControlCommand.ChangeNodes -> changeNodes(command)
        is ControlCommand.Restore -> restore(command.backup)
    }

    /** Returns the result of [edits] without applying them. */
    public fun preview(edits: List<SettingEdit>): EditResult = tree.edit(edits)

    /** Returns the complete state for snapshots and backups. */
    public fun snapshot(): ControlSnapshot =
        ControlSnapshot(version = version, epoch = epoch, nodes = tree.export(), history = history.toList())

    private fun changeSettings(
        command: ControlCommand.ChangeSettings,
        context: CommandContext,
        guard: ChangeGuard,
    ): ControlTransition {
        if (command.expected > version) return unchanged(ControlResult.VersionUnknown(command.expected, version))
        if (command.expected < version) return unchanged(conflict(command.expected))
        val edited =
            when (val result = tree.edit(command.edits)) {
                is EditResult.Edited -> result
                is EditResult.Refused -> return unchanged(ControlResult.Invalid(result.problems))
            }
        guard(edited.tree, edited.impact)?.let { return unchanged(ControlResult.BudgetAtRisk(it)) }
        val next = SettingsVersion(version.value + 1)
        val record =
            ChangeRecord(
                version = next,
                operation = context.operation,
                operator = context.operator,
                at = context.at,
                reason = command.reason.take(MAX_REASON_LENGTH),
                edits = command.edits,
                undo = command.edits.map(::undoEdit),
            )
        val state = ControlState(edited.tree, next, epoch, history.append(record))
        return ControlTransition(state, ControlResult.Changed(next, edited.impact.countChangedNodes()))
    }

    private fun conflict(expected: SettingsVersion): ControlResult {
        val next = history.find(SettingsVersion(expected.value + 1)) ?: history.find(version)
        val winner = next?.let { ChangeAuthor(it.operation, it.operator, it.version) }
        return ControlResult.Conflict(expected, version, winner)
    }

    private fun undoEdit(edit: SettingEdit): SettingEdit {
        val old = tree.overridesAt(edit.path)[edit.key]
        return if (old == null) SettingEdit.Unset(edit.path, edit.key) else SettingEdit.Set(edit.path, edit.key, old)
    }

    private fun changeNodes(command: ControlCommand.ChangeNodes): ControlTransition {
        val problems = NodeChangeValidator(tree).problems(command)
        if (problems.isNotEmpty()) return unchanged(ControlResult.Invalid(problems))
        val after = command.remove.fold(tree, SettingsTree::withoutNode).withNodes(command.add)
        val result = ControlResult.Changed(version, command.add.size + command.remove.size)
        return ControlTransition(ControlState(after, version, epoch, history), result)
    }

    private fun restore(backup: ControlSnapshot): ControlTransition {
        if (version.value > 0 || epoch > 0) return unchanged(ControlResult.RestoreRefused(backup.version, version))
        val problems = backup.problems()
        if (problems.isNotEmpty()) return unchanged(ControlResult.BackupInvalid(problems))
        val restored = of(backup.copy(epoch = backup.epoch + 1))
        return ControlTransition(restored, ControlResult.Changed(restored.version, backup.nodes.size))
    }

    private fun unchanged(result: ControlResult): ControlTransition = ControlTransition(this, result)

    public companion object {
        private const val MAX_REASON_LENGTH = 256

        /** Creates the state described by [snapshot]. */
        public fun of(snapshot: ControlSnapshot): ControlState = ControlState(
            tree = SettingsTree.of(snapshot.nodes),
            version = snapshot.version,
            epoch = snapshot.epoch,
            history = ChangeHistory.of(snapshot.history),
        )
    }
}

/** Operation, operator and time of a command, as set by the proposer. */
public data class CommandContext(val operation: OperationId, val operator: OperatorId, val at: Instant)

/** State after a command, and the result of the command. */
public class ControlTransition(public val state: ControlState, public val result: ControlResult)

/** Serializable form of a complete [ControlState]. */
@Serializable
public data class ControlSnapshot(
    val version: SettingsVersion,
    val epoch: Long,
    val nodes: List<SettingsTreeNode>,
    val history: List<ChangeRecord>,
) {
    /** Returns the problems that prevent a restore of this snapshot, or an empty list if there are none. */
    public fun problems(): List<SettingProblem> {
        val malformed = nodes.filter { !it.path.isWellFormed() }
        if (malformed.isNotEmpty()) return malformed.map { SettingProblem.MalformedPath(it.path.value) }
        val edits = nodes.flatMap { node -> node.overrides.map { SettingEdit.Set(node.path, it.key, it.value) } }
        if (edits.isEmpty()) return emptyList()
        // The overrides are checked as a single batch, because rules need not hold for a part of a backup.
        val emptyNodes = SettingsTree.Empty.withNodes(nodes.map { it.path })
        return when (val result = emptyNodes.edit(edits, limit = Int.MAX_VALUE)) {
            is EditResult.Edited -> emptyList()
            is EditResult.Refused -> result.problems
        }
    }
}
