package org.auburnstream.daemon.config

/**
 * Definition of one startup setting of the daemon, given as a flag or an environment variable.
 *
 * @property name name of the flag without the leading dashes.
 * @property unit unit of the value.
 * @property range description of the allowed values.
 * @property default default value as text, or null if there is none.
 * @property required whether startup fails without a value.
 * @property help one sentence that describes the setting.
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
        /** Prefix of all environment variables of the daemon. */
        public const val ENVIRONMENT_VARIABLE_PREFIX: String = "AUBURNSTREAM_"
    }
}

/** Parses the text of a value; returns null if the value is not allowed. */
internal typealias ValueParser<T> = (String) -> T?
