package org.auburnstream.control

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private typealias Overrides = Map<SettingsPath, Map<String, SettingValue>>

/**
 * Reference model of the settings tree that tests compare [SettingsTree] with.
 *
 * Stores the overrides in a flat map and recomputes every node from the root for each comparison.
 */
internal object TreeOracle {
    private val keys =
        listOf(
            SettingKeys.RequestDeadlineDefault,
            SettingKeys.RequestDeadlineMax,
            SettingKeys.KeyRetention,
            SettingKeys.TargetSlots,
            SettingKeys.TargetConnections,
        )

    fun paths(random: Random): List<SettingsPath> = List(random.nextInt(1, 25)) { randomPath(random) }

    fun randomEdits(tree: SettingsTree, random: Random): List<SettingEdit> = List(random.nextInt(1, 5)) {
        val at = if (random.nextBoolean()) tree.nodes().random(random) else randomPath(random)
        val key = keys.random(random)
        if (random.nextInt(3) ==
            0
        ) {
            SettingEdit.Unset(at, key.name)
        } else {
            SettingEdit.Set(at, key.name, randomValue(key, random))
        }
    }

    /** Returns the overrides after [edits], or null if the edits are invalid. */
    fun edit(tree: SettingsTree, edits: List<SettingEdit>): Overrides? {
        val result = tree.export().associate { it.path to it.overrides }.toMutableMap()
        if (edits.map { it.path to it.key }.toSet().size != edits.size) return null
        for (edit in edits) {
            generateSequence(edit.path) { it.parent }.forEach { result.putIfAbsent(it, emptyMap()) }
            val own = result.getValue(edit.path)
            if (edit is SettingEdit.Unset && edit.key !in tree.overridesAt(edit.path)) return null
            if (edit is SettingEdit.Set && edit.path.level !in SettingKeys.find(edit.key)!!.levels) return null
            result[edit.path] = if (edit is SettingEdit.Set) own + (edit.key to edit.value) else own - edit.key
        }
        return result.takeIf { result.keys.all { holds(result, it) } }
    }

    fun changes(before: SettingsTree, after: Overrides): Set<EffectiveChange> {
        val old = before.export().associate { it.path to it.overrides }
        return after.keys
            .flatMap { path ->
                keys.map { EffectiveChange(path, it.name, value(old, path, it), value(after, path, it)) }
            }
            .filter { it.before != it.after }
            .toSet()
    }

    /** Returns whether the effective values at [path] satisfy all rules. */
    private fun holds(overrides: Overrides, path: SettingsPath): Boolean {
        fun duration(key: SettingKey<*>) = (value(overrides, path, key) as SettingValue.OfDuration).value

        fun integer(key: SettingKey<*>) = (value(overrides, path, key) as SettingValue.OfInteger).value
        val longest = duration(SettingKeys.RequestDeadlineMax)
        return duration(SettingKeys.RequestDeadlineDefault) <= longest &&
            longest <= duration(SettingKeys.KeyRetention) &&
            integer(SettingKeys.TargetSlots) <= integer(SettingKeys.TargetConnections)
    }

    private fun value(overrides: Overrides, path: SettingsPath, key: SettingKey<*>): SettingValue =
        generateSequence(path) { it.parent }.firstNotNullOfOrNull { overrides[it]?.get(key.name) } ?: key.defaultValue

    private fun randomValue(key: SettingKey<*>, random: Random): SettingValue = when (key) {
        SettingKeys.KeyRetention -> SettingValue.OfDuration(random.nextInt(60, 100).seconds)
        SettingKeys.TargetSlots, SettingKeys.TargetConnections -> SettingValue.OfInteger(random.nextLong(1, 30))
        else -> SettingValue.OfDuration(random.nextInt(1, 61).seconds)
    }

    private fun randomPath(random: Random): SettingsPath {
        val depth = random.nextInt(0, SettingLevel.entries.size)
        return (0 until depth).fold(SettingsPath.Root) { path, _ -> path.child("n${random.nextInt(2)}") }
    }
}
