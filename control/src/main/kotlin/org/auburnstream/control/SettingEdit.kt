package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Edit of one setting at one node; part of a batch. */
@Serializable
public sealed interface SettingEdit {
    /** Node at which the setting is edited. */
    public val path: SettingsPath

    /** Name of the edited [SettingKey]. */
    public val key: String

    /** Overrides [key] at [path] with [value]. */
    @Serializable
    @SerialName("set")
    public data class Set(override val path: SettingsPath, override val key: String, val value: SettingValue) :
        SettingEdit

    /** Removes the override of [key] at [path], so that the node inherits the value again. */
    @Serializable
    @SerialName("unset")
    public data class Unset(override val path: SettingsPath, override val key: String) : SettingEdit
}
