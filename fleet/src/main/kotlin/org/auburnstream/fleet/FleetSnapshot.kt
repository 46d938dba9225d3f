package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import kotlin.time.Instant

/** Serialized form of [FleetTables]; the indexes are rebuilt on restore. */
@Serializable
internal data class FleetSnapshot(
    val revision: FleetRevision,
    val clock: Instant,
    val daemons: List<DaemonId>,
    val services: List<BudgetLedger>,
    val pools: List<Pool>,
    val windows: List<MaintenanceWindow>,
    val vms: List<Vm>,
    val waves: List<Wave>,
    val operations: List<OperationRecord>,
    val jobs: JobSnapshot = JobSnapshot(),
)

internal fun FleetTables.toSnapshot(): FleetSnapshot = FleetSnapshot(
    revision = revision,
    clock = clock,
    daemons = daemons.toList(),
    services = services.values.toList(),
    pools = pools.values.toList(),
    windows = windows.values.flatten(),
    vms = vms.values.toList(),
    waves = waves.values.toList(),
    operations = operations.values.toList(),
)

internal fun FleetSnapshot.toTables(): FleetTables {
    val tables = FleetTables()
    tables.revision = revision
    tables.clock = clock
    tables.daemons.addAll(daemons)
    pools.forEach(tables::putPool)
    windows.groupBy { it.pool }.forEach { (pool, list) -> tables.windows[pool] = list }
    vms.forEach(tables::putVm)
    waves.forEach { tables.waves[it.spec.id] = it }
    operations.forEach { tables.operations[it.operation] = it }
    tables.jobs.restore(jobs)
    // The ledgers are restored last because rebuilding the indexes would change them.
    services.forEach { tables.services[it.spec.id] = it }
    return tables
}
