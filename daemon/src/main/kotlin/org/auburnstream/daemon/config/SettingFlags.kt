package org.auburnstream.daemon.config

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.spi.BooleanOptionHandler
import org.kohsuke.args4j.spi.ConfigElement
import org.kohsuke.args4j.spi.FieldSetter
import org.kohsuke.args4j.spi.OptionImpl
import org.kohsuke.args4j.spi.Setter
import org.kohsuke.args4j.spi.StringOptionHandler
import java.lang.reflect.AnnotatedElement

/** Flags of one command line; [values] maps the names of settings to their unparsed values. */
internal class SettingFlags {
    val values = mutableMapOf<String, String>()
    var check = false
    var help = false
    var version = false
}

/** Parses [arguments] with one args4j option for each setting in [DaemonSettingDefinitions]. */
internal fun parseFlags(arguments: List<String>): SettingFlags {
    val flags = SettingFlags()
    val parser = CmdLineParser(null)
    DaemonSettingDefinitions.all.forEach { definition ->
        parser.addOption(
            CallbackSetter(String::class.java) {
                flags.values[definition.name] = it
            },
            valueOption(definition.flag),
        )
    }
    parser.addOption(CallbackSetter(Boolean::class.java) { flags.check = it }, switchOption("--check"))
    parser.addOption(CallbackSetter(Boolean::class.java) { flags.help = it }, switchOption("--help"))
    parser.addOption(CallbackSetter(Boolean::class.java) { flags.version = it }, switchOption("--version"))
    rejectUnknownFlags(parser, arguments)
    try {
        parser.parseArgument(arguments)
    } catch (_: CmdLineException) {
        // All flags are known at this point, so only the last flag can lack its value.
        val definition = DaemonSettingDefinitions.all.find { it.flag == arguments.last() }
        fail(SettingsError.MissingValue(arguments.last(), definition?.environmentVariable ?: arguments.last()))
    }
    return flags
}

/** Rejects each argument that is neither a known flag nor the value of one. */
private fun rejectUnknownFlags(parser: CmdLineParser, arguments: List<String>) {
    val options = parser.options.associateBy { it.option.toString() }
    var i = 0
    while (i < arguments.size) {
        val handler = options[arguments[i]] ?: fail(SettingsError.UnknownFlag(arguments[i]))
        i += if (handler is StringOptionHandler) 2 else 1
    }
}

private fun valueOption(name: String): OptionImpl = OptionImpl(configElement(name, StringOptionHandler::class.java))

private fun switchOption(name: String): OptionImpl = OptionImpl(configElement(name, BooleanOptionHandler::class.java))

private fun configElement(flag: String, type: Class<*>): ConfigElement = ConfigElement().apply {
    name = flag
    handler = type.name
    aliases = emptyArray()
}

/** Setter for args4j that passes each parsed value to [set]. */
private class CallbackSetter<T>(private val type: Class<T>, private val set: (T) -> Unit) : Setter<T> {
    override fun addValue(value: T) = set(value)

    override fun getType(): Class<T> = type

    override fun isMultiValued(): Boolean = false

    override fun asFieldSetter(): FieldSetter? = null

    override fun asAnnotatedElement(): AnnotatedElement? = null
}
