package org.auburnstream.daemon.operator

import org.auburnstream.api.ChangeView
import org.auburnstream.api.EditRequest
import org.auburnstream.api.EffectiveChangeView
import org.auburnstream.api.HistoryView
import org.auburnstream.api.NodeView
import org.auburnstream.api.NodesView
import org.auburnstream.api.PreviewView
import org.auburnstream.api.SettingKeyView
import org.auburnstream.api.SettingKeysView
import org.auburnstream.api.SettingView
import org.auburnstream.api.SettingsView
import org.auburnstream.control.ChangeRecord
import org.auburnstream.control.ControlState
import org.auburnstream.control.EditImpact
import org.auburnstream.control.EffectiveChange
import org.auburnstream.control.SettingEdit
import org.auburnstream.control.SettingKey
import org.auburnstream.control.SettingKeys
import org.auburnstream.control.SettingValue
import org.auburnstream.control.SettingsPath

/** Converts replicated state to messages of the operators' API. */
internal object OperatorViews {
    private const val MAX_PREVIEW_CHANGES = 1_000

    fun settings(state: ControlState, path: SettingsPath, filter: (String) -> Boolean): SettingsView {
        val settings = state.tree.at(path)
        val names =
            SettingKeys.all.map { it.name } + settings.overriddenNames.filter { SettingKeys.find(it)?.perTeam == false }
        val values =
            names.distinct().sorted().filter(filter).mapNotNull { name ->
                SettingKeys.find(name)?.let { key ->
                    val effective = settings.origin(key)
                    SettingView(
                        key = name,
                        value = key.format(effective.value),
                        unit = key.unit,
                        origin = effective.origin?.value,
                        default = key.format(key.defaultValue),
                    )
                }
            }
        return SettingsView(path.value, SettingProblems.name(path.level), state.version.value, state.epoch, values)
    }

    fun keys(): SettingKeysView = SettingKeysView(SettingKeys.all.map(::key))

    fun nodes(state: ControlState, path: SettingsPath): NodesView {
        val nodes =
            state.tree.nodes(path).map {
                NodeView(it.value, SettingProblems.name(it.level), state.tree.overridesAt(it).size)
            }
        return NodesView(state.version.value, nodes)
    }

    fun preview(state: ControlState, impact: EditImpact): PreviewView {
        val changes = impact.changes(limit = MAX_PREVIEW_CHANGES + 1)
        return PreviewView(
            version = state.version.value,
            nodes = impact.countChangedNodes(),
            changes = changes.take(MAX_PREVIEW_CHANGES).map(::change),
            truncated = changes.size > MAX_PREVIEW_CHANGES,
        )
    }

    fun history(state: ControlState, records: List<ChangeRecord>): HistoryView =
        HistoryView(state.version.value, state.history.oldestVersion?.value, records.map(::record))

    private fun key(key: SettingKey<*>): SettingKeyView = SettingKeyView(
        key = key.name,
        type = key.type.name,
        range = key.type.range,
        unit = key.unit,
        default = key.format(key.defaultValue),
        levels = key.levels.sorted().map(SettingProblems::name),
        perTeam = key.perTeam,
        description = key.description,
    )

    private fun change(change: EffectiveChange): EffectiveChangeView = EffectiveChangeView(
        change.path.value,
        change.key,
        text(change.key, change.before),
        text(change.key, change.after),
    )

    private fun record(record: ChangeRecord): ChangeView = ChangeView(
        version = record.version.value,
        operation = record.operation.value,
        operator = record.operator.value,
        at = record.at.toString(),
        reason = record.reason,
        edits = record.edits.map(::edit),
        undo = record.undo.map(::edit),
    )

    private fun edit(edit: SettingEdit): EditRequest =
        EditRequest(edit.path.value, edit.key, (edit as? SettingEdit.Set)?.let { text(it.key, it.value) })

    private fun text(key: String, value: SettingValue): String =
        SettingKeys.find(key)?.format(value) ?: value.toString()
}
