package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion

/** Result of a [ControlCommand]; a resend of the operation gets the same one. */
@Serializable
public sealed interface ControlResult {
    /**
     * The change is accepted.
     *
     * @property version version after the change.
     * @property nodes number of nodes at which an effective value changed.
     */
    @Serializable
    @SerialName("changed")
    public data class Changed(val version: SettingsVersion, val nodes: Int) : ControlResult

    /** Nothing was changed, because of [problems]. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<SettingProblem>) : ControlResult

    /**
     * Another change was accepted first.
     *
     * @property winner the change that made the version after the expected one, or the newest if that is forgotten.
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        val expected: SettingsVersion,
        val current: SettingsVersion,
        val winner: ChangeAuthor?,
    ) : ControlResult

    /** The expected version does not exist yet; it was read from another group or epoch. */
    @Serializable
    @SerialName("version-unknown")
    public data class VersionUnknown(val expected: SettingsVersion, val current: SettingsVersion) : ControlResult

    /** The change could break an availability budget. */
    @Serializable
    @SerialName("budget-at-risk")
    public data class BudgetAtRisk(val risk: BudgetRisk) : ControlResult

    /** The group has accepted changes up to [current], which a restore would revert. */
    @Serializable
    @SerialName("restore-refused")
    public data class RestoreRefused(val backup: SettingsVersion, val current: SettingsVersion) : ControlResult

    /** The backup's content is not a state that this version of the software accepts. */
    @Serializable
    @SerialName("backup-invalid")
    public data class BackupInvalid(val problems: List<SettingProblem>) : ControlResult
}

/** Who made a change. */
@Serializable
public data class ChangeAuthor(val operation: OperationId, val operator: OperatorId, val version: SettingsVersion)

/**
 * Why a change could break an availability budget.
 *
 * @property path node whose budget is at risk.
 * @property budget share that may be unavailable after the change.
 * @property unavailable share that is unavailable now.
 */
@Serializable
public data class BudgetRisk(val path: SettingsPath, val budget: Double, val unavailable: Double)
