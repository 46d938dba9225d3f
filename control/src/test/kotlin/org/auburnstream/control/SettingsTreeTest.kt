package org.auburnstream.control

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against wrong effective values, wrong previews and invalid edits that are accepted. They come about when
 * inheritance, team settings or rules between settings are evaluated incorrectly for a node.
 */
class SettingsTreeTest {
    private val deadline = SettingKeys.RequestDeadlineDefault
    private val region = path("/r1")
    private val dataCentre = path("/r1/d1")

    @Test
    fun `a node inherits the nearest override above it and names its origin`() {
        val tree = edited(SettingsTree.Empty, set(region, deadline, 2.seconds), set(dataCentre, deadline, 3.seconds))
        assertEquals(
            EffectiveValue(SettingValue.OfDuration(3.seconds), dataCentre),
            tree.at(path("/r1/d1/p/s/v")).origin(deadline),
        )
        assertEquals(
            EffectiveValue(SettingValue.OfDuration(2.seconds), region),
            tree.at(path("/r1/d2")).origin(deadline),
        )
        assertEquals(EffectiveValue(deadline.defaultValue, null), tree.at(path("/r2")).origin(deadline))
    }

    @Test
    fun `removing an override restores inheritance`() {
        val tree = edited(SettingsTree.Empty, set(region, deadline, 2.seconds), set(dataCentre, deadline, 3.seconds))
        val after = edited(tree, SettingEdit.Unset(dataCentre, deadline.name))
        assertEquals(2.seconds, after.at(dataCentre)[deadline])
    }

    @Test
    fun `a rule is checked at a descendant that overrides the other key`() {
        val servicePath = path("/r1/d1/p1/s1")
        val tree =
            edited(
                SettingsTree.Empty,
                set(servicePath, SettingKeys.RequestDeadlineMax, 4.seconds),
                set(servicePath, deadline, 1.seconds),
            )
        val withoutDefault =
            edited(tree, SettingEdit.Unset(servicePath, deadline.name), set(region, deadline, 4.seconds))
        val refused =
            assertIs<EditResult.Refused>(
                withoutDefault.edit(
                    listOf(set(SettingsPath.Root, deadline, 5.seconds), set(region, deadline, 5.seconds)),
                ),
            )
        val problem = assertIs<SettingProblem.RuleBroken>(refused.problems.single())
        assertEquals(servicePath, problem.path)
        assertEquals(listOf(region, servicePath), problem.values.map { it.origin })
    }

    @Test
    fun `each kind of invalid edit is refused with the matching problem`() {
        val vm = path("/r1/d1/p1/s1/v1")
        val nineSeconds = SettingValue.OfDuration(9.seconds)
        val cases: List<Pair<List<SettingEdit>, SettingProblem>> =
            listOf(
                emptyList<SettingEdit>() to SettingProblem.EmptyBatch,
                listOf(SettingEdit.Set(region, "no.such", nineSeconds)) to SettingProblem.UnknownKey(region, "no.such"),
                listOf(SettingEdit.Set(vm, deadline.name, nineSeconds)) to
                    SettingProblem.LevelNotAllowed(vm, deadline.name, SettingLevel.entries - SettingLevel.VM),
                listOf(SettingEdit.Set(region, deadline.name, SettingValue.OfInteger(1))) to
                    SettingProblem.InvalidValue(region, deadline.name, "OfInteger(value=1)", "duration", "1ms to 1m"),
                listOf(set(region, SettingKeys.QueueShare, Double.NaN)) to
                    SettingProblem.InvalidValue(region, "queue.share", "OfRatio(value=NaN)", "ratio", "0.0 to 1.0"),
                listOf(SettingEdit.Unset(region, deadline.name)) to SettingProblem.NotOverridden(region, deadline.name),
                listOf(set(region, deadline, 1.seconds), set(region, deadline, 2.seconds)) to
                    SettingProblem.DuplicateEdit(region, deadline.name),
                List(1_001) { set(path("/r$it"), deadline, 1.seconds) } to SettingProblem.BatchTooLarge(1_001, 1_000),
            )
        for ((edits, problem) in cases) {
            assertEquals(EditResult.Refused(listOf(problem)), SettingsTree.Empty.edit(edits))
        }
    }

    @Test
    fun `malformed paths are refused`() {
        for (text in listOf("", "r1", "//", "/r1/", "/a/b/c/d/e/f", "/r 1", "/${"x".repeat(129)}")) {
            assertNull(SettingsPath.parse(text), text)
        }
        assertEquals(SettingLevel.VM, path("/a/b/c/-/e").level)
        assertEquals(SettingsPath.Root, path("/a").parent)
    }

    @Test
    fun `a team's setting falls back to the value for all teams`() {
        val allTeams = SettingKeys.TeamQuotaProcessors
        val team = assertIs<SettingKey<Long>>(SettingKeys.find("team.quota.processors:clinics"))
        val tree = edited(SettingsTree.Empty, set(SettingsPath.Root, allTeams, 10L))
        assertEquals(10L, tree.at(region)[team])
        assertEquals(3L, edited(tree, set(region, team, 3L)).at(dataCentre)[team])
        assertNull(SettingKeys.find("queue.capacity:clinics"))
    }

    @Test
    fun `every default is in range, formats to text that parses back and satisfies every rule`() {
        for (key in SettingKeys.all) {
            assertEquals(key.defaultValue, key.parse(key.format(key.defaultValue)), key.name)
        }
        assertTrue(SettingRule.all.all { it.isSatisfied(EffectiveSettings.Default) })
    }

    /** Compares validation, preview and effective values with those of [TreeOracle]. */
    @Test
    fun `random edits agree with an oracle that recomputes every node`() {
        repeat(SCHEDULES) { seed ->
            val random = Random(seed)
            var tree = SettingsTree.Empty.withNodes(TreeOracle.paths(random))
            repeat(EDITS_PER_SCHEDULE) { step ->
                val edits = TreeOracle.randomEdits(tree, random)
                val expected = TreeOracle.edit(tree, edits)
                val actual = tree.edit(edits)
                if (expected == null) {
                    assertIs<EditResult.Refused>(actual, "seed $seed step $step $edits")
                } else {
                    assertIs<EditResult.Edited>(actual, "seed $seed step $step $edits")
                    assertEquals(
                        TreeOracle.changes(tree, expected),
                        actual.impact.changes().toSet(),
                        "seed $seed step $step $edits",
                    )
                    assertEquals(
                        TreeOracle.changes(tree, expected).map {
                            it.path
                        }.distinct().size,
                        actual.impact.countChangedNodes(),
                    )
                    assertEquals(expected, actual.tree.export().associate { it.path to it.overrides })
                    assertEquals(actual.tree.export(), SettingsTree.of(actual.tree.export()).export())
                    tree = actual.tree
                }
            }
        }
    }

    private companion object {
        const val SCHEDULES = 400
        const val EDITS_PER_SCHEDULE = 40
    }
}

internal fun path(text: String): SettingsPath = requireNotNull(SettingsPath.parse(text)) { text }

internal fun <T : Any> set(path: SettingsPath, key: SettingKey<T>, value: T): SettingEdit =
    SettingEdit.Set(path, key.name, key.type.wrap(value))

internal fun edited(tree: SettingsTree, vararg edits: SettingEdit): SettingsTree =
    assertIs<EditResult.Edited>(tree.edit(edits.toList())).tree
