package org.auburnstream.testkit.docs

import org.auburnstream.control.SettingKeys
import org.auburnstream.daemon.config.DaemonSettingDefinitions
import org.auburnstream.daemon.observability.DaemonMetricDefinitions
import org.auburnstream.testkit.golden.GoldenFile
import kotlin.test.Test

class OperatingPageTest {
    @Test
    fun startSettingsAreThoseOfTheRegistry() = assertTable(
        section = "start settings",
        header = listOf("Flag", "Variable", "Unit", "Range", "Default", "Meaning"),
        rows = DaemonSettingDefinitions.all.map {
            val default = if (it.required) "required" else it.default?.ifEmpty { null } ?: "none"
            listOf("`${it.flag}`", "`${it.environmentVariable}`", it.unit, it.range, default, it.help)
        },
    )

    @Test
    fun operatorsSettingsAreThoseOfTheRegistry() = assertTable(
        section = "operators' settings",
        header = listOf("Key", "Values", "Unit", "Default", "Levels", "Meaning"),
        rows = SettingKeys.all.map { key ->
            val levels = key.levels.joinToString { it.name.lowercase().replace('_', ' ') }
            val perTeam = if (key.perTeam) "; also for one team as `${key.name}:team`" else ""
            val default = key.format(key.defaultValue)
            listOf(
                "`${key.name}`",
                key.type.range,
                key.unit.ifEmpty {
                    "-"
                },
                default,
                levels,
                key.description + perTeam,
            )
        },
    )

    @Test
    fun metricsAreThoseOfTheRegistry() = assertTable(
        section = "metrics",
        header = listOf("Metric", "Labels", "Meaning", "Alarm"),
        rows = DaemonMetricDefinitions.all.map {
            listOf("`${it.name}`", it.labels.joinToString().ifEmpty { "-" }, it.help, it.alarm ?: "-")
        },
    )

    private fun assertTable(section: String, header: List<String>, rows: List<List<String>>) {
        val lines = listOf(header, header.map { "---" }) + rows
        val text = lines.joinToString("") { cells ->
            cells.joinToString(" | ", "| ", " |\n") { it.replace("|", "\\|") }
        }
        GoldenFile.assertSectionMatches("docs/OPERATING.md", section, text)
    }
}
