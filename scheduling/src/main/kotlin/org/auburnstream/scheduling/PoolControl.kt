package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Moves VMs between the pools of services: lends them to services with too little capacity and returns them later.
 *
 * Handles queues whose demand rises in turn to several times its mean. A service that cannot start its waiting tasks
 * borrows VMs that are switched off, then VMs of other services that have no waiting tasks and need fewer VMs for
 * their running ones. Of these services, the VMs with the least load get no new tasks and move once they are empty;
 * otherwise tasks that are spread over all VMs would keep every VM from becoming empty. A borrowed VM is returned once
 * it has been idle for a while. Hysteresis prevents moves for small changes: a shortage must last, and a VM stays for
 * a few times the duration of its move.
 *
 * @property isAbsent whether a worker shuts down or may be lost; its VM can neither be lent nor serve its pool.
 */
internal class PoolControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val startedAt: MonotonicTime,
    private val orderGuard: StaleOrderGuard,
    private val isAbsent: (Worker, MonotonicTime) -> Boolean,
) {
    private val shortages = HashMap<ServiceId, Shortage>()
    private val idleSince = HashMap<VmId, MonotonicTime>()
    private val orderedAt = HashMap<VmId, MonotonicTime>()
    private val refusedUntil = HashMap<VmId, MonotonicTime>()
    private val confirmedAt = HashMap<VmId, MonotonicTime>()
    private val draining = HashSet<VmId>()

    /** VMs for which the record of an answer is not committed yet; until then the state shows their order as open. */
    private val unrecorded = HashSet<VmId>()
    private val trends = HashMap<ServiceId, DemandTrend>()
    private var spares: List<SpareVm> = emptyList()
    private var listedAt: MonotonicTime? = null
    private var isListed = false

    /** Capacities of the VMs that are switched off, or null if they are not known yet. */
    val spareCapacities: List<Resources>?
        get() = if (isListed || spareService() == null) spares.map { it.listed.capacity } else null

    /** Whether [worker] must get no new tasks because its VM is being moved or drained for a move. */
    fun isCordoned(worker: WorkerProfile): Boolean = worker.vm in state.moves || worker.vm in draining

    /** Whether a list of the VMs that are switched off is needed. */
    fun needsList(now: MonotonicTime): Boolean {
        if (spareService() == null || now - startedAt < LIST_DELAY) return false
        val last = listedAt ?: return true
        return shortages.isNotEmpty() && now - last > LIST_INTERVAL
    }

    fun listRequested(now: MonotonicTime) {
        listedAt = now
    }

    /**
     * Handles the platform's list of VMs.
     *
     * A spare VM that is missing from a list that is not whole may still exist; an order for it shows whether it does.
     */
    fun vmsListed(listing: VmListing) {
        val spare = spareService() ?: return
        // VMs that could not be read cannot be borrowed either.
        isListed = isListed || listing.isRead
        val listed = listing.vms.associateBy { it.vm }
        val kept = spares.filter { it.asOf > listing.requestedAt || (!listing.isWhole && it.vm !in listed) }
        val newer = kept.mapTo(HashSet()) { it.vm }
        spares = kept + listed.values
            .filter { it.pool == spare.value && it.state != VmCondition.MOVING && it.vm !in newer }
            .map { SpareVm(it, listing.requestedAt) }
    }

    /** Updates the shortages from the demand that the latest plan could not place, by service. */
    fun updateShortages(unplaced: Map<ServiceId, UnplacedDemand>, now: MonotonicTime) {
        shortages.keys.retainAll(unplaced.keys)
        unplaced.forEach { (service, need) -> shortages.getOrPut(service) { Shortage(now) }.need = need }
    }

    /**
     * Returns the moves to begin, to end and to order again, and the runs to stop for them.
     *
     * @param remaining estimates the time until a run ends by itself.
     */
    fun decide(now: MonotonicTime, remaining: (RunId, WorkerIncarnation) -> Duration): PoolDecision {
        val decision = PoolDecision()
        endFinishedMoves(now, decision)
        confirmedAt.keys.retainAll(state.moves.keys)
        repeatOrders(now, decision)
        trackIdleVms(now)
        borrow(now, decision, remaining)
        returnBorrowed(now, decision)
        evacuate(remaining, decision)
        return decision
    }

    fun orderSent(vm: VmId, now: MonotonicTime) {
        orderedAt[vm] = now
    }

    /**
     * Returns the record that follows from the platform's [answer], or null.
     *
     * The caller reports with [recordResolved] when the record is applied or rejected.
     */
    fun orderAnswered(vm: VmId, answer: VmOrderResult, isFirst: Boolean, now: MonotonicTime): Record? {
        val record = when (answer) {
            VmOrderResult.BEGUN -> Record.MoveConfirmed(vm)
            VmOrderResult.UNKNOWN_VM, VmOrderResult.NOT_IN_WAVE -> refuse(vm, now)
            // An unanswered copy may have started the move. The answer to a resent order shows when it is over.
            VmOrderResult.BUSY -> if (isFirst) refuse(vm, now) else null
            VmOrderResult.FENCED, VmOrderResult.UNCERTAIN -> null
        }
        return record?.also { unrecorded.add(vm) }
    }

    /** Handles that [record] was applied or rejected. */
    fun recordResolved(record: Record) {
        when (record) {
            is Record.MoveConfirmed -> unrecorded.remove(record.vm)
            is Record.MoveRefused -> unrecorded.remove(record.vm)
            else -> Unit
        }
    }

    private fun refuse(vm: VmId, now: MonotonicTime): Record {
        refusedUntil[vm] = now + REFUSAL_PAUSE
        spares = spares.filterNot { it.vm == vm }
        return Record.MoveRefused(vm)
    }

    private fun endFinishedMoves(now: MonotonicTime, decision: PoolDecision) {
        val workers = state.workers.values.associateBy { it.profile.vm }
        val spare = spareService()
        for ((vm, move) in state.moves) {
            if (!move.isConfirmed) continue
            val since = confirmedAt.getOrPut(vm) { now }
            val hasArrived = workers[vm]?.profile
                ?.let { it.service == move.to && it.incarnation.startedMs > move.workerStartedMs } ?: false
            // A VM that is switched off sends no reports, so its arrival cannot be observed.
            val isOver = hasArrived || move.to == spare || now - since > MAX_MOVE_TIME
            if (isOver) decision.records.add(Record.MoveEnded(vm))
            if (move.to == spare) {
                spares = spares.filterNot { it.vm == vm } +
                    SpareVm(ListedVm(vm, move.to.value, VmCondition.UP, worker = null), asOf = now)
            }
        }
    }

    private fun repeatOrders(now: MonotonicTime, decision: PoolDecision) {
        for ((vm, move) in state.moves) {
            val isDue = orderedAt[vm]?.let { now - it > ORDER_RETRY_INTERVAL } ?: true
            val isOpen = !move.isConfirmed && vm !in unrecorded
            if (isOpen && isDue && orderGuard.isOrderAllowed(vm, now)) decision.orders.add(vm to move.to)
        }
    }

    private fun trackIdleVms(now: MonotonicTime) {
        val idle = state.workers.values
            .filter { it.profile.vm != null && state.claimsAt(it.profile.incarnation).isEmpty() && !isAbsent(it, now) }
            .mapNotNull { it.profile.vm }
            .toSet()
        idleSince.keys.retainAll(idle)
        idle.forEach { idleSince.getOrPut(it) { now } }
    }

    private fun borrow(now: MonotonicTime, decision: PoolDecision, remaining: (RunId, WorkerIncarnation) -> Duration) {
        val pools = pools(now)
        val wasDraining = HashSet(draining)
        draining.clear()
        val needs = ArrayList<VmNeed>()
        for ((service, pool) in pools) {
            val incoming = state.moves.count { (vm, move) -> move.to == service && isComing(vm, now) }
            val trend = trends.getOrPut(service) { DemandTrend() }
            trend.observe(pool.load + (shortages[service]?.need?.millicores ?: 0), now)
            val lasting = lastingShortageOf(service, pool, now)
            val missing = maxOf(missingFor(service, pool, trend, now), lasting, pool.minSize - pool.size) - incoming
            val forLasting = lasting - incoming
            if (missing > 0) needs.add(VmNeed(service, missing, forLasting.coerceIn(0, missing)))
        }
        for (service in shortages.keys.filter { it !in pools }) {
            val demand = unplacedDemandOf(service, now) ?: continue
            needs.add(VmNeed(service, vms = 1, forLasting = minOf(1, demand.lastingWorkers)))
        }
        val pass = Pass(now, decision, wasDraining, needs.map { it.service }.toSet(), remaining)
        for (loan in needs.inOrderOfLoans()) {
            val stillMissing = loan.vms - borrowSpares(loan.service, loan.vms, now, decision)
            if (stillMissing > 0) lend(loan, stillMissing, pools.values, pass)
        }
    }

    /** Whether a VM that moves is still expected to arrive; it may be lost on its way. */
    private fun isComing(vm: VmId, now: MonotonicTime): Boolean =
        confirmedAt[vm]?.let { now - it <= settings.moveTime * MAX_MOVE_DELAY } ?: true

    /** Number of additional VMs that the service is expected to need by the time a move started now is over. */
    private fun missingFor(service: ServiceId, pool: ServicePool, trend: DemandTrend, now: MonotonicTime): Int {
        val expectedGrowth = maxOf((pool.load * ServicePool.HEADROOM).toLong(), trend.growth(settings.moveTime))
        val demand = unplacedDemandOf(service, now)
        val missingMillicores = if (demand != null && demand.millicores > 0) {
            demand.millicores + expectedGrowth
        } else {
            pool.load + expectedGrowth - pool.capacity
        }
        return maxOf(pool.vmsFor(missingMillicores), demand?.workers ?: 0)
    }

    /** Number of additional VMs that the lasting tasks of the service need now. */
    private fun lastingShortageOf(service: ServiceId, pool: ServicePool, now: MonotonicTime): Int {
        val demand = unplacedDemandOf(service, now) ?: return 0
        return maxOf(pool.vmsFor(demand.lastingMillicores), demand.lastingWorkers)
    }

    /** Returns the demand that the service has been unable to place for [MIN_SHORTAGE_TIME], or null. */
    private fun unplacedDemandOf(service: ServiceId, now: MonotonicTime): UnplacedDemand? =
        shortages[service]?.takeIf { now - it.since >= MIN_SHORTAGE_TIME }?.need

    /**
     * Lends up to [count] VMs from services that can spare them.
     *
     * Idle VMs move at once; the others are drained, which means that they get no new tasks, and move once empty.
     */
    private fun lend(loan: Loan, count: Int, pools: Collection<ServicePool>, pass: Pass) {
        val candidates = pools.filter { it.service != loan.service }.flatMap { pool -> pool.workers.map { pool to it } }
        var stillNeeded = count
        val byDrainDelay =
            compareBy<Pair<ServicePool, Worker>>({ (_, it) -> drainDelayOf(it, pass) }, { (_, it) -> state.loadOf(it) })
        for ((pool, worker) in candidates.sortedWith(byDrainDelay)) {
            val vm = worker.profile.vm ?: continue
            if (stillNeeded == 0 || !canSpare(pool, vm, loan, pass) ||
                !isAvailableForMove(worker, vm, pass.decision, pass.now)
            ) {
                continue
            }
            val idle = idleSince[vm]
            when {
                idle != null && (vm in pass.wasDraining || pass.now - idle > DONOR_IDLE_TIME) ->
                    pass.decision.beginMove(vm, pool.service, loan.service, worker.profile.incarnation.startedMs)
                idle != null || !canDrain(worker) -> continue
                else -> draining.add(vm)
            }
            pool.size -= 1
            stillNeeded -= 1
        }
    }

    /**
     * Whether the pool can spare [vm] for the loan.
     *
     * Lasting tasks get back a VM that their own service has lent even if the borrower needs it.
     */
    private fun canSpare(pool: ServicePool, vm: VmId, loan: Loan, pass: Pass): Boolean {
        val isRecall = loan.isForLasting && state.homes[vm] == loan.service
        return isRecall || pool.service !in pass.needy && pool.surplus > 0
    }

    /**
     * Time for which runs that cannot resume elsewhere delay a move of the VM.
     *
     * Counted in multiples of [MIN_TIME_WORTH_MOVING], so that small differences are ignored.
     */
    private fun drainDelayOf(worker: Worker, pass: Pass): Long {
        val incarnation = worker.profile.incarnation
        val last = state.claimsAt(incarnation).filterValues {
            !it.savesProgress
        }.keys.maxOfOrNull { pass.remaining(it, incarnation) }
        return ((last ?: Duration.ZERO) / MIN_TIME_WORTH_MOVING).toLong()
    }

    private fun isAvailableForMove(worker: Worker, vm: VmId, decision: PoolDecision, now: MonotonicTime): Boolean {
        val isTaken = vm in state.moves || vm in draining || decision.hasMoveOf(vm)
        return !isTaken && !isAbsent(worker, now) && isAllowed(vm, now)
    }

    /** Whether all runs on [worker] are expected to end soon by themselves. */
    private fun canDrain(worker: Worker): Boolean =
        state.claimsAt(worker.profile.incarnation).values.none { it.lasting || it.gang }

    /**
     * Stops runs on draining VMs if they can resume from their saved state on other VMs of the service.
     *
     * Skips a VM if one of its runs would delay the move anyway, or if the remaining time of its runs is too short to
     * justify the work that a stop loses.
     */
    private fun evacuate(remaining: (RunId, WorkerIncarnation) -> Duration, decision: PoolDecision) {
        if (draining.isEmpty()) return
        val capacities = CapacityTracker(state) {
            it.profile.vm !in draining && it.profile.vm !in state.moves && !it.isLeaving
        }
        for (worker in state.workers.values.filter { it.profile.vm in draining }) {
            val incarnation = worker.profile.incarnation
            val claims = state.claimsAt(incarnation)
            val longRuns = claims.keys.filter { remaining(it, incarnation) >= MIN_TIME_WORTH_MOVING }
            if (longRuns.isEmpty() || !longRuns.all { claims.getValue(it).savesProgress }) continue
            val targets = longRuns.map { run ->
                val step = claims.getValue(run)
                val room = capacities.of(worker.profile.service).firstOrNull { it.fits(run.task.step, step) }
                room?.reserve(run.task.step, step)
                room
            }
            if (targets.all { it != null }) longRuns.forEach { decision.evacuations.add(it to incarnation) }
        }
    }

    private fun pools(now: MonotonicTime): Map<ServiceId, ServicePool> =
        state.workers.values.groupBy { it.profile.service }.mapValues { (service, workers) ->
            ServicePool(service, workers, state) { isAbsent(it, now) }
        }

    private fun borrowSpares(service: ServiceId, count: Int, now: MonotonicTime, decision: PoolDecision): Int {
        val spare = spareService() ?: return 0
        val free = spares.filter {
            val hasMoved = it.vm in state.moves || orderedAt[it.vm]?.let { at -> at >= it.asOf } ?: false
            !hasMoved && isAllowed(it.vm, now) && !decision.hasMoveOf(it.vm)
        }
        val taken = free.take(maxOf(0, count))
        taken.forEach { decision.beginMove(it.vm, spare, service, workerStartedMs = 0) }
        spares = spares - taken.toSet()
        return taken.size
    }

    private fun returnBorrowed(now: MonotonicTime, decision: PoolDecision) {
        val pools = pools(now)
        for ((vm, home) in state.homes) {
            val worker = state.workers.values.firstOrNull { it.profile.vm == vm } ?: continue
            val pool = pools[worker.profile.service]?.takeIf { it.service != home } ?: continue
            val requiredIdleTime = if (home in shortages) DONOR_IDLE_TIME else RETURN_IDLE_TIME
            val isIdle = idleSince[vm]?.let { now - it >= requiredIdleTime } ?: false
            val isNeeded = pool.service in shortages || pool.surplus <= 0
            if (!isIdle || isNeeded || !isAvailableForMove(worker, vm, decision, now)) continue
            pool.size -= 1
            decision.beginMove(vm, pool.service, home, worker.profile.incarnation.startedMs)
        }
    }

    private fun spareService(): ServiceId? = state.catalog?.services?.firstOrNull { it.spare }?.service

    private fun isAllowed(vm: VmId, now: MonotonicTime): Boolean =
        orderGuard.isOrderAllowed(vm, now) && refusedUntil[vm]?.let { now >= it } ?: true

    private class Pass(
        val now: MonotonicTime,
        val decision: PoolDecision,
        val wasDraining: Set<VmId>,
        val needy: Set<ServiceId>,
        val remaining: (RunId, WorkerIncarnation) -> Duration,
    )

    /** A VM that is switched off; [asOf] is a time since which it was [listed] so or moved there. */
    private class SpareVm(val listed: ListedVm, val asOf: MonotonicTime) {
        val vm: VmId
            get() = listed.vm
    }

    private class Shortage(val since: MonotonicTime) {
        var need = UnplacedDemand()
    }

    private companion object {
        /** Time after the start by which the platform knows all VMs. */
        val LIST_DELAY: Duration = 1.seconds
        val LIST_INTERVAL: Duration = 10.seconds

        /** Longer than placing a task takes after another has ended, and short compared with a move. */
        val MIN_SHORTAGE_TIME: Duration = 50.milliseconds

        /** Longer than the pause between two steps of a job. */
        val DONOR_IDLE_TIME: Duration = 200.milliseconds

        /** A few times the duration of a move, so that a VM is not moved back and forth. */
        val RETURN_IDLE_TIME: Duration = 3.seconds
        val REFUSAL_PAUSE: Duration = 3.seconds

        /**
         * Shortest remaining time of a run for which a stop is worthwhile.
         *
         * It is a few times the time that a stop costs: half the usual interval between saves, the order and the
         * restore.
         */
        val MIN_TIME_WORTH_MOVING: Duration = 900.milliseconds

        /** Factor by which a move may take longer than expected before another VM is sought. */
        const val MAX_MOVE_DELAY = 1.5

        /** Several times the duration of a move; a VM that has not arrived by then counts as lost. */
        val MAX_MOVE_TIME: Duration = 10.seconds
        val ORDER_RETRY_INTERVAL: Duration = 2.seconds
    }
}

