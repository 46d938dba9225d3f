package org.auburnstream.daemon.config

private const val UNPACKAGED_VERSION = "unpackaged"

/** Returns the text of `auburnstreamd --help`, generated from [DaemonSettingDefinitions]. */
internal fun helpText(): String = buildString {
    appendLine("Usage: auburnstreamd [flags]")
    appendLine()
    appendLine("Routes callers' requests to targets and takes part in the control of the fleet.")
    appendLine("A flag takes precedence over its environment variable.")
    appendLine()
    DaemonSettingDefinitions.all.forEach { appendDefinition(it) }
    appendLine("--check    Validate the settings and exit.")
    appendLine("--help     Print this text and exit.")
    appendLine("--version  Print the version and exit.")
    appendLine()
    appendLine("Exit codes: 0 stopped as asked, 1 failed while running, ${SettingsError.EXIT_CODE} wrong settings.")
}

/** Returns the version from the manifest of the JAR, or [UNPACKAGED_VERSION] if there is none. */
internal fun productVersion(): String =
    DaemonSettings::class.java.`package`?.implementationVersion ?: UNPACKAGED_VERSION

private fun StringBuilder.appendDefinition(definition: SettingDefinition<*>) {
    val default = when {
        definition.required -> "required"
        definition.default.isNullOrEmpty() -> "default: none"
        else -> "default: ${definition.default}"
    }
    appendLine("${definition.flag} <${definition.unit}>  (${definition.environmentVariable})")
    appendLine("    ${definition.help}")
    appendLine("    Range: ${definition.range}; $default")
    appendLine()
}
