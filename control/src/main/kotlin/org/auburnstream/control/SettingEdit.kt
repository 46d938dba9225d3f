package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One step of a change batch. */
@Serializable
public sealed interface SettingEdit {
    /** Node that the edit is made at. */
    public val path: SettingsPath

    /** Name of the key. */
    public val key: String

    /** Overrides [key] at [path] by [value]. */
    @Serializable
    @SerialName("set")
    public data class Set(override val path: SettingsPath, override val key: String, val value: SettingValue) :
        SettingEdit

    /** Removes the override of [key] at [path], so that the node inherits again. */
    @Serializable
    @SerialName("unset")
    public data class Unset(override val path: SettingsPath, override val key: String) : SettingEdit
}
