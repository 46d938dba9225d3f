package org.auburnstream.control

import kotlinx.serialization.Serializable

/**
 * Immutable tree of settings in which a node inherits every value that it does not override.
 *
 * An edit copies only the nodes on its path, so that readers keep the tree they hold at no cost. Nodes are known
 * once they are added or once something is set at them; a path that is not in the tree has the values of the
 * nearest node above it.
 */
public class SettingsTree private constructor(internal val root: SettingsNode) {
    /** Number of nodes, the root included. */
    public val size: Int get() = root.size

    /** Returns the settings that apply at [path]. */
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

    /** Returns the overrides at [path] itself by key name. */
    public fun overridesAt(path: SettingsPath): Map<String, SettingValue> =
        root.find(path.segments)?.overrides ?: emptyMap()

    /** Returns whether [path] is a node of the tree. */
    public operator fun contains(path: SettingsPath): Boolean = root.find(path.segments) != null

    /** Returns the nodes at and below [path], ordered. */
    public fun nodes(path: SettingsPath = SettingsPath.Root): List<SettingsPath> {
        val start = root.find(path.segments) ?: return emptyList()
        return buildList { start.visit(path) { position, _ -> add(position) } }
    }

    /** Returns what the tree consists of, ordered by path, for snapshots and backups. */
    public fun export(): List<SettingsTreeNode> = buildList {
        root.visit(SettingsPath.Root) { path, node -> add(SettingsTreeNode(path, node.overrides.toSortedMap())) }
    }

    /**
     * Checks [edits] at every node that they reach and returns the tree after them.
     *
     * The edits are applied together or not at all.
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

    /** Returns the tree with the nodes [paths] and all above them. */
    public fun withNodes(paths: List<SettingsPath>): SettingsTree =
        SettingsTree(paths.fold(root) { node, path -> node.update(path.segments) { it } })

    /** Returns the tree without the node [path] and all below it. */
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
        /** The tree that holds nothing but its root. */
        public val Empty: SettingsTree = SettingsTree(SettingsNode.Empty)

        /** Builds the tree from what [SettingsTree.export] returned. */
        public fun of(nodes: List<SettingsTreeNode>): SettingsTree = SettingsTree(
            nodes.fold(SettingsNode.Empty) { root, node ->
                root.update(node.path.segments) { SettingsNode(node.overrides, it.children) }
            },
        )
    }
}

/** One node of an exported tree with its own overrides by key name. */
@Serializable
public data class SettingsTreeNode(val path: SettingsPath, val overrides: Map<String, SettingValue> = emptyMap())

/** Result of [SettingsTree.edit]. */
public sealed interface EditResult {
    /** All edits hold at every node they reach; [impact] tells what they change. */
    public class Edited(public val tree: SettingsTree, public val impact: EditImpact) : EditResult

    /** At least one edit is refused, so none is made. */
    public data class Refused(val problems: List<SettingProblem>) : EditResult
}
