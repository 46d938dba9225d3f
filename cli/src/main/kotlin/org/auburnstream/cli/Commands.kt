package org.auburnstream.cli

import org.auburnstream.cli.fleet.FleetCommands
import org.auburnstream.cli.schedule.ScheduleCommands
import org.auburnstream.cli.settings.SettingsDiff
import org.auburnstream.cli.settings.SettingsGet
import org.auburnstream.cli.settings.SettingsHistory
import org.auburnstream.cli.settings.SettingsKeys
import org.auburnstream.cli.settings.SettingsSet
import org.auburnstream.cli.settings.SettingsUnset

/** Every subcommand, in the order of the help text. */
internal val Commands: List<CommandSpec> =
    listOf(
        SettingsGet.Spec,
        SettingsSet.Spec,
        SettingsUnset.Spec,
        SettingsDiff.Spec,
        SettingsHistory.Spec,
        SettingsKeys.Spec,
        Status.Spec,
    ) + FleetCommands + ScheduleCommands
