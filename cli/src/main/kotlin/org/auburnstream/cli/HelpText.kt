package org.auburnstream.cli

import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.spi.OptionHandler

/** Writes the help texts. */
internal object HelpText {
    private const val LINE_WIDTH = 100
    private const val MAX_FIRST_COLUMN = 28
    private const val INDENT = 2
    private const val GAP = 2

    fun overview(listed: List<CommandSpec>): String = buildString {
        appendLine("Usage: auburnctl COMMAND [ARGUMENTS] [OPTIONS]")
        appendLine()
        appendLine("Manages the settings, members and fleet of an auburnstream deployment.")
        appendLine()
        appendLine("Commands:")
        append(columns(listed.map { it.words to it.summary }))
        appendLine()
        appendLine("Environment:")
        append(
            columns(
                listOf(
                    "AUBURNCTL_DAEMON" to "Operators' addresses of the daemons, host:port, separated by commas.",
                    "AUBURNCTL_TOKEN" to "The operator's token, unless --token-file is given.",
                ),
            ),
        )
        appendLine()
        appendLine("Exit codes:")
        append(exitCodes())
        appendLine()
        append("Run 'auburnctl COMMAND --help' for the options of a command.")
    }

    fun command(spec: CommandSpec, parser: CmdLineParser): String = buildString {
        val arguments = parser.arguments.joinToString("") { " ${it.placeholder()}" }
        appendLine("Usage: auburnctl ${spec.words}$arguments [OPTIONS]")
        appendLine()
        appendLine(spec.description)
        if (parser.arguments.isNotEmpty()) {
            appendLine()
            appendLine("Arguments:")
            append(columns(parser.arguments.map { it.option.metaVar() to it.option.usage() }))
        }
        appendLine()
        appendLine("Options:")
        append(columns(parser.options.map { it.nameAndValue() to it.option.usage() }.sortedBy { it.first }))
        if (spec.examples.isNotEmpty()) {
            appendLine()
            appendLine("Examples:")
            spec.examples.forEach { appendLine("  $it") }
        }
        appendLine()
        appendLine("Exit codes:")
        append(exitCodes().trimEnd('\n'))
    }

    private fun exitCodes(): String = columns(ExitCode.entries.map { it.code.toString() to it.meaning })

    private fun columns(rows: List<Pair<String, String>>): String {
        val width = rows.maxOf { it.first.length }.coerceAtMost(MAX_FIRST_COLUMN)
        return rows.joinToString("") { (first, second) ->
            val lines = wrap(second, LINE_WIDTH - width - INDENT - GAP)
            val padding = "\n" + " ".repeat(INDENT + width + GAP)
            val lead = " ".repeat(INDENT) + first.padEnd(width + GAP)
            // A first column that is too wide gets a line of its own.
            val start = if (first.length > width) lead.trimEnd() + padding else lead
            start + lines.joinToString(padding) + "\n"
        }
    }

    private fun wrap(text: String, width: Int): List<String> {
        val lines = mutableListOf("")
        for (word in text.split(' ')) {
            val line = lines.last()
            when {
                line.isEmpty() -> lines[lines.lastIndex] = word
                line.length + 1 + word.length <= width -> lines[lines.lastIndex] = "$line $word"
                else -> lines += word
            }
        }
        return lines
    }

    private fun OptionHandler<*>.placeholder(): String {
        val name = option.metaVar() + if (option.isMultiValued) "..." else ""
        return if (option.required()) name else "[$name]"
    }

    private fun OptionHandler<*>.nameAndValue(): String {
        val names = (option as NamedOptionDef).let { listOf(it.name()) + it.aliases() }
        val meta = option.metaVar()
        return names.joinToString(", ") + if (meta.isEmpty()) "" else " $meta"
    }
}
