package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Value of a setting as stored in the tree. */
@Serializable
public sealed interface SettingValue {
    /** A span of time. */
    @Serializable
    @SerialName("duration")
    public data class OfDuration(val value: Duration) : SettingValue

    /** A whole number. */
    @Serializable
    @SerialName("integer")
    public data class OfInteger(val value: Long) : SettingValue

    /** A share or factor. */
    @Serializable
    @SerialName("ratio")
    public data class OfRatio(val value: Double) : SettingValue

    /** A switch. */
    @Serializable
    @SerialName("boolean")
    public data class OfBoolean(val value: Boolean) : SettingValue

    /** A short text. */
    @Serializable
    @SerialName("text")
    public data class OfText(val value: String) : SettingValue
}
