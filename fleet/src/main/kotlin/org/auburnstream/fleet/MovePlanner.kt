package org.auburnstream.fleet

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Delays that limit the number of moves between the spare pool and the other pools.
 *
 * @property lossHoldOff time for which a VM must have been lost before it is replaced by a move.
 * @property surplusHoldOff time for which a pool must have had a surplus before a VM returns to the spare pool.
 * @property minMoveInterval minimum time between two moves of one VM.
 * @property minMoveIntervalDuringWave time after which a VM that was moved during a running wave may be moved again,
 * even if the wave is still running.
 * @property countsMaintenanceAsAvailable true to count VMs in maintenance as available, because they return soon.
 */
public data class MoveTimings(
    val lossHoldOff: Duration = 30.seconds,
    val surplusHoldOff: Duration = 30.minutes,
    val minMoveInterval: Duration = 1.hours,
    val minMoveIntervalDuringWave: Duration = 1.days,
    val countsMaintenanceAsAvailable: Boolean = true,
) {
    public companion object {
        /** Delays for normal operation. */
        public val Default: MoveTimings = MoveTimings()

        /** No delays: every shortfall or surplus leads to a move at once; a baseline for experiments. */
        public val Undamped: MoveTimings =
            MoveTimings(Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, false)
    }
}

/** Returns the moves between pools that should be started now. */
public typealias MovePolicy = (state: FleetState, at: Instant, now: MonotonicTime) -> List<FleetCommand.StartDrain>

/**
 * Plans moves of VMs from the spare pool to pools with too few VMs, and back when they have a surplus.
 *
 * A move costs a drain and a change of software, so [timings] limit how often VMs move. Lost VMs are replaced first.
 * During a wave, each pool gets one extra VM if the rest of its budget is less than twice what the wave still needs.
 *
 * @param extraDemand number of VMs that a pool currently needs above its target.
 */
public class MovePlanner(
    private val timings: MoveTimings = MoveTimings.Default,
    private val extraDemand: (Pool, Instant) -> Int = { _, _ -> 0 },
) {
    private val surplusSince = hashMapOf<PoolId, MonotonicTime>()

    /** Returns the moves to start at [now]; [at] is the same time on the wall clock, which stamps the commands. */
    public fun plan(state: FleetState, at: Instant, now: MonotonicTime): List<FleetCommand.StartDrain> {
        val spare = state.pools.values.firstOrNull { it.spare } ?: return emptyList()
        val missing by lazy {
            BufferPlanner.requirementOf(state).shared - state.vmsOf(spare.id) { it.phase.isExpectedAvailable }.size
        }
        val moves = mutableListOf<FleetCommand.StartDrain>()
        val waveSince = state.waves.values.filter { it.status == WaveStatus.RUNNING }.minOfOrNull { it.startedAt }
        val mayMove = { vm: Vm -> vm.phase is VmPhase.Active && vm.mayMove(at, waveSince) }
        val available = state.vmsOf(spare.id, mayMove).toMutableList()
        val balances =
            state.pools.values
                .filter { it.services.isNotEmpty() }
                .map { PoolBalance(state, it, at, timings, extraDemand(it, at)) }
        // A loss lasts for hours and a maintenance outage for minutes, so lost VMs are replaced first.
        balances.filter { it.deficit > 0 }.sortedBy { it.reason is MoveReason.WaveCover }.forEach { balance ->
            if (available.isEmpty() && balance.reason is MoveReason.Shortfall) available += surplusOf(balances, mayMove)
            assignSpares(available, balance, moves)
        }
        for (balance in balances) {
            if (balance.surplus > 0 && balance.inbound == 0 && missing > 0) {
                returnToSpare(spare, balance, missing, now, mayMove)?.let(moves::add)
            } else {
                surplusSince.remove(balance.pool.id)
            }
        }
        return moves
    }

    /**
     * Returns surplus VMs of other pools. When the spare pool is empty, moving one of them directly needs one move
     * instead of two moves through the spare pool.
     */
    private fun surplusOf(balances: List<PoolBalance>, mayMove: (Vm) -> Boolean): List<Vm> =
        balances.filter { it.surplus > 0 }.flatMap { it.members.filter(mayMove).take(it.surplus) }

    /** Moves available VMs to the pool of [balance], preferring VMs on racks that hold the fewest VMs of that pool. */
    private fun assignSpares(
        available: MutableList<Vm>,
        balance: PoolBalance,
        moves: MutableList<FleetCommand.StartDrain>,
    ) {
        val racks = balance.members.groupingBy { it.domain }.eachCount()
        val reason = balance.reason ?: return
        repeat(balance.deficit) {
            val vm = available.minByOrNull { racks[it.domain] ?: 0 } ?: return
            available.remove(vm)
            moves += FleetCommand.StartDrain(vm.id, DrainPurpose.Move(balance.pool.id, reason))
        }
    }

    private fun returnToSpare(
        spare: Pool,
        balance: PoolBalance,
        missing: Int,
        now: MonotonicTime,
        mayMove: (Vm) -> Boolean,
    ): FleetCommand.StartDrain? {
        val waited = now - surplusSince.getOrPut(balance.pool.id) { now }
        if (waited < timings.surplusHoldOff) return null
        val racks = balance.members.groupingBy { it.domain }.eachCount()
        val candidates = balance.members.filter(mayMove)
        val vm = candidates.maxByOrNull { racks.getValue(it.domain) } ?: return null
        val reason = MoveReason.Surplus(balance.surplus, missing, waited)
        surplusSince.remove(balance.pool.id)
        return FleetCommand.StartDrain(vm.id, DrainPurpose.Move(spare.id, reason))
    }

    /** Returns whether the VM may move now; a VM moved during a running wave waits longer, to avoid repeated moves. */
    private fun Vm.mayMove(at: Instant, waveSince: Instant?): Boolean {
        val movedAt = lastMove?.at ?: return true
        val isMovedInWave = waveSince != null && movedAt >= waveSince
        return at - movedAt >= if (isMovedInWave) timings.minMoveIntervalDuringWave else timings.minMoveInterval
    }
}

