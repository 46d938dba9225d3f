package org.auburnstream.cli.settings

import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.ChangeView
import org.auburnstream.api.EditRequest
import org.auburnstream.api.HistoryView
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.CommandSpec
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Shows the accepted changes of settings. */
internal class SettingsHistory : Command() {
    @Argument(metaVar = "PATH", usage = "Show only changes at or below this node; / if left out.")
    var path: String = "/"

    @Option(name = "--limit", metaVar = "COUNT", usage = "Most changes to show, 1 to 1000.")
    var limit: Int = DEFAULT_LIMIT

    @Option(name = "--before", metaVar = "VERSION", usage = "Show only changes before this version.")
    var before: Long? = null

    override suspend fun run(session: Session): CommandResult {
        val parameters = listOf("path" to path, "limit" to limit.toString(), "before" to before?.toString())
        return session.client.get(
            ApiRoutes.SETTING_CHANGES,
            parameters,
        ).print(session, HistoryView.serializer()) { view ->
            val table = Table("VERSION", "TIME", "OPERATOR", "OPERATION", "EDITS", "REASON")
            view.changes.forEach { table.row(it.version, it.at, it.operator, it.operation, edits(it), it.reason) }
            table.toString()
        }
    }

    private fun edits(change: ChangeView): String {
        val more = if (change.edits.size > MAX_EDITS) " and ${change.edits.size - MAX_EDITS} more" else ""
        return change.edits.take(MAX_EDITS).joinToString(transform = ::edit) + more
    }

    private fun edit(edit: EditRequest): String =
        if (edit.value == null) "${edit.path} unset ${edit.key}" else "${edit.path} ${edit.key}=${edit.value}"

    companion object {
        private const val DEFAULT_LIMIT = 20
        private const val MAX_EDITS = 3

        val Spec =
            CommandSpec(
                words = "settings history",
                summary = "Show the accepted changes of settings, newest first.",
                description =
                "Shows who changed which settings when, newest first. The group keeps the newest 8,192 changes.",
                examples = listOf("auburnctl settings history /nairobi --limit 5"),
                create = ::SettingsHistory,
            )
    }
}
