package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Schedules jobs, maintenance waves and VM moves while this daemon is the leader.
 *
 * It turns events into records to commit and actions to carry out, and does no I/O itself.
 * An input only adds pending records. They are committed in one batch at a time, and orders and replies are sent only
 * after the records that they depend on are committed. A record claims a run before its start order is sent, and the
 * claim lasts until a record states that the run ended or certainly does not run. Therefore every later leader knows
 * all runs that may be in progress, and a task never has two, unless its step allows copies.
 *
 * Not thread-safe; the caller passes events one at a time.
 *
 * @param state replicated state that contains everything that earlier leaders committed.
 * @param now reading of the monotonic clock at the start of the leadership.
 */
public class Coordinator(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    now: MonotonicTime,
) {
    private val actions = ArrayList<Action>()
    private val durations = DurationEstimator()
    private val backlogs = Backlogs(state, durations)
    private val pendingRecords = PendingRecords(state, settings, backlogs::exceedObjective) { actions.add(it) }
    private val contacts = WorkerContacts(state, settings)
    private val slowWorkers = SlowWorkerDetector(state, contacts, durations)
    private val runs =
        RunControl(state, settings, contacts, durations, slowWorkers, pendingRecords::record) { actions.add(it) }
    private val deregistrations = Deregistrations(state, contacts, pendingRecords, runs) { actions.add(it) }
    private val disruptionBudget = DisruptionBudget(state, contacts)
    private val displacedTasks = DisplacedTasks(state, settings, contacts)
    private val probation = Probation(state, settings, contacts)
    private val leavingWorkers = LeavingWorkers(state, contacts, disruptionBudget, runs::isStopping)
    private val waitingSteps = WaitingSteps(durations)
    private val copies =
        CopyControl(state, settings, contacts, durations, slowWorkers, runs.ending) { actions.add(it) }
    private val orderGuard = StaleOrderGuard(state, settings, now)
    private val waves = WaveControl(state, settings, now, orderGuard)
    private val pools = PoolControl(state, settings, now, orderGuard, contacts::isAbsent)

    /** VMs whose latest move order was the first one, not a repeat. */
    private val firstOrders = HashSet<VmId>()
    private val advice = AdviceCache()
    private val batchLog = BatchLog(state, ::log)
    private val lastingTaskWaits = LastingTaskWaits(state, ::exclusionOf) { actions.add(it) }
    private val shares = TenantShares()
    private val cappedTenants = CappedTenants(state) { actions.add(it) }
    private var batchInProgress: RecordBatch? = null
    private var needsPlan = true
    private var needsVmDecisions = false
    private var needsCopyDecisions = false
    private var needsTenantShares = false
    private var aboveShare = emptySet<TenantName>()

    /** Whether a batch was rejected since the last tick; the next batch waits, because the log may be overloaded. */
    private var isBackingOff = false
    private var nextTick = now

    /** Callers' calls that wait for a later batch; if no further event is handled, they have certainly not run. */
    public val unproposedCalls: Set<CallId>
        get() = pendingRecords.unproposedCalls

    /** When [Event.Tick] is due. */
    public val nextDeadline: MonotonicTime
        get() = nextTick

    /**
     * Handles [event] and returns the actions to carry out.
     *
     * @param now reading of the monotonic clock.
     * @param nowMs time of day in Unix milliseconds.
     */
    public fun handle(event: Event, now: MonotonicTime, nowMs: Long): List<Action> {
        when (event) {
            is Event.JobSubmitted -> pendingRecords.submit(event, now)
            is Event.CancelRequested -> pendingRecords.submit(event)
            is Event.CatalogSubmitted -> pendingRecords.submit(event)
            is Event.WaveSubmitted -> pendingRecords.submit(event, nowMs)
            is Event.WorkerReported -> workerReported(event, now)
            is Event.WorkerDeregistered -> deregistrations.add(event, now)
            is Event.BatchApplied -> batchApplied(now)
            is Event.BatchRejected -> batchRejected()
            is Event.StartAnswered -> startAnswered(event, now)
            is Event.StopAnswered -> runs.stopAnswered(event, now)
            is Event.StatusAnswered -> runs.statusAnswered(event, now)
            is Event.PaceAnswered -> runs.paceAnswered(event)
            is Event.AdviceAnswered -> adviceAnswered(event, now)
            is Event.UpkeepAnswered -> upkeepAnswered(event, now)
            is Event.MoveAnswered -> moveAnswered(event, now)
            is Event.VmsListed -> {
                waves.vmsListed(event.listing, now).forEach(pendingRecords::record)
                pools.vmsListed(event.listing)
            }
            is Event.Tick -> tick(now)
        }
        if (batchInProgress == null && !isBackingOff) decide(now, nowMs)
        return actions.toList().also { actions.clear() }
    }

    private fun workerReported(event: Event.WorkerReported, now: MonotonicTime) {
        val incarnation = event.profile.incarnation
        val current = state.workers[incarnation.worker]?.profile?.incarnation
        val isReplaced = current != null && current.startedMs > incarnation.startedMs
        if (isReplaced || state.hasEnded(incarnation)) {
            log("late_report_ignored", "worker" to incarnation)
            return actions.plusAssign(Action.Answer(event.call, Reply.Accepted))
        }
        event.profile.vm?.let(waves::vmReported)
        val contact = contacts.of(incarnation, now)
        val committed = state.worker(incarnation)
        if (event.sequence > contact.sequence) {
            contact.sequence = event.sequence
            contact.recordContact(now, event.clockMs)
            // For an idle worker, a report is as good as an answered status query.
            if (state.claimsAt(incarnation).isEmpty()) {
                contact.failedQueries = 0
                contact.nextQueryAt = minOf(contact.nextQueryAt, now)
            }
            if (committed == null || event.sequence >= committed.sequence) contact.reported = event.profile
        }
        // A report that was overtaken repeats the profile of the latest one, but may be the first to announce the end.
        val profile = contact.reported ?: committed?.profile ?: event.profile
        val sequence = maxOf(event.sequence, contact.sequence, committed?.sequence ?: 0)
        pendingRecords.submit(event.copy(profile = profile, sequence = sequence))
    }

    private fun startAnswered(event: Event.StartAnswered, now: MonotonicTime) {
        if (event.answer?.result == OrderResult.NO_TICKET) {
            advice.forget(event.run.task.step, event.incarnation.worker)
        }
        runs.startAnswered(event, now)
    }

    private fun adviceAnswered(event: Event.AdviceAnswered, now: MonotonicTime) {
        advice.callEnded(event.step, event.advice, now)
        needsPlan = true
    }

    private fun upkeepAnswered(event: Event.UpkeepAnswered, now: MonotonicTime) {
        val record = waves.orderAnswered(event.wave, event.vm, event.answer, now) ?: return
        log("upkeep_answered", "wave" to event.wave, "vm" to event.vm, "answer" to event.answer)
        pendingRecords.record(record)
        if (event.answer != VmOrderResult.BEGUN) return
        val startedMs = state.waves[event.wave]?.begun?.get(event.vm) ?: return
        state.workers.values
            .filter { it.profile.vm == event.vm && it.profile.incarnation.startedMs == startedMs }
            .forEach { pendingRecords.record(Record.WorkerEnded(it.profile.incarnation)) }
    }

    private fun tick(now: MonotonicTime) {
        isBackingOff = false
        runs.tick(now)
        if (waves.needsList(now) || pools.needsList(now)) {
            waves.listRequested(now)
            pools.listRequested(now)
            actions.add(Action.ListVms(requestedAt = now))
        }
        needsVmDecisions = true
        needsCopyDecisions = true
        needsTenantShares = true
        // Holds, pauses and due times can end between two ticks without a record.
        needsPlan = true
        nextTick = now + TICK_INTERVAL
    }

    private fun decideWaves(now: MonotonicTime, nowMs: Long) {
        if (!waves.hasActiveWave) return
        val decision = waves.decide(now, nowMs, disruptionBudget)
        decision.records.forEach(pendingRecords::record)
        decision.evacuations.forEach { (run, incarnation) ->
            runs.evacuate(run, incarnation, cause = "maintenance", now)
        }
        for ((wave, vm) in decision.orders) {
            waves.orderSent(vm, now, isFresh = false)
            actions.add(Action.OrderUpkeep(wave, vm))
        }
        for ((wave, vm) in decision.checks) {
            log("upkeep_overdue", "wave" to wave, "vm" to vm)
            actions.add(Action.OrderUpkeep(wave, vm))
        }
    }

    private fun decidePools(now: MonotonicTime) {
        val decision = pools.decide(now) { run, incarnation -> remainingTime(run, incarnation, now) }
        decision.evacuations.forEach { (run, incarnation) -> runs.evacuate(run, incarnation, cause = "loan", now) }
        decision.records.filterNot { it is Record.MoveBegun && isInMaintenance(it.vm) }.forEach(pendingRecords::record)
        for ((vm, service) in decision.orders) orderMove(vm, service, isFirst = false, now)
    }

    /** Estimates the time until the run ends by itself; zero if it is being stopped, has not started or is overdue. */
    private fun remainingTime(run: RunId, incarnation: WorkerIncarnation, now: MonotonicTime): Duration {
        val order = contacts.find(incarnation)?.orders?.get(run) ?: return Duration.ZERO
        val startedAt = order.startedAt
        val job = state.active[run.task.step.job]
        val step = job?.stepOf(run.task)
        if (step == null || startedAt == null || order.isStopRequested) return Duration.ZERO
        val estimateMs = durations.estimate(job.queue.name, step.estimateMs)
        return (estimateMs.milliseconds - (now - startedAt)).coerceAtLeast(Duration.ZERO)
    }

    private fun isInMaintenance(vm: VmId): Boolean = state.waves.values.any { vm in it.begun && vm !in it.ended }

    private fun orderMove(vm: VmId, service: ServiceId, isFirst: Boolean, now: MonotonicTime) {
        if (isFirst) firstOrders.add(vm) else firstOrders.remove(vm)
        pools.orderSent(vm, now)
        actions.add(Action.OrderMove(vm, service))
    }

    private fun moveAnswered(event: Event.MoveAnswered, now: MonotonicTime) {
        val move = state.moves[event.vm] ?: return
        val record = pools.orderAnswered(event.vm, event.answer, event.vm in firstOrders, now) ?: return
        log("move_answered", "vm" to event.vm, "to" to move.to, "answer" to event.answer)
        pendingRecords.record(record)
        if (record !is Record.MoveConfirmed) return
        state.workers.values
            .filter { it.profile.vm == event.vm && it.profile.incarnation.startedMs == move.workerStartedMs }
            .forEach { pendingRecords.record(Record.WorkerEnded(it.profile.incarnation)) }
    }

    private fun batchApplied(now: MonotonicTime) {
        val batch = batchInProgress ?: return
        batchInProgress = null
        batchSettled(batch)
        pendingRecords.batchCommitted()
        for (record in batch.records) {
            when (record) {
                is Record.RunClaimed -> runs.start(record, ticketFor(record, now), now)
                is Record.JobCancelled -> runs.stopAll(now) { it.task.step.job == record.id }
                is Record.UpkeepBegun -> {
                    waves.orderSent(record.vm, now, isFresh = true)
                    actions.add(Action.OrderUpkeep(record.wave, record.vm))
                }
                is Record.MoveBegun -> orderMove(record.vm, record.to, isFirst = true, now)
                is Record.WorkerEnded -> contacts.remove(record.incarnation)
                is Record.RunEnded -> {
                    runs.runEnded(record, now)
                    copies.runEnded(record, now)
                }
                is Record.RunReleased -> runs.runReleased(record, now)
                is Record.LeaseReopened -> runs.closedLeases.reopened(record.incarnation, now)
                else -> Unit
            }
        }
        stopRunsOfGivenUpJobs(now)
        if (batch.records.any { it is Record.WorkerRegistered }) runs.restartedWorkers.tick(now)
        runs.sendDueQueries(now)
        needsPlan = true
        batchLog.committed(batch)
    }

    private fun stopRunsOfGivenUpJobs(now: MonotonicTime) {
        val jobs = state.crashes.lostRuns.mapTo(HashSet()) { it.run.task.step.job } - state.active.keys
        if (jobs.isNotEmpty()) runs.stopAll(now) { it.task.step.job in jobs }
    }

    private fun batchRejected() {
        batchInProgress?.let(::batchSettled)
        batchInProgress = null
        pendingRecords.batchRejected()
        isBackingOff = true
        needsPlan = true
    }

    private fun batchSettled(batch: RecordBatch) {
        runs.batchSettled()
        for (record in batch.records) {
            waves.recordResolved(record)
            pools.recordResolved(record)
        }
    }

    private fun decide(now: MonotonicTime, nowMs: Long) {
        // Observations from rejected batches are committed first, because the state lacks them.
        val retries = pendingRecords.takeRetries()
        if (retries.isNotEmpty()) return commit(retries, nowMs)
        // Between two batches the state contains every claim, and no plan can claim a VM that is about to leave.
        if (needsVmDecisions) {
            needsVmDecisions = false
            decideWaves(now, nowMs)
            decidePools(now)
            slowWorkers.decide(now).forEach { (run, incarnation) ->
                runs.evacuate(run, incarnation, cause = "slow worker", now)
            }
        }
        deregistrations.decide(now)
        if (needsPlan) plan(now, nowMs)
        val records = pendingRecords.takeBatch()
        if (records.isNotEmpty()) commit(records, nowMs)
    }

    private fun commit(records: List<Record>, nowMs: Long) {
        val batch = RecordBatch(nowMs, records)
        batchInProgress = batch
        runs.batchSubmitted(batch)
        actions.add(Action.Commit(batch))
    }

    private fun plan(now: MonotonicTime, nowMs: Long) {
        needsPlan = false
        val earlyMs = settings.earlyStart.inWholeMilliseconds / 2
        val pendingClaims = pendingRecords.hasClaims
        if (pendingClaims) return
        val waiting = waitingSteps.find(state, nowMs, earlyMs).filterNot { pendingRecords.isBeingCancelled(it.job.id) }
        val isUsable = { worker: Worker -> contacts.isUsable(worker, now) && !isCordoned(worker.profile) }
        val caps = TenantCaps(state, pendingRecords.catalogs)
        val plan = place(waiting, isUsable, caps, now, nowMs)
        // Looking through all runs in progress after each commit would take the leader's time.
        if (!needsCopyDecisions) return
        needsCopyDecisions = false
        val onProbation = probation.workers(now)
        copies.decide(
            waiting = waiting,
            plan = plan,
            caps = caps,
            isUsable = { isUsable(it) && it.profile.incarnation !in onProbation },
            mayRun = { step, queue, worker -> mayRun(step, queue, worker, now) },
            isBeingCancelled = pendingRecords::isBeingCancelled,
            now = now,
            nowMs = nowMs,
        ).forEach(pendingRecords::record)
    }

    /** Plans the runs of the steps [waiting]. */
    private fun place(
        waiting: List<WaitingStep>,
        isUsable: (Worker) -> Boolean,
        caps: TenantCaps,
        now: MonotonicTime,
        nowMs: Long,
    ): Plan {
        updateTenantShares(waiting, now)
        val displaced = displacedTasks.find(now)
        if (waiting.isEmpty() && displaced.isEmpty()) {
            lastingTaskWaits.update(waiting, emptyList(), now)
            cappedTenants.update(emptyList())
            pools.updateShortages(emptyMap(), now)
            return Plan(emptyList(), emptyList(), emptyMap())
        }
        val mayProbe = { worker: Worker -> contacts.mayProbe(worker, now) && !isCordoned(worker.profile) }
        askAdvice(waiting + displaced, isUsable, mayProbe, now)
        val planner = Planner(
            state = state,
            isUsable = isUsable,
            mayProbe = mayProbe,
            mayRun = { step, worker -> mayRun(step.id, step.queue, worker, now) },
            isStopping = runs::isStopping,
            spares = pools.spareCapacities,
            caps = caps,
            aboveShare = aboveShare,
            displaced = displaced,
            onProbation = probation.workers(now),
        )
        val plan = planner.plan(nowMs, waiting, MAX_CLAIMS)
        pools.updateShortages(plan.unplaced, now)
        lastingTaskWaits.update(waiting, plan.claims, now)
        cappedTenants.update(plan.capped)
        plan.claims.forEach(pendingRecords::record)
        plan.evictions.forEach { runs.evacuate(it.run, it.incarnation, cause = "room for ${it.beneficiary}", now) }
        leavingWorkers.decide(plan.places, now).forEach { (run, incarnation) ->
            runs.evacuate(run, incarnation, cause = "worker shuts down", now)
        }
        return plan
    }

    /** Updates what the order of the tenants depends on, once a tick, because it sums up all runs and waiting steps. */
    private fun updateTenantShares(waiting: List<WaitingStep>, now: MonotonicTime) {
        val tenants = state.catalog?.tenants.orEmpty()
        if (!needsTenantShares || tenants.isEmpty()) return
        needsTenantShares = false
        backlogs.update(waiting)
        val usage = state.usageByTenant()
        val present = waiting.mapNotNullTo(HashSet(usage.keys)) { it.job.owner?.tenant }
        val weights = tenants.filter { it.name in present }.associate { it.name to it.weight }
        val capacity = state.workers.values.fold(Resources.None) { sum, worker -> sum + worker.profile.capacity }
        aboveShare = shares.update(usage, weights, capacity, now)
    }

    private fun isCordoned(worker: WorkerProfile): Boolean =
        waves.isCordoned(worker) || pools.isCordoned(worker) || pendingRecords.isLeaving(worker.vm)

    private fun exclusionOf(step: WaitingStep, worker: Worker, now: MonotonicTime): String? = when {
        isCordoned(worker.profile) -> "cordoned"
        else -> contacts.exclusionOf(worker, now)?.name?.lowercase()
            ?: "no_ticket".takeUnless { mayRun(step.id, step.queue, worker.profile, now) }
    }

    private fun mayRun(step: StepId, queue: Queue, worker: WorkerProfile, now: MonotonicTime): Boolean =
        queue.advice == null || advice.ticket(step, worker.incarnation.worker, now) != null

    private fun askAdvice(
        waiting: List<WaitingStep>,
        isUsable: (Worker) -> Boolean,
        mayProbe: (Worker) -> Boolean,
        now: MonotonicTime,
    ) {
        val advised = waiting.filter { it.queue.advice != null }
        if (advised.isEmpty()) return
        advice.retainSteps { id -> state.active[id.job]?.isDone(id.occurrence) == false }
        for (step in advised.sortedWith(compareBy({ !it.description.lasting }, { it.dueMs }))) {
            val candidates = state.workers.values
                .filter { it.profile.service == step.queue.service }
                .filter { isUsable(it) || (step.description.lasting && mayProbe(it)) }
                .map { it.profile.incarnation.worker }
            val asked = advice.workersToAsk(step.id, candidates, now)
            if (asked.isEmpty()) continue
            advice.callStarted(step.id, asked, now)
            actions.add(Action.AskAdvice(step.id, asked))
        }
    }

    private fun ticketFor(record: Record.RunClaimed, now: MonotonicTime): String? =
        advice.ticket(record.run.task.step, record.incarnation.worker, now)

    private fun log(event: String, vararg fields: Pair<String, Any?>) {
        actions.add(Action.Note(event, fields.toList()))
    }

    private companion object {
        /** Longest delay until a change that depends on time alone is detected. */
        val TICK_INTERVAL: Duration = 100.milliseconds
        const val MAX_CLAIMS = 400
    }
}