/** Compares the VMs that a pool has or will soon have with the number that it needs. */
internal class PoolBalance(
    state: FleetState,
    val pool: Pool,
    at: Instant,
    private val timings: MoveTimings,
    extraDemand: Int,
) {
    val members: List<Vm> = state.vmsOf(pool.id) { it.phase !is VmPhase.GivenUp }
    val inbound: Int = members.count { it.phase is VmPhase.Moving } + state.countDrainingTowards(pool.id)
    private val target = state.targetOf(pool) + extraDemand
    private val available = members.count { it.phase is VmPhase.Active }

    /** Number of VMs lost so recently that they may return before a move would complete. */
    private val recentlyLost = members.count { it.phase.isRecentLoss(at) }
    private val underMaintenance = members.count {
        timings.countsMaintenanceAsAvailable && it.phase.waveOf() != null &&
            !it.phase.isOverdue
    }
    private val wave = state.waves.values.firstOrNull { wave -> wave.isRunningFor(members) }
    private val reserve = if (wave != null && timings.countsMaintenanceAsAvailable &&
        isBudgetTight(state, wave, at)
    ) {
        MAINTENANCE_RESERVE_VMS
    } else {
        0
    }
    private val expected = available + inbound + underMaintenance + recentlyLost

    val deficit: Int = (target + reserve - expected).coerceAtLeast(0)
    val surplus: Int = available + underMaintenance - target - reserve

    /** Reason for moving VMs into the pool, or null if it has enough. */
    val reason: MoveReason? =
        when {
            deficit == 0 -> null
            expected >= target && wave != null -> MoveReason.WaveCover(wave.spec.id, wave.pending.size)
            else ->
                MoveReason.Shortfall(
                    service = pool.services.maxBy { state.targetOf(it) },
                    target = target,
                    available = available,
                    waited = timings.lossHoldOff,
                )
        }

    /** Returns whether an unspent budget is less than [BUDGET_MARGIN_FACTOR] times what the rest of the wave needs. */
    private fun isBudgetTight(state: FleetState, wave: Wave, at: Instant): Boolean {
        val pending = members.count { it.id in wave.pending }
        return pool.services.mapNotNull { state.budgetOf(it, at) }.any { status ->
            val budget = status.spec.budget
            val needed = budget.maxOutage * pending
            budget.allowance - status.spent.total < needed * BUDGET_MARGIN_FACTOR
        }
    }

    private companion object {
        const val BUDGET_MARGIN_FACTOR = 2
    }

    private fun VmPhase.isRecentLoss(at: Instant): Boolean = this is VmPhase.Lost && at - since < timings.lossHoldOff

    private fun Wave.isRunningFor(members: List<Vm>): Boolean =
        status == WaveStatus.RUNNING && members.any { it.id in pending }
}

private val VmPhase.isExpectedAvailable: Boolean get() = this is VmPhase.Active || (isPlannedDisruption && !isOverdue)

private fun FleetState.countDrainingTowards(pool: PoolId): Int = vmsInPlannedDisruption().count { vm ->
    val drain = vm.phase as? VmPhase.Draining
    (drain?.purpose as? DrainPurpose.Move)?.to == pool
}
