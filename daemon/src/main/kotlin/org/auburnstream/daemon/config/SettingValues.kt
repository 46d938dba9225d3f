package org.auburnstream.daemon.config

/**
 * Looks up and parses the values of the settings.
 *
 * Flags take precedence over environment variables, which take precedence over defaults. An unknown environment
 * variable with the daemon's prefix is an error.
 */
internal class SettingValues(private val flags: Map<String, String>, private val environment: Map<String, String>) {
    init {
        val known = DaemonSettingDefinitions.all.map { it.environmentVariable }.toSet()
        environment.entries
            .filter { it.key.startsWith(SettingDefinition.ENVIRONMENT_VARIABLE_PREFIX) && it.key !in known }
            .minByOrNull { it.key }
            ?.let { fail(SettingsError.UnknownEnvironmentVariable(it.key, it.value)) }
    }

    fun <T : Any> optional(definition: SettingDefinition<T>): T? {
        val source = flags[definition.name]?.let { definition.flag to it }
            ?: environment[definition.environmentVariable]?.let { definition.environmentVariable to it }
            ?: definition.default?.let { definition.flag to it }
            ?: return null
        val (setting, text) = source
        return definition.parse(text)
            ?: fail(SettingsError.WrongValue(setting, text, definition.unit, definition.range))
    }

    fun <T : Any> required(definition: SettingDefinition<T>): T =
        optional(definition) ?: fail(SettingsError.MissingValue(definition.flag, definition.environmentVariable))
}
