package org.auburnstream.control

import kotlin.time.Duration

/**
 * Type and range of a setting.
 *
 * Converts between text, the stored [SettingValue] and the typed value, and checks the range.
 *
 * @param T Kotlin type of the value.
 */
public sealed interface SettingType<T : Any> {
    /** Name of the type in help texts. */
    public val name: String

    /** Description of the allowed values for help texts and errors. */
    public val range: String

    /** Parses [text], or returns null if it is not a value of this type; does not check the range. */
    public fun parse(text: String): T?

    /** Formats [value] as text that [parse] converts back to an equal value. */
    public fun format(value: T): String

    /** Returns the stored form of [value]. */
    public fun wrap(value: T): SettingValue

    /** Returns the typed form of [value], or null if it has another type or is out of range. */
    public fun unwrap(value: SettingValue): T?

    /** Durations in the range [allowed]. */
    public class Durations(private val allowed: ClosedRange<Duration>) : SettingType<Duration> {
        override val name: String get() = "duration"
        override val range: String get() = "${allowed.start} to ${allowed.endInclusive}"

        override fun parse(text: String): Duration? = Duration.parseOrNull(text)

        override fun format(value: Duration): String = value.toString()

        override fun wrap(value: Duration): SettingValue = SettingValue.OfDuration(value)

        override fun unwrap(value: SettingValue): Duration? =
            (value as? SettingValue.OfDuration)?.value?.takeIf { it in allowed }
    }

    /** Integers in the range [allowed]. */
    public class Integers(private val allowed: LongRange) : SettingType<Long> {
        override val name: String get() = "integer"
        override val range: String get() = "${allowed.first} to ${allowed.last}"

        override fun parse(text: String): Long? = text.toLongOrNull()

        override fun format(value: Long): String = value.toString()

        override fun wrap(value: Long): SettingValue = SettingValue.OfInteger(value)

        override fun unwrap(value: SettingValue): Long? =
            (value as? SettingValue.OfInteger)?.value?.takeIf { it in allowed }
    }

    /** Ratios in the range [allowed]; the text `5%` is parsed as 0.05. */
    public class Ratios(private val allowed: ClosedRange<Double>) : SettingType<Double> {
        override val name: String get() = "ratio"
        override val range: String get() = "${allowed.start} to ${allowed.endInclusive}"

        override fun parse(text: String): Double? {
            val percent = text.endsWith(PERCENT_SIGN)
            val number = text.removeSuffix(PERCENT_SIGN).toDoubleOrNull()
            return if (percent) number?.div(PERCENT) else number
        }

        override fun format(value: Double): String = value.toString()

        override fun wrap(value: Double): SettingValue = SettingValue.OfRatio(value)

        override fun unwrap(value: SettingValue): Double? =
            (value as? SettingValue.OfRatio)?.value?.takeIf { it in allowed }

        private companion object {
            const val PERCENT_SIGN = "%"
            const val PERCENT = 100.0
        }
    }

    /** Boolean values. */
    public data object Booleans : SettingType<Boolean> {
        override val name: String get() = "boolean"
        override val range: String get() = "true or false"

        override fun parse(text: String): Boolean? = text.toBooleanStrictOrNull()

        override fun format(value: Boolean): String = value.toString()

        override fun wrap(value: Boolean): SettingValue = SettingValue.OfBoolean(value)

        override fun unwrap(value: SettingValue): Boolean? = (value as? SettingValue.OfBoolean)?.value
    }

    /** Texts of at most 256 characters for which [accepts] returns true; [range] describes them. */
    public class Texts(override val range: String, private val accepts: (String) -> Boolean) : SettingType<String> {
        override val name: String get() = "text"

        override fun parse(text: String): String = text

        override fun format(value: String): String = value

        override fun wrap(value: String): SettingValue = SettingValue.OfText(value)

        override fun unwrap(value: SettingValue): String? =
            (value as? SettingValue.OfText)?.value?.takeIf { it.length <= MAX_LENGTH && accepts(it) }

        private companion object {
            const val MAX_LENGTH = 256
        }
    }
}
