package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which VMs are lent to the service whose queue asks for more than its pool holds, and when they go back.
 *
 * Answers the load pattern of queues that ask in turn for several times their mean: a service that cannot start its
 * waiting tasks borrows VMs that are switched off, then VMs of other services that have nothing waiting and need
 * fewer VMs for what they run. Of these, the VMs with the least to do get no new tasks and leave once they are empty;
 * without that, the ends of tasks that were spread over all VMs hold back every VM. A borrowed VM goes back once it
 * has run nothing for a while. Hysteresis keeps a VM from moving for each
 * small change: a shortage must last, and a VM stays a few times as long as its move takes.
 */
internal class PoolControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val startedAt: MonotonicTime,
) {
    private val shortages = HashMap<ServiceId, Shortage>()
    private val idleSince = HashMap<VmId, MonotonicTime>()
    private val orderedAt = HashMap<VmId, MonotonicTime>()
    private val refusedUntil = HashMap<VmId, MonotonicTime>()
    private val confirmedAt = HashMap<VmId, MonotonicTime>()
    private val emptying = HashMap<VmId, MonotonicTime>()
    private var spares: List<ListedVm> = emptyList()
    private var listedAt: MonotonicTime? = null

    /** Whether the VM of [worker] is being moved, or emptied for a move. */
    fun isHeld(worker: WorkerProfile): Boolean = worker.vm in state.moves || worker.vm in emptying

    /** Whether a list of the VMs that are switched off is needed. */
    fun needsList(now: MonotonicTime): Boolean {
        if (spareService() == null || now - startedAt < LIST_DELAY) return false
        val last = listedAt ?: return true
        return shortages.isNotEmpty() && now - last > LIST_INTERVAL
    }

    fun listRequested(now: MonotonicTime) {
        listedAt = now
    }

    fun listed(vms: List<ListedVm>) {
        val spare = spareService() ?: return
        spares = vms.filter { it.pool == spare.value && it.state != VmCondition.MOVING }
    }

    /** Notes what could not be placed: processor time by service and the most VMs that one step still needs. */
    fun noteUnplaced(unplaced: Map<ServiceId, Unplaced>, now: MonotonicTime) {
        shortages.keys.retainAll(unplaced.keys)
        unplaced.forEach { (service, need) -> shortages.getOrPut(service) { Shortage(now) }.need = need }
    }

    /**
     * Returns the moves to begin, to confirm and to order now, and the runs to stop for them.
     *
     * @param remaining likely time until a run ends by itself.
     */
    fun decide(now: MonotonicTime, remaining: (RunId, WorkerLife) -> Duration): PoolDecision {
        val decision = PoolDecision()
        if (now - startedAt < settings.succession) return decision
        finish(now, decision)
        confirmedAt.keys.retainAll(state.moves.keys)
        repeatOrders(now, decision)
        noteIdle(now)
        borrow(now, decision)
        giveBack(now, decision)
        evacuate(remaining, decision)
        return decision
    }

    fun orderSent(vm: VmId, now: MonotonicTime) {
        orderedAt[vm] = now
    }

    /** Returns the record that follows from the platform's [answer], or null. */
    fun answered(vm: VmId, answer: UpkeepAnswer, isFirst: Boolean, now: MonotonicTime): Record? = when (answer) {
        UpkeepAnswer.BEGUN -> Record.MoveConfirmed(vm)
        UpkeepAnswer.UNKNOWN_VM -> refuse(vm, now)
        // A copy that was not answered may have begun the move; a repeat tells once it is over.
        UpkeepAnswer.BUSY -> if (isFirst) refuse(vm, now) else null
        UpkeepAnswer.FENCED, UpkeepAnswer.UNCERTAIN -> null
    }

    private fun refuse(vm: VmId, now: MonotonicTime): Record {
        refusedUntil[vm] = now + REFUSAL_PAUSE
        spares = spares.filterNot { it.vm == vm }
        return Record.MoveRefused(vm)
    }

    private fun finish(now: MonotonicTime, decision: PoolDecision) {
        val workers = state.workers.values.associateBy { it.profile.vm }
        val spare = spareService()
        for ((vm, move) in state.moves) {
            if (!move.isConfirmed) continue
            val since = confirmedAt.getOrPut(vm) { now }
            val arrived = workers[vm]?.profile?.let { it.service == move.to && it.life.bornMs > move.bornMs } ?: false
            // A VM that is switched off reports nothing.
            val isOver = arrived || move.to == spare || now - since > LONGEST_MOVE
            if (isOver) decision.records.add(Record.MoveEnded(vm))
            if (move.to ==
                spare
            ) {
                spares = spares.filterNot { it.vm == vm } + ListedVm(vm, move.to.value, VmCondition.UP, null)
            }
        }
    }

    private fun repeatOrders(now: MonotonicTime, decision: PoolDecision) {
        for ((vm, move) in state.moves) {
            val isDue = orderedAt[vm]?.let { now - it > ORDER_RETRY } ?: true
            if (!move.isConfirmed && isDue) decision.orders.add(vm to move.to)
        }
    }

    private fun noteIdle(now: MonotonicTime) {
        val idle = state.workers.values
            .filter { it.profile.vm != null && !it.isLeaving && state.claimsAt(it.profile.life).isEmpty() }
            .mapNotNull { it.profile.vm }
            .toSet()
        idleSince.keys.retainAll(idle)
        idle.forEach { idleSince.getOrPut(it) { now } }
    }

    private fun borrow(now: MonotonicTime, decision: PoolDecision) {
        val pools = state.workers.values.groupBy { it.profile.service }.mapValues { (_, it) -> Pool(it) }
        val wasEmptying = HashMap(emptying)
        emptying.clear()
        keepFloors(pools, now, decision)
        for ((service, shortage) in shortages.entries.sortedByDescending { it.value.need.millicores }) {
            if (now - shortage.since < SHORTAGE_LASTS) continue
            val wanted = wantedFor(service, shortage.need)
            val left = wanted - borrowSpares(service, wanted, now, decision)
            if (left > 0) lend(service, left, pools, wasEmptying, now, decision)
        }
    }

    /** Borrows for services that have fewer VMs than their lasting tasks need to be spread. */
    private fun keepFloors(pools: Map<ServiceId, Pool>, now: MonotonicTime, decision: PoolDecision) {
        for ((service, pool) in pools) {
            val missing = pool.floor - pool.size - state.moves.values.count { it.to == service }
            if (missing <= 0) continue
            val left = missing - borrowSpares(service, missing, now, decision)
            if (left > 0) lend(service, left, pools, emptyMap(), now, decision)
        }
    }

    /**
     * Lends up to [wanted] VMs of services that can do without them: those that run nothing at once, and others once
     * they are empty, until when they get no new tasks.
     */
    private fun lend(
        service: ServiceId,
        wanted: Int,
        pools: Map<ServiceId, Pool>,
        wasEmptying: Map<VmId, MonotonicTime>,
        now: MonotonicTime,
        decision: PoolDecision,
    ) {
        var left = wanted
        val donors = pools.filterKeys { it != service && it !in shortages }.values
        for (pool in donors) {
            for (worker in pool.idleFirst) {
                val vm = worker.profile.vm ?: continue
                val isFree = vm !in state.moves && vm !in emptying && isAllowed(vm, now) && !decision.begins(vm)
                if (left == 0 || pool.surplus <= 0 || !isFree || worker.isLeaving) continue
                val idle = idleSince[vm]
                when {
                    idle != null && (vm in wasEmptying || now - idle > DONOR_IDLE) -> {
                        decision.begin(vm, worker.profile.service, service, worker.profile.life.bornMs)
                    }
                    idle != null || !canEmpty(worker) -> continue
                    else -> emptying[vm] = wasEmptying[vm] ?: now
                }
                pool.size -= 1
                left -= 1
            }
        }
    }

    /** Whether what runs there ends by itself soon. */
    private fun canEmpty(worker: Worker): Boolean =
        state.claimsAt(worker.profile.life).values.none { it.lasting || it.gang }

    /**
     * Stops what runs on VMs that are emptied, where it can go on from its saved state on other VMs of the service.
     *
     * A VM is left alone if one of its runs would hold it up anyway, or if what is left of the runs is not worth the
     * work that is lost with a stop.
     */
    private fun evacuate(remaining: (RunId, WorkerLife) -> Duration, decision: PoolDecision) {
        if (emptying.isEmpty()) return
        val rooms = RoomLedger(state) { it.profile.vm !in emptying && it.profile.vm !in state.moves && !it.isLeaving }
        for (worker in state.workers.values.filter { it.profile.vm in emptying }) {
            val life = worker.profile.life
            val claims = state.claimsAt(life)
            val (short, long) = claims.keys.partition { remaining(it, life) < WORTH_MOVING }
            val canMove = long.isNotEmpty() && short.size <= long.size && long.all { claims.getValue(it).savesProgress }
            if (!canMove) continue
            val targets = long.map { run ->
                val step = claims.getValue(run)
                val room = rooms.of(worker.profile.service).firstOrNull { it.fits(run.task.step, step) }
                room?.take(run.task.step, step)
                room
            }
            if (targets.all { it != null }) long.forEach { decision.evacuations.add(it to life) }
        }
    }

    /** VMs of one service and what they have to do. */
    private inner class Pool(workers: List<Worker>) {
        private val load = workers.sumOf(::loadOf)
        private val capacity = workers.maxOf { it.profile.capacity.millicores }
        var size = workers.size

        /** Least number of VMs on which no VM runs more lasting tasks of a step than the step may miss. */
        val floor = workers.flatMap { state.claimsAt(it.profile.life).entries }
            .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
            .distinctBy { it.key.task.step }
            .maxOfOrNull { (_, step) -> (step.count + step.mayMiss - 1) / step.mayMiss } ?: 0
        val idleFirst = workers.sortedBy(::loadOf)

        /** VMs that the service can do without. */
        val surplus: Int
            get() {
                val needed = if (capacity == 0L) size else (load * (1 + HEADROOM) / capacity).toInt() + 1
                return size - maxOf(needed, floor, LEAST_POOL)
            }
    }

    private fun loadOf(worker: Worker): Long =
        state.claimsAt(worker.profile.life).values.sumOf { it.reserved.millicores }

    /** Number of VMs that the service needs beyond those that are on their way. */
    private fun wantedFor(service: ServiceId, need: Unplaced): Int {
        val size = typicalCapacity(service) ?: return 0
        val headroom = (loadOf(service) * HEADROOM).toLong()
        val byWork = (need.millicores + headroom + size - 1) / size
        return maxOf(byWork.toInt(), need.workers) - state.moves.values.count { it.to == service }
    }

    private fun borrowSpares(service: ServiceId, wanted: Int, now: MonotonicTime, decision: PoolDecision): Int {
        val spare = spareService() ?: return 0
        val free = spares.filter { it.vm !in state.moves && isAllowed(it.vm, now) && !decision.begins(it.vm) }
        val taken = free.take(maxOf(0, wanted))
        taken.forEach { decision.begin(it.vm, spare, service, bornMs = 0) }
        spares = spares - taken.toSet()
        return taken.size
    }

    private fun giveBack(now: MonotonicTime, decision: PoolDecision) {
        for ((vm, home) in state.homes) {
            val worker = state.workers.values.firstOrNull { it.profile.vm == vm } ?: continue
            val service = worker.profile.service
            val idle = idleSince[vm] ?: continue
            val stays = vm in state.moves || decision.begins(vm) || service == home || service in shortages
            val patience = if (home in shortages) DONOR_IDLE else RETURN_IDLE
            if (stays || now - idle < patience || !isAllowed(vm, now)) continue
            decision.begin(vm, service, home, worker.profile.life.bornMs)
        }
    }

    private fun loadOf(service: ServiceId): Long = state.workers.values
        .filter { it.profile.service == service }
        .sumOf(::loadOf)

    private fun spareService(): ServiceId? = state.catalog?.services?.firstOrNull { it.spare }?.service

    private fun typicalCapacity(service: ServiceId): Long? {
        val known = state.workers.values.filter { it.profile.service == service }.ifEmpty { state.workers.values }
        return known.maxOfOrNull { it.profile.capacity.millicores }?.takeIf { it > 0 }
    }

    private fun isAllowed(vm: VmId, now: MonotonicTime): Boolean = refusedUntil[vm]?.let { now >= it } ?: true

    private class Shortage(val since: MonotonicTime) {
        var need = Unplaced()
    }

    private companion object {
        /** Time after the start at which the platform knows all VMs. */
        val LIST_DELAY: Duration = 1.seconds
        val LIST_INTERVAL: Duration = 10.seconds

        /** Longer than a task takes to be placed after another has ended, and short against a move. */
        val SHORTAGE_LASTS: Duration = 50.milliseconds
        /** Longer than a step of a job takes to begin after the one before it. */
        val DONOR_IDLE: Duration = 200.milliseconds

        /** A few times the time of a move, so that a VM is not sent to and fro. */
        val RETURN_IDLE: Duration = 3.seconds
        val REFUSAL_PAUSE: Duration = 3.seconds

        /** A few times what a run loses with a stop: half the usual interval of saving, the order and the restore. */
        val WORTH_MOVING: Duration = 900.milliseconds

        /** Several times a move; a VM that has not come by then was lost on its way. */
        val LONGEST_MOVE: Duration = 10.seconds
        val ORDER_RETRY: Duration = 2.seconds

        /** Share of the load in progress by which a queue that is short of room is likely to grow during a move. */
        const val HEADROOM = 0.2

        /** A pool keeps this many VMs for what comes next. */
        const val LEAST_POOL = 2
    }
}

/** What a [PoolControl] decided: records to commit, moves to order again, and runs to stop for loans. */
internal class PoolDecision {
    val records = ArrayList<Record>()
    val orders = ArrayList<Pair<VmId, ServiceId>>()
    val evacuations = ArrayList<Pair<RunId, WorkerLife>>()
    private val begun = HashSet<VmId>()

    fun begins(vm: VmId?): Boolean = vm in begun

    fun begin(vm: VmId, from: ServiceId, to: ServiceId, bornMs: Long) {
        begun.add(vm)
        records.add(Record.MoveBegun(vm, from, to, bornMs))
    }
}

/**
 * Waiting tasks of one service that no worker has room for.
 *
 * @property millicores processor time that they ask for.
 * @property workers most workers that one step needs, because of its bound for each.
 */
internal class Unplaced(val millicores: Long = 0, val workers: Int = 0) {
    operator fun plus(other: Unplaced): Unplaced =
        Unplaced(millicores + other.millicores, maxOf(workers, other.workers))
}
