package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why one edit, or a batch of them, is refused. */
@Serializable
public sealed interface SettingProblem {
    /** The batch holds no edit. */
    @Serializable
    @SerialName("empty-batch")
    public data object EmptyBatch : SettingProblem

    /** The batch holds [size] edits; at most [limit] are allowed. */
    @Serializable
    @SerialName("batch-too-large")
    public data class BatchTooLarge(val size: Int, val limit: Int) : SettingProblem

    /** [path] is no path of the tree. */
    @Serializable
    @SerialName("malformed-path")
    public data class MalformedPath(val path: String) : SettingProblem

    /** No setting is called [key]. */
    @Serializable
    @SerialName("unknown-key")
    public data class UnknownKey(val path: SettingsPath, val key: String) : SettingProblem

    /** [key] cannot be set at the level of [path]; [levels] are allowed. */
    @Serializable
    @SerialName("level-not-allowed")
    public data class LevelNotAllowed(val path: SettingsPath, val key: String, val levels: List<SettingLevel>) :
        SettingProblem

    /** [value] is no value of [key], which takes a [type] of [range]. */
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

    /** [rule] would not hold at [path] with the effective [values]. */
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

/** Effective value of a key that takes part in a broken rule, with the node that sets it. */
@Serializable
public data class RuleValue(val key: String, val value: String, val origin: SettingsPath? = null)
