package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Schedules the maintenance of the VMs in maintenance waves and tracks the orders to the platform until they are over.
 *
 * Keeps the wave's cap on VMs in maintenance and the [DisruptionBudget] of lasting steps. A VM is drained first: it
 * gets no new tasks, and its maintenance is ordered once no tasks run on it that would be lost, or once the time that
 * the wave allows for draining is used up.
 */
internal class WaveControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val startedAt: MonotonicTime,
    private val orderGuard: StaleOrderGuard,
) {
    private val draining = HashMap<VmId, MonotonicTime>()
    private val sentOrders = HashMap<VmId, SentOrder>()

    /** When the order for a VM may be sent again after a refusal. */
    private val refusedUntil = HashMap<VmId, MonotonicTime>()

    /** When the platform was last asked whether it still knows a VM whose maintenance is overdue. */
    private val checkedAt = HashMap<VmId, MonotonicTime>()
    private val missingVms = MissingVms()

    /**
     * VMs for which a record of an order's answer or of the end of the maintenance is not committed yet.
     *
     * Until the commit the state shows their order as open.
     */
    private val unrecorded = HashSet<VmId>()

    /** VMs whose order is not resent now, because it would make more tasks unavailable than their step allows. */
    private val withheld = HashSet<VmId>()
    private var listedAt: MonotonicTime? = null

    /** Whether a list of the VMs is needed to learn which are back from an overdue maintenance, or have left. */
    fun needsList(now: MonotonicTime): Boolean {
        val isStale = listedAt?.let { now - it > LIST_INTERVAL } ?: true
        return isStale && state.waves.values.any { wave ->
            wave.inMaintenance().any { isOverdue(it, now) } ||
                (!wave.isComplete && wave.vms.any { it !in wave.ended && missingVms.isSuspect(it) })
        }
    }

    /** VMs of which the platform has confirmed that their maintenance has begun, and that are not known to be back. */
    private fun Wave.inMaintenance(): List<VmId> = if (isComplete) emptyList() else confirmed.filter { it !in ended }

    /** Whether [worker] must get no new tasks because its VM is being drained or in maintenance. */
    fun isCordoned(worker: WorkerProfile): Boolean {
        val vm = worker.vm ?: return false
        return vm in draining || (vm in sentOrders && vm !in withheld)
    }

    /** Whether any wave is in progress. */
    val hasActiveWave: Boolean
        get() = state.waves.values.any { !it.isComplete }

    fun listRequested(now: MonotonicTime) {
        listedAt = now
    }

    /**
     * Returns the records, orders and evacuations that are due.
     *
     * @param disruptionBudget decides which lasting tasks may end now.
     */
    fun decide(now: MonotonicTime, nowMs: Long, disruptionBudget: DisruptionBudget): WaveDecision {
        val orders = ArrayList<Pair<Long, VmId>>()
        val workers = state.workers.values.filter { it.profile.vm != null }.associateBy { it.profile.vm }
        val checks = ArrayList<Pair<Long, VmId>>()
        val pass = Pass(now, nowMs, workers, disruptionBudget)
        withheld.clear()
        state.waves.values.forEach { wave ->
            vmsGoingDown(wave, now).mapNotNullTo(pass.disrupted) { incarnationOn(it, pass) }
        }
        for (wave in state.waves.values) {
            if (wave.isComplete) continue
            for (vm in wave.begun.keys.filter { it !in wave.ended }) {
                val startedMs = workerStartedMsOf(workers[vm])
                val isConfirmed = vm in wave.confirmed
                if (isConfirmed && startedMs > wave.begun.getValue(vm) && isMaintenanceTimeOver(vm, now)) {
                    pass.records.add(Record.UpkeepEnded(wave.number, vm, UpkeepEnd.WORKER_RETURNED))
                    sentOrders.remove(vm)
                } else if (isConfirmed && isCheckDue(vm, now)) {
                    checkedAt[vm] = now
                    checks.add(wave.number to vm)
                } else if (!isConfirmed && mayResend(vm, now) && mayTakeDown(vm, workers[vm], pass)) {
                    orders.add(wave.number to vm)
                }
            }
            startMaintenance(wave, pass)
        }
        // VMs that are no longer selected for draining accept tasks again.
        draining.keys.retainAll(pass.stillDraining)
        return WaveDecision(pass.records, orders, checks, pass.evacuations)
    }

    fun orderSent(vm: VmId, now: MonotonicTime, isFresh: Boolean) {
        val isRepeat = vm in sentOrders
        val order = sentOrders.getOrPut(vm) { SentOrder(now) }
        order.sentAt = now
        // If this leader did not send the first copy of the order, an earlier copy may have reached the platform.
        if (isRepeat || !isFresh) order.wasUncertain = true
    }

    /**
     * Returns the record that follows from the platform's [answer], or null.
     *
     * The caller reports with [recordResolved] when the record is applied or rejected.
     */
    fun orderAnswered(wave: Long, vm: VmId, answer: VmOrderResult, now: MonotonicTime): Record? =
        recordOf(wave, vm, answer, now)?.also { unrecorded.add(vm) }

    /** Handles that [record] was applied or rejected. */
    fun recordResolved(record: Record) {
        when (record) {
            is Record.UpkeepConfirmed -> unrecorded.remove(record.vm)
            is Record.UpkeepRefused -> unrecorded.remove(record.vm)
            is Record.UpkeepEnded -> unrecorded.remove(record.vm)
            else -> Unit
        }
    }

    private fun recordOf(wave: Long, vm: VmId, answer: VmOrderResult, now: MonotonicTime): Record? {
        if (vm in state.waves[wave]?.ended.orEmpty()) return null
        val hasBegun = vm in state.waves[wave]?.confirmed.orEmpty()
        val order = sentOrders[vm]
        return when (answer) {
            VmOrderResult.UNKNOWN_VM -> ended(wave, vm, UpkeepEnd.UNKNOWN_VM)
            VmOrderResult.NOT_IN_WAVE -> ended(wave, vm, UpkeepEnd.NOT_IN_WAVE)
            VmOrderResult.BEGUN -> {
                missingVms.seen(vm)
                if (hasBegun) return null
                order?.sentAt = now
                Record.UpkeepConfirmed(wave, vm)
            }
            VmOrderResult.BUSY -> refused(wave, vm, hasBegun, now)
            VmOrderResult.FENCED, VmOrderResult.UNCERTAIN -> {
                order?.wasUncertain = true
                null
            }
        }
    }

    private fun refused(wave: Long, vm: VmId, hasBegun: Boolean, now: MonotonicTime): Record? {
        val order = sentOrders[vm]
        val sentAt = if (hasBegun) checkedAt[vm] else order?.sentAt
        if (sentAt != null && missingVms.isGone(vm, sentAt)) return ended(wave, vm, UpkeepEnd.NOT_LISTED)
        missingVms.refused(vm, now)
        if (hasBegun) return null
        // An earlier copy, or an earlier leader's order, may have started the maintenance. The answer to a resent order
        // shows when it is over.
        val mayHaveBegun = order == null || order.wasUncertain
        if (mayHaveBegun) {
            order?.sentAt = now
            return null
        }
        sentOrders.remove(vm)
        refusedUntil[vm] = now + REFUSAL_PAUSE
        return Record.UpkeepRefused(wave, vm)
    }

    /** Handles a report of the worker on [vm]. */
    fun vmReported(vm: VmId) = missingVms.seen(vm)

    private fun ended(wave: Long, vm: VmId, cause: UpkeepEnd): Record {
        sentOrders.remove(vm)
        return Record.UpkeepEnded(wave, vm, cause)
    }

    /**
     * Returns the records that follow from the platform's list.
     *
     * A list that was requested before the maintenance was over may show the VM as it was before.
     */
    fun vmsListed(listing: VmListing, now: MonotonicTime): List<Record> {
        missingVms.listed(listing, now)
        val up = listing.vms.mapNotNullTo(HashSet()) { entry -> entry.vm.takeIf { entry.state == VmCondition.UP } }
        return state.waves.values.flatMap { wave ->
            wave.inMaintenance().filter { it in up && it !in unrecorded && isOverdue(it, listing.requestedAt) }
                .onEach(unrecorded::add)
                .map { ended(wave.number, it, UpkeepEnd.LISTED_UP) }
        }
    }

    private fun startMaintenance(wave: Wave, pass: Pass) {
        var freeSlots = wave.cap - wave.begun.keys.count { it !in wave.ended }
        val remaining = wave.vms.filter { mayStart(wave, it, pass.now) }
        if (freeSlots <= 0 || remaining.isEmpty()) return
        val drainTimeLimit = drainTimeLimit(wave, remaining.size, pass.nowMs)
        // VMs that were ordered may still report running tasks; the tasks count as unavailable from the order on.
        val leaving = state.waves.values.flatMap { it.begun.keys - it.ended }
        leaving.mapNotNullTo(pass.disrupted) { incarnationOn(it, pass) }
        val order = remaining.sortedWith(
            compareBy({ it !in draining }, { vm ->
                pass.workers[vm]?.let(::loadToMove)
                    ?: 0L
            }),
        )
        for (vm in order) {
            if (freeSlots == 0) break
            val worker = pass.workers[vm]
            if (worker != null && !pass.disruptionBudget.canDisrupt(worker, pass.planned)) {
                if (evacuate(vm, worker, pass)) freeSlots -= 1
                continue
            }
            freeSlots -= 1
            val since = draining.getOrPut(vm) { pass.now }
            if (worker != null && !isEmpty(worker) && pass.now - since < drainTimeLimit) {
                pass.stillDraining.add(vm)
            } else {
                worker?.let { pass.disrupted.add(it.profile.incarnation) }
                pass.records.add(Record.UpkeepBegun(wave.number, vm, workerStartedMsOf(worker)))
            }
        }
    }

    /**
     * Evacuates lasting tasks of a VM that runs more tasks of one step than may be unavailable at a time.
     *
     * The VM gets no new tasks, and its tasks are stopped one by one so that they start on other VMs, until the
     * remaining ones may end together. Returns whether the VM is being evacuated.
     */
    private fun evacuate(vm: VmId, worker: Worker, pass: Pass): Boolean {
        if (!pass.disruptionBudget.exceedsDisruptionLimit(worker)) return false
        val run = pass.disruptionBudget.findEvacuableRun(worker, pass.planned) {
            !isCordoned(it.profile) && it.profile.vm != vm
        }
        if (run == null && vm !in draining) return false
        val since = draining.getOrPut(vm) { pass.now }
        if (pass.now - since > MAX_EVACUATION_TIME) return false
        pass.stillDraining.add(vm)
        if (run != null) pass.evacuations[run] = worker.profile.incarnation
        return true
    }

    private fun workerStartedMsOf(worker: Worker?): Long = worker?.profile?.incarnation?.startedMs ?: 0

    private fun mayStart(wave: Wave, vm: VmId, now: MonotonicTime): Boolean {
        val isUnderway = vm in wave.begun || vm in wave.ended || vm in state.moves
        return !isUnderway && isAllowed(vm, now)
    }

    /** Time that may be spent on draining each remaining VM so that the wave ends in time. */
    private fun drainTimeLimit(wave: Wave, remaining: Int, nowMs: Long): Duration {
        val rounds = (remaining + wave.cap - 1) / maxOf(1, wave.cap)
        val timePerVm = (wave.dueMs - nowMs).milliseconds / maxOf(1, rounds) - settings.upkeepTime - ORDER_LATENCY
        return timePerVm.coerceIn(Duration.ZERO, MAX_DRAIN_TIME)
    }

    /** Processor time in millicores of the runs that would be lost or would have to start on another worker. */
    private fun loadToMove(worker: Worker): Long = state.claimsAt(worker.profile.incarnation).values.sumOf { step ->
        if (step.fillsUnused) 0L else step.demand.millicores
    }

    private fun isEmpty(worker: Worker): Boolean = state.claimsAt(worker.profile.incarnation).values.all { it.lasting }

    private fun isAllowed(vm: VmId, now: MonotonicTime): Boolean =
        orderGuard.isOrderAllowed(vm, now) && refusedUntil[vm]?.let { now >= it } ?: true

    /**
     * Whether to repeat the order for [vm], whose maintenance has begun and is overdue, because the VM may be gone.
     *
     * The platform answers that the maintenance is done, unless the VM is down or gone.
     */
    private fun isCheckDue(vm: VmId, now: MonotonicTime): Boolean {
        val isDue = checkedAt[vm]?.let { now - it > CHECK_INTERVAL } ?: true
        return isDue && isOverdue(vm, now) && vm !in unrecorded && orderGuard.isOrderAllowed(vm, now)
    }

    private fun mayResend(vm: VmId, now: MonotonicTime): Boolean {
        val isDue = sentOrders[vm]?.let { now - it.sentAt > ORDER_RETRY_INTERVAL } ?: true
        return isDue && vm !in unrecorded && orderGuard.isOrderAllowed(vm, now)
    }

    /**
     * Whether a confirmed maintenance is over, judged by the usual duration of a maintenance.
     *
     * A later worker incarnation on the VM alone does not prove it, because the worker may have restarted between the
     * record of its incarnation and the order.
     */
    private fun isMaintenanceTimeOver(vm: VmId, now: MonotonicTime): Boolean =
        now - (sentOrders[vm]?.sentAt ?: startedAt) >= settings.upkeepTime

    /** VMs of [wave] whose maintenance has begun, or may begin because an order is in transit. */
    private fun vmsGoingDown(wave: Wave, now: MonotonicTime): List<VmId> = wave.begun.keys.filter { vm ->
        val isInTransit = sentOrders[vm]?.let { now - it.sentAt <= MAX_ORDER_DELIVERY_TIME } ?: false
        vm !in wave.ended && (vm in wave.confirmed || isInTransit)
    }

    /**
     * Whether an unanswered order for [vm] may be resent although it ends the tasks on [worker].
     *
     * Other tasks may have become unavailable since the maintenance was decided.
     */
    private fun mayTakeDown(vm: VmId, worker: Worker?, pass: Pass): Boolean {
        if (worker == null) return true
        if (pass.disruptionBudget.canDisrupt(worker, pass.planned)) {
            pass.disrupted.add(worker.profile.incarnation)
            return true
        }
        withheld.add(vm)
        evacuate(vm, worker, pass)
        return false
    }

    private fun incarnationOn(vm: VmId, pass: Pass): WorkerIncarnation? = pass.workers[vm]?.profile?.incarnation

    /** Whether a maintenance of [vm] that the platform has confirmed must have been over for a while by [at]. */
    private fun isOverdue(vm: VmId, at: MonotonicTime): Boolean =
        at - (sentOrders[vm]?.sentAt ?: startedAt) > settings.upkeepTime + OVERDUE_MARGIN

    private class Pass(
        val now: MonotonicTime,
        val nowMs: Long,
        val workers: Map<VmId?, Worker>,
        val disruptionBudget: DisruptionBudget,
    ) {
        val records = ArrayList<Record>()
        val evacuations = LinkedHashMap<RunId, WorkerIncarnation>()
        val stillDraining = HashSet<VmId>()
        val disrupted = HashSet<WorkerIncarnation>()

        /** View of the incarnations and runs that end because of this pass or of earlier orders. */
        val planned = PlannedDisruptions(disrupted, evacuations.keys)
    }

    /** An order that this leader sent; [sentAt] is when the last copy was sent or, if later, answered. */
    private class SentOrder(var sentAt: MonotonicTime) {
        var wasUncertain = false
    }

    private companion object {
        /**
         * Longest time to evacuate one VM: the time of several starts of a lasting task.
         *
         * A task that cannot be placed elsewhere within this time does not delay the VM any longer.
         */
        val MAX_EVACUATION_TIME: Duration = 8.seconds
        val LIST_INTERVAL: Duration = 2.seconds
        val CHECK_INTERVAL: Duration = 2.seconds
        val REFUSAL_PAUSE: Duration = 1.seconds
        val ORDER_RETRY_INTERVAL: Duration = 1.seconds
        val ORDER_LATENCY: Duration = 300.milliseconds
        val OVERDUE_MARGIN: Duration = 3.seconds

        /** Time for which an unanswered order counts as in transit; the call to the platform ends within it. */
        val MAX_ORDER_DELIVERY_TIME: Duration = 2.seconds

        /** Longest time to drain one VM: a few times the duration of a usual task. */
        val MAX_DRAIN_TIME: Duration = 4.seconds
    }
}

/**
 * Result of [WaveControl.decide].
 *
 * @property records records to commit.
 * @property orders maintenance orders to resend, by wave and VM.
 * @property checks maintenance orders to repeat although the platform has confirmed them, by wave and VM.
 * @property evacuations runs to stop so that they start on another worker.
 */
internal class WaveDecision(
    val records: List<Record>,
    val orders: List<Pair<Long, VmId>>,
    val checks: List<Pair<Long, VmId>>,
    val evacuations: Map<RunId, WorkerIncarnation>,
)