/** Result of [PoolControl.decide]: records to commit, moves to order again, and runs to stop for loans. */
internal class PoolDecision {
    val records = ArrayList<Record>()
    val orders = ArrayList<Pair<VmId, ServiceId>>()
    val evacuations = ArrayList<Pair<RunId, WorkerIncarnation>>()
    private val begun = HashSet<VmId>()

    fun hasMoveOf(vm: VmId?): Boolean = vm in begun

    fun beginMove(vm: VmId, from: ServiceId, to: ServiceId, workerStartedMs: Long) {
        begun.add(vm)
        records.add(Record.MoveBegun(vm, from, to, workerStartedMs))
    }
}

/**
 * Number of VMs that a service lacks.
 *
 * @property vms all VMs that it lacks.
 * @property forLasting number of these VMs that its lasting tasks need.
 */
internal class VmNeed(val service: ServiceId, val vms: Int, val forLasting: Int)

/**
 * Number of VMs to move to a service.
 *
 * @property isForLasting whether its lasting tasks need them.
 */
internal class Loan(val service: ServiceId, val vms: Int, val isForLasting: Boolean)

/**
 * Returns the loans that meet these needs, in the order in which they are served.
 *
 * Lasting tasks precede the others, because they must not stay down while a queue in its turn takes every VM. The
 * remaining needs follow, largest first.
 */
