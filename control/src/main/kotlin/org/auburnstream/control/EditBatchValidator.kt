package org.auburnstream.control

/**
 * Validates the edits of a batch against the settings registry and the current tree.
 *
 * Rules between effective values are not covered; [EditImpact] checks them after the edits are applied.
 */
internal class EditBatchValidator(private val tree: SettingsTree, private val limit: Int = MAX_EDITS) {
    /** Returns every problem of [edits], or an empty list if they are valid. */
    fun problems(edits: List<SettingEdit>): List<SettingProblem> {
        if (edits.isEmpty()) return listOf(SettingProblem.EmptyBatch)
        if (edits.size > limit) return listOf(SettingProblem.BatchTooLarge(edits.size, limit))
        return edits.mapNotNull(::problem) + duplicates(edits)
    }

    private fun problem(edit: SettingEdit): SettingProblem? {
        val path = edit.path
        if (!path.isWellFormed()) return SettingProblem.MalformedPath(path.value)
        return when (edit) {
            is SettingEdit.Set -> problemOfSet(edit)
            is SettingEdit.Unset ->
                SettingProblem.NotOverridden(path, edit.key).takeIf { edit.key !in tree.overridesAt(path) }
        }
    }

    private fun problemOfSet(edit: SettingEdit.Set): SettingProblem? {
        val key = SettingKeys.find(edit.key) ?: return SettingProblem.UnknownKey(edit.path, edit.key)
        if (edit.path.level !in key.levels) {
            return SettingProblem.LevelNotAllowed(edit.path, edit.key, key.levels.sorted())
        }
        if (!key.accepts(edit.value)) {
            val value = key.format(edit.value)
            return SettingProblem.InvalidValue(edit.path, edit.key, value, key.type.name, key.type.range)
        }
        return null
    }

    private fun duplicates(edits: List<SettingEdit>): List<SettingProblem> = edits
        .groupingBy { it.path to it.key }
        .eachCount()
        .filterValues { it > 1 }
        .keys
        .map { (path, key) -> SettingProblem.DuplicateEdit(path, key) }

    companion object {
        /** Maximum number of edits in one batch. */
        const val MAX_EDITS: Int = 1_000
    }
}
