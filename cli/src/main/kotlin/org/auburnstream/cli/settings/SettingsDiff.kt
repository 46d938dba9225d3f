package org.auburnstream.cli.settings

import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.CommandSpec
import org.auburnstream.cli.Session
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Shows what a change would do. */
internal class SettingsDiff : Command() {
    @Argument(metaVar = "PATH KEY[=VALUE]", usage = "Node, and the values to set, or the keys to unset, at it.")
    var arguments: MutableList<String> = mutableListOf()

    @Option(name = "--file", metaVar = "FILE", usage = "JSON file with the edits, instead of arguments.")
    var file: String? = null

    override suspend fun run(session: Session): CommandResult {
        val unset = arguments.drop(1).isNotEmpty() && arguments.drop(1).none { '=' in it }
        val edits =
            file?.let { EditArguments.file(session, it) }
                ?: if (unset) EditArguments.removals(arguments) else EditArguments.assignments(arguments)
        return when (edits) {
            is EditArguments.Edits -> SettingsChange.preview(session, edits.edits)
            is EditArguments.Wrong -> CommandResult.Failure(edits.problem)
        }
    }

    companion object {
        val Spec =
            CommandSpec(
                words = "settings diff",
                summary = "Show which effective values a change would alter, and change nothing.",
                description =
                "Checks a change at every node that it reaches and lists each effective value that would change,\n" +
                    "with the value before and after.",
                examples = listOf("auburnctl settings diff /nairobi queue.capacity=512"),
                create = ::SettingsDiff,
            )
    }
}
