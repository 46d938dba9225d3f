package org.auburnstream.cli.settings

import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.SettingKeysView
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.CommandSpec
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print

/** Lists the keys that can be set. */
internal class SettingsKeys : Command() {
    override suspend fun run(session: Session): CommandResult =
        session.client.get(ApiRoutes.SETTING_KEYS).print(session, SettingKeysView.serializer()) { view ->
            val table = Table("KEY", "TYPE", "RANGE", "UNIT", "DEFAULT", "LOWEST LEVEL", "DESCRIPTION")
            view.keys.forEach {
                val name = if (it.perTeam) "${it.key}[:team]" else it.key
                table.row(name, it.type, it.range, it.unit, it.default, it.levels.last(), it.description)
            }
            table.toString()
        }

    companion object {
        val Spec =
            CommandSpec(
                words = "settings keys",
                summary = "List every key with its type, range, unit and default.",
                description = "Lists every key that can be set, with its type, range, unit, default and lowest level.",
                create = ::SettingsKeys,
            )
    }
}
