package org.auburnstream.control

import kotlinx.serialization.Serializable

/**
 * Immutable tree of settings in which a node inherits every value that it does not override.
 *
 * An edit copies only the nodes on its path, and readers can keep using the previous tree. A node exists once it is
 * added or a setting is overridden at it. A path that is not in the tree has the effective settings of its nearest
 * existing ancestor.
 */
public class SettingsTree private constructor(internal val root: SettingsNode) {
    /** Number of nodes, including the root. */
    public val size: Int get() = root.size

    /** Returns the effective settings at [path]. */
    public fun at(path: SettingsPath): EffectiveSettings {
        var node: SettingsNode? = root
        var position = SettingsPath.Root
        var settings = EffectiveSettings.Default.withOverrides(position, root.overrides)
        for (segment in path.segments) {
            node = node?.children?.get(segment) ?: return settings
            position = position.child(segment)
            settings = settings.withOverrides(position, node.overrides)
        }
        return settings
    }

    /** Returns the overrides defined at [path] itself, by key name. */
    public fun overridesAt(path: SettingsPath): Map<String, SettingValue> =
        root.find(path.segments)?.overrides ?: emptyMap()

    /** Returns whether [path] is a node of the tree. */
    public operator fun contains(path: SettingsPath): Boolean = root.find(path.segments) != null

    /** Returns [path] and its descendants, in the order of their segments; empty if [path] is not in the tree. */
    public fun nodes(path: SettingsPath = SettingsPath.Root): List<SettingsPath> {
        val start = root.find(path.segments) ?: return emptyList()
        return buildList { start.visit(path) { position, _ -> add(position) } }
    }

    /** Returns all nodes with their overrides in the order of [nodes], for snapshots and backups. */
    public fun export(): List<SettingsTreeNode> = buildList {
        root.visit(SettingsPath.Root) { path, node -> add(SettingsTreeNode(path, node.overrides.toSortedMap())) }
    }

    /**
     * Validates [edits] at every affected node and returns the resulting tree or the problems.
     *
     * The edits are applied atomically.
     */
    public fun edit(edits: List<SettingEdit>): EditResult = edit(edits, limit = EditBatchValidator.MAX_EDITS)

    internal fun edit(edits: List<SettingEdit>, limit: Int): EditResult {
        val problems = EditBatchValidator(this, limit).problems(edits)
        if (problems.isNotEmpty()) return EditResult.Refused(problems)
        val after = SettingsTree(edits.fold(root, ::applyEdit))
        if (after.size > NodeChangeValidator.MAX_NODES) {
            return EditResult.Refused(listOf(SettingProblem.TreeTooLarge(after.size, NodeChangeValidator.MAX_NODES)))
        }
        val impact = EditImpact(before = this, after = after, edits = edits)
        val violations = impact.ruleViolations()
        return if (violations.isEmpty()) EditResult.Edited(after, impact) else EditResult.Refused(violations)
    }

    /** Returns a tree that also contains the nodes [paths] and their ancestors. */
    public fun withNodes(paths: List<SettingsPath>): SettingsTree =
        SettingsTree(paths.fold(root) { node, path -> node.update(path.segments) { it } })

    /** Returns a tree without the node [path] and its descendants. */
    internal fun withoutNode(path: SettingsPath): SettingsTree {
        val parent = path.parent ?: return Empty
        if (path !in this) return this
        return SettingsTree(root.update(parent.segments) { it.withoutChild(path.segments.last()) })
    }

    private fun applyEdit(node: SettingsNode, edit: SettingEdit): SettingsNode = when (edit) {
        is SettingEdit.Set -> node.update(edit.path.segments) { it.withOverride(edit.key, edit.value) }
        is SettingEdit.Unset -> node.update(edit.path.segments) { it.withoutOverride(edit.key) }
    }

    public companion object {
        /** Tree that contains only the root, without overrides. */
        public val Empty: SettingsTree = SettingsTree(SettingsNode.Empty)

        /** Creates the tree from the result of [SettingsTree.export]. */
        public fun of(nodes: List<SettingsTreeNode>): SettingsTree = SettingsTree(
            nodes.fold(SettingsNode.Empty) { root, node ->
                root.update(node.path.segments) { SettingsNode(node.overrides, it.children) }
            },
        )
    }
}

/** Node of an exported tree with the overrides defined at it, by key name. */
@Serializable
public data class SettingsTreeNode(val path: SettingsPath, val overrides: Map<String, SettingValue> = emptyMap())

/** Result of [SettingsTree.edit]. */
public sealed interface EditResult {
    /** All edits are valid; [tree] is the result, and [impact] describes the changes. */
    public class Edited(public val tree: SettingsTree, public val impact: EditImpact) : EditResult

    /** At least one edit is invalid, so none was applied. */
    public data class Refused(val problems: List<SettingProblem>) : EditResult
}
