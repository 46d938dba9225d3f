package org.auburnstream.fleet

import org.auburnstream.model.PoolId
import org.auburnstream.model.isValidId

/** Applies the operator commands that define services, pools and maintenance windows. */
internal class PoolCommands(private val tables: FleetTables) {
    fun define(service: ServiceSpec): FleetRefusal? {
        if (!isValidId(service.id.value)) return FleetRefusal.InvalidValue(CommandField.ID)
        if (service.target < 0) return FleetRefusal.InvalidValue(CommandField.TARGET)
        if (!service.budget.isValid) return FleetRefusal.InvalidValue(CommandField.BUDGET)
        tables.putService(service)
        return null
    }

    fun define(pool: Pool): FleetRefusal? {
        if (!isValidId(pool.id.value)) return FleetRefusal.InvalidValue(CommandField.ID)
        val unknown = pool.services.firstOrNull { it !in tables.services }
        if (unknown != null) return FleetRefusal.UnknownService(unknown)
        val spare = tables.pools.values.firstOrNull { it.spare && it.id != pool.id }
        if (pool.spare && spare != null) return FleetRefusal.InvalidValue(CommandField.POOL)
        tables.putPool(pool)
        return null
    }

    fun remove(pool: PoolId): FleetRefusal? {
        if (pool !in tables.pools) return FleetRefusal.UnknownPool(pool)
        val vms = tables.membersOf(pool).size
        if (vms > 0) return FleetRefusal.PoolNotEmpty(pool, vms)
        tables.removePool(pool)
        return null
    }

    fun declare(pool: PoolId, windows: List<MaintenanceWindow>): FleetRefusal? {
        if (pool !in tables.pools) return FleetRefusal.UnknownPool(pool)
        if (windows.any { it.pool != pool || !it.isValid }) return FleetRefusal.InvalidValue(CommandField.WINDOW)
        tables.windows[pool] = windows
        return null
    }
}
