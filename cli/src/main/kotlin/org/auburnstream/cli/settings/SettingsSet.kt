package org.auburnstream.cli.settings

import org.auburnstream.cli.CommandSpec
import org.kohsuke.args4j.Argument

/** Overrides settings at a node. */
internal class SettingsSet : SettingsChange() {
    @Argument(metaVar = "PATH KEY=VALUE", usage = "Node, and the values to set at it.")
    var arguments: MutableList<String> = mutableListOf()

    override fun edits(): EditArguments = EditArguments.assignments(arguments)

    companion object {
        val Spec =
            CommandSpec(
                words = "settings set",
                summary = "Override settings at a node of the tree.",
                description =
                "Sets one or more keys at a node. All of them are accepted together or not at all, after a check at\n" +
                    "every node that they reach. If another operator's change is accepted first, nothing is changed.",
                examples =
                listOf(
                    "auburnctl settings set /nairobi request.deadline.default=3s --wait in-force",
                    "auburnctl settings set /nairobi/dc1/print target.slots=4 --dry-run",
                    "auburnctl settings set / team.quota.processors:clinics=32 --reason 'spring orders'",
                ),
                create = ::SettingsSet,
            )
    }
}
