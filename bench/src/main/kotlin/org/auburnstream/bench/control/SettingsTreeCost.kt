package org.auburnstream.bench.control

import org.auburnstream.bench.Table
import org.auburnstream.control.EditResult
import org.auburnstream.control.SettingEdit
import org.auburnstream.control.SettingKey
import org.auburnstream.control.SettingKeys
import org.auburnstream.control.SettingsPath
import org.auburnstream.control.SettingsTree
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RegionId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.random.Random
import kotlin.time.DurationUnit
import kotlin.time.measureTime

/** Measures what the settings tree costs as VMs and pools grow: time of a change at the root, and memory. */
public object SettingsTreeCost {
    /** Builds trees of growing size, each with some overrides, and changes a value at the root of each. */
    public fun run(seed: Long): List<Table> {
        // The first size is run twice, so that the compiler has seen the code before it is measured.
        measure(seed, SIZES.first())
        val rows = SIZES.map { measure(seed, it) }
        val columns = listOf("VMs", "pools", "nodes", "root change ms p50", "root change ms p99", "live heap KiB")
        val cells = rows.map { listOf(it.vms, it.pools, it.nodes, it.p50, it.p99, it.heapKib) }
        return listOf(Table("settings-tree", columns, cells))
    }

    private fun measure(seed: Long, size: TreeSize): SettingsTreeRow {
        val before = usedHeap()
        val tree = build(size, Random(seed))
        val heap = usedHeap() - before
        val times = List(CHANGES) { change(tree, it).toDouble(DurationUnit.MILLISECONDS) }.sorted()
        return SettingsTreeRow(
            vms = size.vms,
            pools = size.pools,
            nodes = tree.size,
            p50 = times[times.size / 2],
            p99 = times[times.size * P99_PERCENT / PERCENT],
            heapKib = heap.toDouble() / BYTES_PER_KIB,
        )
    }

    /** A change that reaches every node: checked, counted and listed as an operator's preview is. */
    private fun change(tree: SettingsTree, step: Int) = measureTime {
        val edit = set(SettingsPath.Root, SettingKeys.TargetSlots, 1L + step % 2)
        val result = tree.edit(listOf(edit)) as EditResult.Edited
        check(result.impact.countChangedNodes() > 0)
    }

    private fun build(size: TreeSize, random: Random): SettingsTree {
        val paths = List(size.vms) { vm ->
            val pool = vm % size.pools
            val centre = pool % CENTRES
            SettingsPath.of(
                RegionId("region-${centre % REGIONS}"),
                DataCentreId("dc-$centre"),
                PoolId("pool-$pool"),
                ServiceId("service-$pool"),
                VmId("vm-$vm"),
            )
        }
        val nodes = SettingsTree.Empty.withNodes(paths)
        val edits = paths.filter {
            random.nextInt(OVERRIDE_EACH) == 0
        }.map { set(it, SettingKeys.TargetConnections, OVERRIDDEN_CONNECTIONS) }
        return edits.chunked(BATCH).fold(nodes) { tree, batch -> (tree.edit(batch) as EditResult.Edited).tree }
    }

    private fun <T : Any> set(path: SettingsPath, key: SettingKey<T>, value: T): SettingEdit =
        SettingEdit.Set(path, key.name, key.type.wrap(value))

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private class TreeSize(val vms: Int, val pools: Int)

    private class SettingsTreeRow(
        val vms: Int,
        val pools: Int,
        val nodes: Int,
        val p50: Double,
        val p99: Double,
        val heapKib: Double,
    )

    private val SIZES = listOf(TreeSize(35, 6), TreeSize(275, 94), TreeSize(550, 189), TreeSize(1_100, 378))
    private const val CENTRES = 7
    private const val REGIONS = 2
    private const val OVERRIDE_EACH = 10
    private const val OVERRIDDEN_CONNECTIONS = 32L
    private const val BATCH = 500
    private const val CHANGES = 200
    private const val COLLECTIONS = 3
    private const val P99_PERCENT = 99
    private const val PERCENT = 100
    private const val BYTES_PER_KIB = 1_024
}
