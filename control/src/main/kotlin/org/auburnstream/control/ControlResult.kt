package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion

/** Result of a [ControlCommand]; a retry of the same operation returns the same result. */
@Serializable
public sealed interface ControlResult {
    /**
     * The command was accepted.
     *
     * @property version settings version after the command.
     * @property nodes number of affected nodes: for a settings change, those at which an effective value changed; for
     * a change of nodes, those added or removed; for a restore, those of the backup.
     */
    @Serializable
    @SerialName("changed")
    public data class Changed(val version: SettingsVersion, val nodes: Int) : ControlResult

    /** The command is invalid because of [problems]; nothing was changed. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<SettingProblem>) : ControlResult

    /**
     * Another change was accepted after the expected version was read.
     *
     * @property winner author of the change that created the version after [expected], or of the newest change if
     * that one is no longer retained.
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val expected: SettingsVersion,
        val current: SettingsVersion,
        val winner: ChangeAuthor?,
    ) : ControlResult

    /** The expected version is newer than the current one, so it was read from another group or epoch. */
    @Serializable
    @SerialName("version-unknown")
    public data class VersionUnknown(val expected: SettingsVersion, val current: SettingsVersion) : ControlResult

    /** The change could exceed an availability budget. */
    @Serializable
    @SerialName("budget-at-risk")
    public data class BudgetAtRisk(val risk: BudgetRisk) : ControlResult

    /** The group already has changes up to [current] or was restored before, and a restore would revert that state. */
    @Serializable
    @SerialName("restore-refused")
    public data class RestoreRefused(val backup: SettingsVersion, val current: SettingsVersion) : ControlResult

    /** The content of the backup is not valid for this software version. */
    @Serializable
    @SerialName("backup-invalid")
    public data class BackupInvalid(val problems: List<SettingProblem>) : ControlResult
}

/** Identifies a change by its operation, operator and version. */
@Serializable
public data class ChangeAuthor(val operation: OperationId, val operator: OperatorId, val version: SettingsVersion)

/**
 * Availability budget that a change could exceed.
 *
 * @property path node to which the budget applies.
 * @property budget share that may be unavailable after the change.
 * @property unavailable share that is currently unavailable.
 */
@Serializable
public data class BudgetRisk(val path: SettingsPath, val budget: Double, val unavailable: Double)
