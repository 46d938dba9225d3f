package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Instant

/** Time in which every VM has to be maintained once. */
public val MAINTENANCE_PERIOD: Duration = 28.days

/**
 * When the VMs of one pool will have been maintained.
 *
 * @property remaining VMs that are still to be maintained.
 * @property dueBy when the first of them has gone [MAINTENANCE_PERIOD] without maintenance.
 * @property projectedEnd when the last of them will be done, or null if no end is in sight.
 * @property obstacle what keeps the pool from making it in time, or null if it will.
 */
@Serializable
public data class PoolForecast(
    val pool: PoolId,
    val remaining: Int,
    val dueBy: Instant?,
    val projectedEnd: Instant?,
    val obstacle: MaintenanceObstacle?,
)

/** Why the VMs of a pool will not be maintained in time. */
@Serializable
public sealed interface MaintenanceObstacle {
    /** No window is declared for VMs in this data centre. */
    @Serializable
    @SerialName("no_window")
    public data class NoWindow(val dataCentre: DataCentreId) : MaintenanceObstacle

    /** No window is as long as one planned outage may be. */
    @Serializable
    @SerialName("window_too_short")
    public data class WindowTooShort(val longest: Duration, val needed: Duration) : MaintenanceObstacle

    /** The service's budget permits too few outages; [left] is what may still be spent. */
    @Serializable
    @SerialName("budget_too_small")
    public data class BudgetTooSmall(val service: ServiceId, val left: Duration) : MaintenanceObstacle

    /** The windows until the due time have too little room. */
    @Serializable
    @SerialName("too_little_time")
    public data class TooLittleTime(val dueBy: Instant) : MaintenanceObstacle

    /** Maintenance of the pool is held. */
    @Serializable
    @SerialName("held")
    public data class Held(val reason: FleetRefusal) : MaintenanceObstacle
}

/**
 * Projects the maintenance of each pool from its windows, budgets and pace.
 *
 * One VM is assumed to be away for as long as its service's budget permits at most, so that the projection errs on
 * the late side.
 */
public class MaintenanceForecaster(private val pace: WavePace = WavePace.Default) {
    /** Returns the forecast of every pool of [state] at [at]. */
    public fun forecast(state: FleetState, at: Instant): List<PoolForecast> =
        state.pools.values.filter { state.membersOf(it.id).isNotEmpty() }.map { forecast(state, it, at) }

    /** Returns the forecast of [pool]. */
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

    /** With an open wave what it has left, otherwise all VMs. */
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

    /** Walks the windows of each data centre in turn, as a wave does. */
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

/** Earliest time from [at] on at which the window stays open for [duration]. */
private fun MaintenanceWindow.earliestStart(at: Instant, duration: Duration): Instant {
    val occurrence = occurrenceAt(at)
    val start = maxOf(at, occurrence.start)
    return if (start + duration <= occurrence.endInclusive) start else occurrence.start + period
}
