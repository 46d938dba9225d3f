package org.auburnstream.cli.settings

import org.auburnstream.cli.CommandSpec
import org.kohsuke.args4j.Argument

/** Removes overrides at a node. */
internal class SettingsUnset : SettingsChange() {
    @Argument(metaVar = "PATH KEY", usage = "Node, and the keys whose overrides to remove.")
    var arguments: MutableList<String> = mutableListOf()

    override fun edits(): EditArguments = EditArguments.removals(arguments)

    companion object {
        val Spec =
            CommandSpec(
                words = "settings unset",
                summary = "Remove overrides at a node, so that it inherits again.",
                description =
                "Removes the overrides of one or more keys at a node, together or not at all. The node then has the\n" +
                    "value of the nearest node above that sets the key, or the default.",
                examples = listOf("auburnctl settings unset /nairobi/dc1 request.deadline.default"),
                create = ::SettingsUnset,
            )
    }
}