internal fun List<VmNeed>.inOrderOfLoans(): List<Loan> {
    val lasting = sortedByDescending { it.forLasting }.map { Loan(it.service, it.forLasting, isForLasting = true) }
    val others = sortedByDescending { it.vms }.map { Loan(it.service, it.vms - it.forLasting, isForLasting = false) }
    return (lasting + others).filter { it.vms > 0 }
}

/**
 * Demand of one service's waiting tasks that no worker has capacity for.
 *
 * @property millicores processor time that the tasks require.
 * @property workers largest number of workers that one step needs because of its limit of tasks per worker.
 * @property lastingMillicores processor time that the lasting tasks among them require, without those that fit once
 *   evicted runs have stopped, and that displaced tasks will require.
 * @property lastingWorkers smallest number of workers that these lasting tasks need.
 */
internal class UnplacedDemand(
    val millicores: Long = 0,
    val workers: Int = 0,
    val lastingMillicores: Long = 0,
    val lastingWorkers: Int = 0,
) {
    operator fun plus(other: UnplacedDemand): UnplacedDemand = UnplacedDemand(
        millicores = millicores + other.millicores,
        workers = maxOf(workers, other.workers),
        lastingMillicores = lastingMillicores + other.lastingMillicores,
        lastingWorkers = maxOf(lastingWorkers, other.lastingWorkers),
    )
}
