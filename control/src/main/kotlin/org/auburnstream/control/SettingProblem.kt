package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reason for refusing an edit, a batch of edits, a change of nodes or a backup. */
@Serializable
public sealed interface SettingProblem {
    /** The batch is empty. */
    @Serializable
    @SerialName("empty-batch")
    public data object EmptyBatch : SettingProblem

    /** The batch has [size] elements; at most [limit] are allowed. */
    @Serializable
    @SerialName("batch-too-large")
    public data class BatchTooLarge(val size: Int, val limit: Int) : SettingProblem

    /** [path] is not a valid settings path. */
    @Serializable
    @SerialName("malformed-path")
    public data class MalformedPath(val path: String) : SettingProblem

    /** There is no setting with the name [key]. */
    @Serializable
    @SerialName("unknown-key")
    public data class UnknownKey(val path: SettingsPath, val key: String) : SettingProblem

    /** [key] cannot be overridden at the level of [path], only at [levels]. */
    @Serializable
    @SerialName("level-not-allowed")
    public data class LevelNotAllowed(val path: SettingsPath, val key: String, val levels: List<SettingLevel>) :
        SettingProblem

    /** [value] is not valid for [key], which requires a value of [type] in [range]. */
    @Serializable
    @SerialName("invalid-value")
    public data class InvalidValue(
        val path: SettingsPath,
        val key: String,
        val value: String,
        val type: String,
        val range: String,
    ) : SettingProblem

    /** The batch edits [key] at [path] more than once. */
    @Serializable
    @SerialName("duplicate-edit")
    public data class DuplicateEdit(val path: SettingsPath, val key: String) : SettingProblem

    /** [key] is not overridden at [path], so there is nothing to remove. */
    @Serializable
    @SerialName("not-overridden")
    public data class NotOverridden(val path: SettingsPath, val key: String) : SettingProblem

    /** The edits would violate [rule] at [path], where they result in the effective [values]. */
    @Serializable
    @SerialName("rule-broken")
    public data class RuleBroken(
        val path: SettingsPath,
        val rule: String,
        val explanation: String,
        val values: List<RuleValue>,
    ) : SettingProblem

    /** [path] cannot be removed while settings are overridden at or below it. */
    @Serializable
    @SerialName("node-has-overrides")
    public data class NodeHasOverrides(val path: SettingsPath) : SettingProblem

    /** The tree would have [size] nodes; at most [limit] are allowed. */
    @Serializable
    @SerialName("tree-too-large")
    public data class TreeTooLarge(val size: Int, val limit: Int) : SettingProblem
}

/** Effective value of a key in a violated rule, and the node that defines it, or null for the default. */
@Serializable
public data class RuleValue(val key: String, val value: String, val origin: SettingsPath? = null)
