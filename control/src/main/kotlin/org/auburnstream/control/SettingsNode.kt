package org.auburnstream.control

/** Immutable node of the settings tree; an edit copies only the nodes on its path. */
internal class SettingsNode(
    val overrides: Map<String, SettingValue> = emptyMap(),
    val children: Map<String, SettingsNode> = emptyMap(),
) {
    /** Number of nodes in this subtree. */
    val size: Int = 1 + children.values.sumOf { it.size }

    /** Returns the descendant at the relative path [segments], or null if it does not exist. */
    fun find(segments: List<String>): SettingsNode? {
        var node = this
        for (segment in segments) node = node.children[segment] ?: return null
        return node
    }

    /** Returns a copy in which [change] is applied to the node at [segments]; missing nodes are created. */
    fun update(segments: List<String>, depth: Int = 0, change: (SettingsNode) -> SettingsNode): SettingsNode {
        if (depth == segments.size) return change(this)
        val segment = segments[depth]
        val child = children[segment] ?: Empty
        val updated = child.update(segments, depth + 1, change)
        return if (updated === child && segment in children) this else withChild(segment, updated)
    }

    fun withOverride(key: String, value: SettingValue): SettingsNode =
        SettingsNode(overrides + (key to value), children)

    fun withoutOverride(key: String): SettingsNode = SettingsNode(overrides - key, children)

    fun withChild(segment: String, child: SettingsNode): SettingsNode = SettingsNode(
        overrides,
        children + (segment to child),
    )

    fun withoutChild(segment: String): SettingsNode = SettingsNode(overrides, children - segment)

    /** Visits this node and then its descendants, with the children of each node in the order of their segments. */
    fun visit(path: SettingsPath, visitor: (SettingsPath, SettingsNode) -> Unit) {
        visitor(path, this)
        for (segment in children.keys.sorted()) children.getValue(segment).visit(path.child(segment), visitor)
    }

    fun hasOverrides(): Boolean = overrides.isNotEmpty() || children.values.any { it.hasOverrides() }

    companion object {
        val Empty: SettingsNode = SettingsNode()
    }
}
