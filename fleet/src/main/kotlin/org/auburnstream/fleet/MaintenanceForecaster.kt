package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Instant

/** Period within which every VM has to be maintained once. */
public val MAINTENANCE_PERIOD: Duration = 28.days

/**
 * Forecast of the maintenance of one pool.
 *
 * @property remaining number of VMs that still have to be maintained.
 * @property dueBy earliest time at which a VM of the pool reaches [MAINTENANCE_PERIOD] without maintenance.
 * @property projectedEnd expected time at which the last remaining VM is done, or null if no end can be projected.
 * @property obstacle reason why the maintenance will not be finished in time, or null if it will.
 */
@Serializable
public data class PoolForecast(
    val pool: PoolId,
    val remaining: Int,
    val dueBy: Instant?,
    val projectedEnd: Instant?,
    val obstacle: MaintenanceObstacle?,
)

/** Reason why the VMs of a pool will not be maintained in time. */
@Serializable
public sealed interface MaintenanceObstacle {
    /** No window is declared for VMs in this data centre. */
    @Serializable
    @SerialName("no_window")
    public data class NoWindow(val dataCentre: DataCentreId) : MaintenanceObstacle

    /** The longest window is shorter than one planned outage may last. */
    @Serializable
    @SerialName("window_too_short")
    public data class WindowTooShort(val longest: Duration, val needed: Duration) : MaintenanceObstacle

    /** The service's budget does not permit the remaining outages; [left] is the unspent part of it. */
    @Serializable
    @SerialName("budget_too_small")
    public data class BudgetTooSmall(val service: ServiceId, val left: Duration) : MaintenanceObstacle

    /** The windows until the due time are too short for the remaining VMs. */
    @Serializable
    @SerialName("too_little_time")
    public data class TooLittleTime(val dueBy: Instant) : MaintenanceObstacle

    /** Maintenance of the pool is blocked for this reason. */
    @Serializable
    @SerialName("held")
    public data class Held(val reason: FleetRefusal) : MaintenanceObstacle
}

/**
 * Forecasts when the maintenance of each pool will be finished, from its windows, budgets and pace.
 *
 * Each VM is assumed to be unavailable for the longest outage that its services permit, so the projected end is rather
 * too late than too early.
 */
public class MaintenanceForecaster(private val pace: WavePace = WavePace.Default) {
    /** Returns the forecast of every pool of [state] that has VMs, as of [at]. */
    public fun forecast(state: FleetState, at: Instant): List<PoolForecast> =
        state.pools.values.filter { state.membersOf(it.id).isNotEmpty() }.map { forecast(state, it, at) }

    /** Returns the forecast of [pool] as of [at]. */
    public fun forecast(state: FleetState, pool: Pool, at: Instant): PoolForecast {
        val members = state.vmsOf(pool.id) { it.phase !is VmPhase.GivenUp }
        val dueBy = members.minOfOrNull { it.maintainedAt + MAINTENANCE_PERIOD }
        val remaining = remainingOf(state, members)
        if (remaining.isEmpty() || dueBy == null) return PoolForecast(pool.id, 0, dueBy, at, null)
        val outage = state.maxOutageOf(pool.id)
        val obstacle = windowObstacle(state, pool, remaining, outage) ?: budgetObstacle(state, pool, remaining.size, at)
        val end = if (obstacle == null) projectEnd(state, pool, remaining, outage, at) else null
        val late = MaintenanceObstacle.TooLittleTime(dueBy).takeIf { end == null || end > dueBy }
        val held = state.holdOf(pool.id)?.let { MaintenanceObstacle.Held(it) }
        return PoolForecast(pool.id, remaining.size, dueBy, end, obstacle ?: held ?: late)
    }

    /** Returns the VMs that open waves have not maintained yet, or all VMs if no open wave covers the pool. */
    private fun remainingOf(state: FleetState, members: List<Vm>): List<Vm> {
        val open = state.waves.values.filter { it.isOpen && members.any { vm -> vm.id in it.pending } }
        if (open.isEmpty()) return members
        return members.filter { vm -> open.any { vm.id in it.pending } }
    }

    private fun windowObstacle(
        state: FleetState,
        pool: Pool,
        remaining: List<Vm>,
        outage: Duration,
    ): MaintenanceObstacle? {
        val windows = state.windowsOf(pool.id)
        for (dataCentre in remaining.map { it.dataCentre }.distinct()) {
            val covering = windows.filter { it.covers(dataCentre) }
            val longest = covering.maxOfOrNull { it.length } ?: return MaintenanceObstacle.NoWindow(dataCentre)
            if (longest < outage) return MaintenanceObstacle.WindowTooShort(longest, outage)
        }
        return null
    }

    private fun budgetObstacle(state: FleetState, pool: Pool, count: Int, at: Instant): MaintenanceObstacle? {
        for (service in pool.services) {
            val status = state.budgetOf(service, at) ?: continue
            val budget = status.spec.budget
            if (status.available > status.spec.target) continue
            val left = budget.allowance - status.spent.total
            val isTooSmall = budget.maxShortfall == 0 || left < budget.maxOutage * count
            if (isTooSmall) return MaintenanceObstacle.BudgetTooSmall(service, left.coerceAtLeast(Duration.ZERO))
        }
        return null
    }

    /** Schedules the remaining VMs into the windows of one data centre after the other, as a wave does. */
    private fun projectEnd(
        state: FleetState,
        pool: Pool,
        remaining: List<Vm>,
        outage: Duration,
        at: Instant,
    ): Instant? {
        val step = maxOf(outage, pace.gap)
        val perStep = minOf(pace.maxInProgress, state.concurrencyOf(pool)).coerceAtLeast(1)
        var projected = at
        for ((dataCentre, vms) in remaining.groupBy { it.dataCentre }.toSortedMap(compareBy { it.value })) {
            val windows = state.windowsOf(pool.id).filter { it.covers(dataCentre) }
            var steps = (vms.size + perStep - 1) / perStep
            while (steps > 0) {
                val start = windows.map { it.earliestStart(projected, step) }.minOrNull() ?: return null
                if (start - at > MAINTENANCE_PERIOD * 2) return null
                projected = start + step
                steps--
            }
        }
        return projected
    }

    private fun FleetState.concurrencyOf(pool: Pool): Int = pool.services
        .mapNotNull { budgetOf(it, clock) }
        .minOfOrNull { it.spec.budget.maxShortfall + (it.available - it.spec.target).coerceAtLeast(0) }
        ?: pace.maxInProgress
}

/** Returns the earliest time from [at] on at which the window stays open for [duration]. */
private fun MaintenanceWindow.earliestStart(at: Instant, duration: Duration): Instant {
    val occurrence = occurrenceAt(at)
    val start = maxOf(at, occurrence.start)
    return if (start + duration <= occurrence.endInclusive) start else occurrence.start + period
}
