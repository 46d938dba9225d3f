package org.auburnstream.daemon.config

/** Why a daemon did not start: names the setting, the value and the remedy. */
public sealed interface SettingsError {
    /** The flag or variable that is at fault. */
    public val setting: String

    /** One sentence on what is wrong. */
    public val problem: String

    /** What to do about it. */
    public val remedy: String

    /** The one line that the daemon prints before it exits with [EXIT_CODE]. */
    public fun toLine(): String = "auburnstreamd: $setting: $problem; $remedy"

    /** The value is outside its range or cannot be read. */
    public data class WrongValue(
        override val setting: String,
        val value: String,
        val unit: String,
        val range: String,
    ) : SettingsError {
        override val problem: String get() = "wrong value '${value.printable()}'"
        override val remedy: String get() = "give $unit: $range"
    }

    /** A required setting has no value. */
    public data class MissingValue(override val setting: String, val environmentVariable: String) : SettingsError {
        override val problem: String get() = "no value"
        override val remedy: String get() = "give $setting or set $environmentVariable"
    }

    /** The flag is not known. */
    public data class UnknownFlag(override val setting: String) : SettingsError {
        override val problem: String get() = "unknown flag"
        override val remedy: String get() = "see auburnstreamd --help"
    }

    /** The environment holds a variable with the daemon's prefix that is not known. */
    public data class UnknownEnvironmentVariable(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "unknown variable with value '${value.printable()}'"
        override val remedy: String get() = "unset it, or see auburnstreamd --help for the names"
    }

    /** A voter has no address. */
    public data class MissingPeer(override val setting: String, val voter: String) : SettingsError {
        override val problem: String get() = "voter '$voter' has no address"
        override val remedy: String get() = "add $voter=address:port to --peers or take it from --voters"
    }

    /** A voter has nowhere to keep its votes. */
    public data class VoterWithoutDataFolder(override val setting: String, val voter: String) : SettingsError {
        override val problem: String get() = "voter '$voter' has no data folder"
        override val remedy: String get() = "give --data-folder or take $voter from --voters"
    }

    /** The data folder cannot be written to. */
    public data class UnwritableFolder(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "cannot write to folder '${value.printable()}'"
        override val remedy: String get() = "name a folder that this user may write to"
    }

    /** A file cannot be read or holds nothing. */
    public data class UnreadableFile(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "cannot read anything from '${value.printable()}'"
        override val remedy: String get() = "name a readable file that is not empty"
    }

    public companion object {
        /** Exit code of a daemon whose settings are wrong. */
        public const val EXIT_CODE: Int = 2
    }
}

private const val MAX_PRINTED_CHARS = 120

/** Keeps the message on one line whatever the value holds. */
private fun String.printable(): String =
    take(MAX_PRINTED_CHARS).map { if (it.isISOControl()) '?' else it }.joinToString("")
