package org.auburnstream.cli.settings

import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.SettingsView
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.CommandSpec
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Shows the effective settings of a node. */
internal class SettingsGet : Command() {
    @Argument(
        metaVar = "PATH",
        usage = "Node, /region/data-centre/pool/service/vm or a part from the left; / if left out.",
    )
    var path: String = "/"

    @Option(name = "--key", metaVar = "KEY", usage = "Show this key alone, or the keys below it.")
    var key: String? = null

    override suspend fun run(session: Session): CommandResult = session.client
        .get(ApiRoutes.SETTINGS, listOf("path" to path, "key" to key))
        .print(session, SettingsView.serializer()) { view ->
            val table = Table("KEY", "VALUE", "UNIT", "ORIGIN")
            view.values.forEach { table.row(it.key, it.value, it.unit, it.origin ?: "default") }
            "$table\n${view.path} at version ${view.version}"
        }

    companion object {
        val Spec =
            CommandSpec(
                words = "settings get",
                summary = "Show the effective settings of a node and where each comes from.",
                description =
                "Shows the value of each setting at a node and the node that sets it. The answer reflects every\n" +
                    "change accepted before the command was run.",
                examples =
                listOf(
                    "auburnctl settings get /nairobi/dc1",
                    "auburnctl settings get /nairobi --key request.deadline --output json",
                ),
                create = ::SettingsGet,
            )
    }
}
