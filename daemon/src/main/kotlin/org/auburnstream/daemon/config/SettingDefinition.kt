package org.auburnstream.daemon.config

/**
 * One start setting of the daemon, given as a flag or an environment variable.
 *
 * @property name name of the flag without its dashes.
 * @property unit unit of the value.
 * @property range values that are allowed, as text.
 * @property default written form of the default, or null if there is none.
 * @property required whether the start fails without a value.
 * @property help one sentence on what the setting does.
 */
public class SettingDefinition<T> internal constructor(
    public val name: String,
    public val unit: String,
    public val range: String,
    public val default: String? = null,
    public val required: Boolean = false,
    public val help: String,
    internal val parse: ValueParser<T>,
) {
    /** The flag, such as `--data-folder`. */
    public val flag: String = "--$name"

    /** The environment variable, such as `AUBURNSTREAM_DATA_FOLDER`. */
    public val environmentVariable: String = ENVIRONMENT_VARIABLE_PREFIX + name.uppercase().replace('-', '_')

    public companion object {
        /** Start of the name of every environment variable of the daemon. */
        public const val ENVIRONMENT_VARIABLE_PREFIX: String = "AUBURNSTREAM_"
    }
}

/** Turns the written form of a value into the value, or returns null if it is not allowed. */
internal typealias ValueParser<T> = (String) -> T?
