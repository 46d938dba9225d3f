package org.auburnstream.daemon.config

/** Error in the startup settings; its message names the setting, the problem and the remedy. */
public sealed interface SettingsError {
    /** Flag or environment variable with the error. */
    public val setting: String

    /** Description of the error. */
    public val problem: String

    /** How to correct the error. */
    public val remedy: String

    /** Returns the single line that the daemon prints before it exits with [EXIT_CODE]. */
    public fun toLine(): String = "auburnstreamd: $setting: $problem; $remedy"

    /** The value is out of range or cannot be parsed. */
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

    /** The environment contains an unknown variable with the daemon's prefix. */
    public data class UnknownEnvironmentVariable(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "unknown variable with value '${value.printable()}'"
        override val remedy: String get() = "unset it, or see auburnstreamd --help for the names"
    }

    /** A voter has no address in `--peers`. */
    public data class MissingPeer(override val setting: String, val voter: String) : SettingsError {
        override val problem: String get() = "voter '$voter' has no address"
        override val remedy: String get() = "add $voter=address:port to --peers or take it from --voters"
    }

    /** A voter has no data folder in which to store its votes. */
    public data class VoterWithoutDataFolder(override val setting: String, val voter: String) : SettingsError {
        override val problem: String get() = "voter '$voter' has no data folder"
        override val remedy: String get() = "give --data-folder or take $voter from --voters"
    }

    /** A folder is not writable. */
    public data class UnwritableFolder(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "cannot write to folder '${value.printable()}'"
        override val remedy: String get() = "name a folder that this user may write to"
    }

    /** A file cannot be read or is empty. */
    public data class UnreadableFile(override val setting: String, val value: String) : SettingsError {
        override val problem: String get() = "cannot read anything from '${value.printable()}'"
        override val remedy: String get() = "name a readable file that is not empty"
    }

    public companion object {
        /** Exit code of the daemon if its settings are invalid. */
        public const val EXIT_CODE: Int = 2
    }
}

private const val MAX_PRINTED_CHARS = 120

/** Truncates the value and replaces control characters, so that the message stays on one line. */
private fun String.printable(): String =
    take(MAX_PRINTED_CHARS).map { if (it.isISOControl()) '?' else it }.joinToString("")
