package org.auburnstream.control

/** Validates a command that adds nodes to the settings tree or removes nodes from it. */
internal class NodeChangeValidator(private val tree: SettingsTree) {
    /** Returns every problem of [command], or an empty list if it is valid. */
    fun problems(command: ControlCommand.ChangeNodes): List<SettingProblem> {
        val size = command.add.size + command.remove.size
        if (size == 0) return listOf(SettingProblem.EmptyBatch)
        if (size > MAX_CHANGED_NODES) return listOf(SettingProblem.BatchTooLarge(size, MAX_CHANGED_NODES))
        val malformed = (command.add + command.remove).filter { !it.isWellFormed() }
        if (malformed.isNotEmpty()) return malformed.map { SettingProblem.MalformedPath(it.value) }
        val total = tree.size + command.add.count { it !in tree }
        if (total > MAX_NODES) return listOf(SettingProblem.TreeTooLarge(total, MAX_NODES))
        return command.remove.filter(::hasOverrides).map(SettingProblem::NodeHasOverrides)
    }

    private fun hasOverrides(path: SettingsPath): Boolean = tree.root.find(path.segments)?.hasOverrides() ?: false

    companion object {
        /** Maximum number of nodes that one command adds and removes. */
        const val MAX_CHANGED_NODES: Int = 4_096

        /** Maximum number of nodes in the tree, including the root. */
        const val MAX_NODES: Int = 65_536
    }
}
