package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Value of a setting in the form that is stored in the tree. */
@Serializable
public sealed interface SettingValue {
    /** Duration. */
    @Serializable
    @SerialName("duration")
    public data class OfDuration(val value: Duration) : SettingValue

    /** Integer. */
    @Serializable
    @SerialName("integer")
    public data class OfInteger(val value: Long) : SettingValue

    /** Ratio. */
    @Serializable
    @SerialName("ratio")
    public data class OfRatio(val value: Double) : SettingValue

    /** Boolean. */
    @Serializable
    @SerialName("boolean")
    public data class OfBoolean(val value: Boolean) : SettingValue

    /** Short text. */
    @Serializable
    @SerialName("text")
    public data class OfText(val value: String) : SettingValue
}
