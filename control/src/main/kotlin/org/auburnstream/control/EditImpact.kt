package org.auburnstream.control

import kotlinx.serialization.Serializable

/**
 * Computes how a batch of edits changes effective values, and which rules it violates.
 *
 * Visits only the edited nodes and their descendants, and skips a subtree in which every edited key is overridden.
 */
public class EditImpact internal constructor(
    private val before: SettingsTree,
    private val after: SettingsTree,
    private val edits: List<SettingEdit>,
) {
    /** Returns up to [limit] changes of effective values, ordered by path and key. */
    public fun changes(limit: Int = Int.MAX_VALUE): List<EffectiveChange> {
        val changes = mutableListOf<EffectiveChange>()
        walk { visit ->
            for (name in visit.keys.sorted()) {
                val key = SettingKeys.find(name) ?: continue
                val old = visit.before.origin(key).value
                val new = visit.after.origin(key).value
                if (old != new && changes.size < limit) changes += EffectiveChange(visit.path, name, old, new)
            }
        }
        return changes
    }

    /** Returns the number of nodes at which an effective value changes. */
    public fun countChangedNodes(): Int {
        var count = 0
        walk { visit -> if (visit.changesEffectiveValue()) count++ }
        return count
    }

    /** Returns up to [MAX_REPORTED_PROBLEMS] violations of rules that read an edited key. */
    internal fun ruleViolations(): List<SettingProblem> {
        val problems = mutableListOf<SettingProblem>()
        walk { visit ->
            for (rule in SettingRule.all) {
                val affected = rule.keys.any { it in visit.keys }
                if (!affected || problems.size >= MAX_REPORTED_PROBLEMS || rule.isSatisfied(visit.after)) continue
                problems +=
                    SettingProblem.RuleBroken(visit.path, rule.name, rule.explanation, ruleValues(rule, visit.after))
            }
        }
        return problems
    }

    private fun ruleValues(rule: SettingRule, settings: EffectiveSettings): List<RuleValue> =
        rule.keys.sorted().mapNotNull { name ->
            SettingKeys.find(name)?.let { key ->
                val effective = settings.origin(key)
                RuleValue(name, key.format(effective.value), effective.origin)
            }
        }

    private fun walk(visitor: (Visit) -> Unit) {
        val edited = edits.groupBy { it.path }
        val topmostPaths = edited.keys.filter { path -> edited.keys.none { it != path && it.contains(path) } }
        for (topmost in topmostPaths.sorted()) {
            val parent = topmost.parent
            val start =
                Visit(
                    path = topmost,
                    beforeNode = before.root.find(topmost.segments),
                    afterNode = after.root.find(topmost.segments),
                    before = parent?.let(before::at) ?: EffectiveSettings.Default,
                    after = parent?.let(after::at) ?: EffectiveSettings.Default,
                    keys = emptySet(),
                )
            descend(start, edited, visitor)
        }
    }

    /**
     * Visits a node and its descendants.
     *
     * On entry [visit] refers to the node but holds the effective settings of its parent.
     */
    private fun descend(visit: Visit, edited: Map<SettingsPath, List<SettingEdit>>, visitor: (Visit) -> Unit) {
        val ownKeys = edited[visit.path]?.map { it.key }?.toSet() ?: emptySet()
        val inheritedKeys = visit.keys.filter { it !in (visit.afterNode?.overrides ?: emptyMap()) }
        val current =
            visit.copy(
                before = visit.before.withOverrides(visit.path, visit.beforeNode?.overrides ?: emptyMap()),
                after = visit.after.withOverrides(visit.path, visit.afterNode?.overrides ?: emptyMap()),
                keys = ownKeys + inheritedKeys,
            )
        if (current.keys.isNotEmpty()) visitor(current)
        for (segment in visit.afterNode?.children?.keys?.sorted() ?: emptyList()) {
            val path = visit.path.child(segment)
            // If this node overrides every edited key, only descendants with their own edits can change.
            if (current.keys.isEmpty() && edited.keys.none { path.contains(it) }) continue
            val child =
                current.copy(
                    path = path,
                    beforeNode = visit.beforeNode?.children?.get(segment),
                    afterNode = visit.afterNode?.children?.get(segment),
                )
            descend(child, edited, visitor)
        }
    }

    /**
     * Node visited by [walk] with its effective settings before and after the edits.
     *
     * @property keys edited keys whose change can affect this node.
     */
    private data class Visit(
        val path: SettingsPath,
        val beforeNode: SettingsNode?,
        val afterNode: SettingsNode?,
        val before: EffectiveSettings,
        val after: EffectiveSettings,
        val keys: Set<String>,
    ) {
        fun changesEffectiveValue(): Boolean = keys.any { name ->
            val key = SettingKeys.find(name)
            key != null && before.origin(key).value != after.origin(key).value
        }
    }

    private companion object {
        const val MAX_REPORTED_PROBLEMS = 20
    }
}

/** Change of the effective value of [key] at one node. */
@Serializable
public data class EffectiveChange(
    val path: SettingsPath,
    val key: String,
    val before: SettingValue,
    val after: SettingValue,
)
