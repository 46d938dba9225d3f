package org.auburnstream.fleet

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Lends VMs of the spare pool to pools that are short, and takes them back.
 *
 * A move costs a drain and a change of software, so a loss must be older than [LOSS_HOLD_OFF] and a surplus older
 * than [SURPLUS_HOLD_OFF] before it leads to one, a VM stays where it is for [MIN_STAY], and a wave is covered by
 * one borrowed VM for each pool, not by one for each VM that it maintains.
 */
internal class MovePlanner {
    private val surplusSince = hashMapOf<PoolId, MonotonicTime>()

    fun plan(state: FleetState, at: Instant, now: MonotonicTime, plan: PlanBuilder) {
        val spare = state.pools.values.firstOrNull { it.spare } ?: return
        val missing by lazy {
            BufferPlanner.needOf(state).shared - state.vmsOf(spare.id) { it.phase.willServe }.size
        }
        val lenders = state.vmsOf(spare.id) { it.phase is VmPhase.Active }.toMutableList()
        for (pool in state.pools.values.filter { it.services.isNotEmpty() }) {
            val balance = PoolBalance(state, pool, at)
            if (balance.deficit > 0) {
                surplusSince.remove(pool.id)
                lend(lenders, balance, plan)
            } else {
                if (balance.surplus > 0 && balance.inbound == 0 && missing > 0) {
                    takeBack(spare, balance, missing, at, now, plan)
                } else {
                    surplusSince.remove(pool.id)
                }
            }
        }
    }

    /** Chooses the lender whose rack holds the fewest VMs of the borrower. */
    private fun lend(lenders: MutableList<Vm>, balance: PoolBalance, plan: PlanBuilder) {
        val racks = balance.members.groupingBy { it.domain }.eachCount()
        val reason = balance.reason ?: return
        repeat(balance.deficit) {
            val lender = lenders.minByOrNull { racks[it.domain] ?: 0 } ?: return
            lenders.remove(lender)
            plan.commands += FleetCommand.StartDrain(lender.id, DrainPurpose.Move(balance.pool.id, reason))
        }
    }

    private fun takeBack(
        spare: Pool,
        balance: PoolBalance,
        missing: Int,
        at: Instant,
        now: MonotonicTime,
        plan: PlanBuilder,
    ) {
        val waited = now - surplusSince.getOrPut(balance.pool.id) { now }
        if (waited < SURPLUS_HOLD_OFF) return
        val racks = balance.members.groupingBy { it.domain }.eachCount()
        val candidates = balance.members.filter { it.phase is VmPhase.Active && it.mayMove(at) }
        val vm = candidates.maxByOrNull { racks.getValue(it.domain) } ?: return
        val reason = MoveReason.Surplus(balance.surplus, missing, SURPLUS_HOLD_OFF)
        plan.commands += FleetCommand.StartDrain(vm.id, DrainPurpose.Move(spare.id, reason))
        surplusSince.remove(balance.pool.id)
    }

    private fun Vm.mayMove(at: Instant): Boolean = lastMove?.let { at - it.at >= MIN_STAY } ?: true

    companion object {
        val LOSS_HOLD_OFF: Duration = 30.seconds
        val SURPLUS_HOLD_OFF: Duration = 30.minutes
        val MIN_STAY: Duration = 1.hours
    }
}

/** VMs that a pool has, will have and needs. */
internal class PoolBalance(state: FleetState, val pool: Pool, at: Instant) {
    val members: List<Vm> = state.vmsOf(pool.id) { it.phase !is VmPhase.GivenUp }
    val inbound: Int = members.count { it.phase is VmPhase.Moving } + state.drainingTowards(pool.id)
    private val target = state.targetOf(pool)
    private val available = members.count { it.phase is VmPhase.Active }

    /** Lost so recently that they may be back before a move would be done. */
    private val recentlyLost = members.count { it.phase.isRecentLoss(at) }
    private val underMaintenance = members.count { it.phase.waveOf() != null && !it.phase.isOverdue }
    private val wave = state.waves.values.firstOrNull { wave -> wave.isRunningOver(members) }
    private val cover = if (wave != null) MAINTENANCE_COVER else 0
    private val expected = available + inbound + underMaintenance + recentlyLost

    val deficit: Int = (target + cover - expected).coerceAtLeast(0)
    val surplus: Int = available + underMaintenance - target - cover

    /** Why the pool should be lent VMs, or null if it should not. */
    val reason: MoveReason? =
        when {
            deficit == 0 -> null
            expected >= target && wave != null -> MoveReason.WaveCover(wave.spec.id, wave.pending.size)
            else ->
                MoveReason.Shortfall(
                    service = pool.services.maxBy { state.targetOf(it) },
                    target = target,
                    available = available,
                    waited = MovePlanner.LOSS_HOLD_OFF,
                )
        }

    private fun VmPhase.isRecentLoss(at: Instant): Boolean =
        this is VmPhase.Lost && at - since < MovePlanner.LOSS_HOLD_OFF

    private fun Wave.isRunningOver(members: List<Vm>): Boolean =
        status == WaveStatus.RUNNING && members.any { it.id in pending }
}

private val VmPhase.willServe: Boolean get() = this is VmPhase.Active || (isPlannedAct && !isOverdue)

private fun FleetState.drainingTowards(pool: PoolId): Int = vmsInPlannedActs().count { vm ->
    val drain = vm.phase as? VmPhase.Draining
    (drain?.purpose as? DrainPurpose.Move)?.to == pool
}
