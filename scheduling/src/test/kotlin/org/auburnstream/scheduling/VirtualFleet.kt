package org.auburnstream.scheduling

import kotlinx.serialization.cbor.Cbor
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates callers, workers, VMs, the log and one leader at a time in virtual time.
 *
 * An [InvariantChecker] observes the simulation. Orders and answers are delayed by a random time; workers can lose
 * their connection, crash and restart. A change of the leader discards the coordinator with its pending work, except
 * for orders in transit.
 */
internal class VirtualFleet(seed: Int, private val settings: SchedulingSettings = settingsOf(seed)) {
    val random = Random(seed)

    /** Longest lease that a worker grants. */
    val maxLeaseMs = settings.maxLease.inWholeMilliseconds
    val state = SchedulerState(retentionMs = 150_000)
    private val invariants = InvariantChecker({ now }, { isDeadly(it) })
    val violations: List<Violation>
        get() = invariants.violations
    val replies = HashMap<CallId, Reply>()
    val workers = LinkedHashMap<WorkerId, VirtualWorker>()
    var now = MonotonicTime.Zero
        private set

    /** VMs that are restarting because of a move or a maintenance. */
    private val vmsInTransit = HashSet<VmId>()
    private val maintained = HashSet<Pair<Long, VmId>>()

    /** When each task started for the first time. */
    val startedAt = HashMap<TaskId, MonotonicTime>()

    /** Number of moves and maintenances that have begun. */
    var moves = 0
        private set
    private val eventQueue = PriorityQueue<ScheduledAction>(compareBy({ it.at.nanoseconds }, { it.order }))
    private var order = 0L
    private var calls = 0L
    private val fences = hashMapOf(0 to 1L)
    private var coordinator = Coordinator(state, settings, now)
    private var generation = 0
    private var hasLeader = true
    var commitTime: Duration = 10.milliseconds

    /** Returns the time that the next message takes. */
    var networkDelays: () -> Duration = { random.nextLong(1, 4).milliseconds }

    /** Fraction of the orders that get no answer and are executed seconds later. */
    var lateOrderShare = 0.0

    /** Fraction of the status queries that get no answer. */
    var lostQueryShare = 0.0

    /** Returns the actual work of a task in ms, which may differ from its estimate. */
    var workOf: (TaskId, StepDescription) -> Long = { _, step -> step.estimateMs }

    /** Returns the actual work of a run in ms; the runs of a task differ only where a test replaces it. */
    var workOfRun: (RunId, StepDescription) -> Long = { run, step -> workOf(run.task, step) }

    /** Whether a task crashes each worker that starts it. */
    var isDeadly: (TaskId) -> Boolean = { false }

    /** Time from the crash of a worker under a deadly task until its VM is back; null if it is lost for good. */
    var timeToReturn: Duration? = 3.seconds

    /** Whether a worker that comes back after a crash keeps its id. */
    var keepsIdAfterCrash = false

    /** Whether connections to a worker that has crashed under a deadly task hang, as if its VM were lost. */
    var crashesSilently = false

    /** Number of workers that crashed under each task. */
    val crashes: Map<TaskId, Int>
        get() = invariants.crashes

    /** Work of runs that were stopped before they were done, in ms. */
    var wastedMs = 0L

    /** Time that the advice service takes for a call. */
    var adviceTime: Duration = 50.milliseconds

    /** Answers a call of the advice service; null if there is no answer. */
    var advise: (Action.AskAdvice) -> Advice? = { null }

    /** Number of the coordinator's log lines by event. */
    val eventCounts = HashMap<String, Int>()

    /** Replaces each action of the coordinator; used to simulate a faulty coordinator. */
    var mutate: (Action) -> List<Action> = { listOf(it) }

    /** VMs that are leaving the platform, for which it refuses every order. */
    val leaving = LinkedHashSet<VmId>()

    /** Whether the platform's list still contains the VMs that are leaving. */
    var listsLeavingVms = true

    /** Returns what can be read of the platform's list of VMs. */
    var readList: (vms: List<ListedVm>, requestedAt: MonotonicTime) -> VmListing = { vms, at -> VmListing(vms, at) }

    /** Whether the maintenance of [vm] in [wave] has begun. */
    fun wasMaintained(wave: Long, vm: VmId): Boolean = (wave to vm) in maintained

    /** VMs that are switched off. */
    val spares = LinkedHashSet<VmId>()

    /** Whether the log rejects a batch while the leader stays the same. */
    var rejectsBatch: (RecordBatch) -> Boolean = { false }

    /** Hook that runs after a batch is applied and before the coordinator gets the event for it. */
    var betweenApplyAndEvent: () -> Unit = {}

    val nowMs: Long
        get() = EPOCH_MS + (now - MonotonicTime.Zero).inWholeMilliseconds

    fun start() {
        tick()
    }

    fun at(delay: Duration, action: () -> Unit) {
        order += 1
        eventQueue.add(ScheduledAction(now + delay, order, action))
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (eventQueue.isNotEmpty() && eventQueue.peek().at <= end) {
            val due = eventQueue.poll()
            now = due.at
            due.action()
        }
        now = end
    }

    fun call(make: (CallId) -> Event): CallId {
        calls += 1
        val id = CallId(calls)
        val event = make(id)
        invariants.requestSent(event)
        feed(event)
        return id
    }

    fun feed(event: Event) = feed(event, generation)

    /** Replaces the leader; the batch in progress is lost. */
    fun changeLeader() {
        loseLeader()
        fences[generation] = fences.values.max() + 1
        coordinator = Coordinator(state, settings, now)
        hasLeader = true
        tick()
    }

    /** Ends the leadership with the batch in progress; reports and requests get no reply until a leader follows. */
    fun loseLeader() {
        generation += 1
        hasLeader = false
    }

    fun addWorker(
        name: String,
        service: ServiceId = SERVICE,
        vm: VmId = VmId("vm-$name"),
        cpu: Long = 4_000,
        firstReport: Duration = Duration.ZERO,
        address: String = "$name:1",
        rack: String = "r-1",
    ) {
        val profile = WorkerProfile(
            incarnation = WorkerIncarnation(WorkerId(name), nowMs),
            service = service,
            address = address,
            dataCentre = DataCentreId("a"),
            vm = vm,
            capacity = Resources(cpu, 16_000),
            labels = listOf("a", rack),
        )
        val worker = VirtualWorker(profile, this)
        workers[profile.incarnation.worker] = worker
        if (firstReport == Duration.ZERO) worker.report() else at(firstReport) { worker.report() }
    }

    /**
     * Crashes [worker] now and restarts it under its id [after] that time.
     *
     * The restarted worker accepts orders for [firstReport] before it sends its first report.
     */
    fun restart(worker: VirtualWorker, after: Duration, firstReport: Duration = Duration.ZERO) {
        worker.crash()
        val profile = worker.profile
        at(after) {
            addWorker(
                profile.incarnation.worker.value,
                profile.service,
                checkNotNull(profile.vm),
                profile.capacity.millicores,
                firstReport,
            )
        }
    }

    /** Crashes [worker] now; its VM is back after [timeToReturn]. */
    fun crash(worker: VirtualWorker) {
        worker.crash(silent = crashesSilently)
        val profile = worker.profile
        val name = if (keepsIdAfterCrash) profile.incarnation.worker.value else "${profile.vm}-$order"
        at(timeToReturn ?: return) {
            addWorker(
                name = name,
                service = profile.service,
                vm = checkNotNull(profile.vm),
                cpu = profile.capacity.millicores,
                rack = checkNotNull(profile.rack).value,
            )
        }
    }

    /** Replaces the state by what a snapshot of it contains. */
    fun restoreFromSnapshot() {
        val cbor = Cbor { ignoreUnknownKeys = true }
        val image = cbor.encodeToByteArray(StateImage.serializer(), state.image())
        state.restore(cbor.decodeFromByteArray(StateImage.serializer(), image), now)
    }

    fun submit(id: String, vararg steps: StepDescription, queue: Queue = QUEUE, tenant: TenantName? = null): CallId =
        call { Event.JobSubmitted(it, JobId(id), queue, JobDescription("payload", steps.toList()), tenant) }

    fun submitCatalog(version: Long, vararg tenants: Tenant): CallId {
        val services = listOf(ServiceTerms(SERVICE), ServiceTerms(SPARE, spare = true))
        val catalog = Catalog(version, listOf(QUEUE), services, tenants = tenants.toList())
        return call { Event.CatalogSubmitted(it, catalog, "") }
    }

    fun isRunning(task: TaskId): Boolean = workers.values.any { it.runs(task) }

    /** Runs until [task] is in progress, for [limit] at most, and returns the time that it took. */
    fun runUntilStarted(task: TaskId, limit: Duration): Duration {
        val since = now
        while (!isRunning(task) && now - since < limit) run(10.milliseconds)
        return now - since
    }

    /** Runs for [duration] and returns the longest time for which one of [tasks] was not in progress. */
    fun longestDownTime(tasks: List<TaskId>, duration: Duration): Duration {
        val end = now + duration
        val lastRunning = tasks.associateWithTo(HashMap()) { now }
        var longest = Duration.ZERO
        while (now < end) {
            run(10.milliseconds)
            for (task in tasks) {
                longest = maxOf(longest, now - lastRunning.getValue(task))
                if (isRunning(task)) lastRunning[task] = now
            }
        }
        return longest
    }

    fun phase(id: String): JobPhase? = state.jobs[JobId(id)]?.phase

    fun runStarted(worker: VirtualWorker, order: Action.Start) {
        invariants.runStarted(worker, order)
        startedAt.putIfAbsent(order.run.task, now)
        if (isDeadly(order.run.task)) at(CRASH_DELAY) { if (worker.runs(order.run.task)) crash(worker) }
    }

    /** Records the end of a run and ends the other members of its gang. */
    fun runEnded(run: RunId, end: RunEnd) {
        invariants.runEnded(run, end)
        val step = state.jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)
        if (step?.gang != true || end == RunEnd.BROKEN) return
        val others = if (end == RunEnd.DONE) RunEnd.DONE else RunEnd.BROKEN
        workers.values.toList().forEach { it.endMembers(run, others) }
    }

    /** Records that a worker crashed under [run], which has not ended. */
    fun workerCrashed(run: RunId) = invariants.workerCrashed(run)

    fun leaseExpired(worker: VirtualWorker) = invariants.leaseExpired(worker)

    fun endRecorded(run: RunId) = invariants.endRecorded(run)

    fun endPlanned(worker: VirtualWorker, run: RunId) = invariants.endPlanned(worker, run)

    /** Whether all [count] members of the gang are running under the run number of [run]. */
    fun isGangComplete(run: RunId, count: Int): Boolean = invariants.runningMembers(run) == count

    /** Checks that no accepted job is lost. */
    fun checkFinalState() = invariants.checkFinalState { state.jobs[it]?.phase }

    /** Executes [action] on behalf of the leader, independent of the coordinator. */
    fun inject(action: Action) = carryOut(action, generation)

    private fun tick() {
        val own = generation
        feed(Event.Tick, own)
        at(100.milliseconds) { if (own == generation) tick() }
    }

    private fun feed(event: Event, from: Int) {
        if (from != generation || !hasLeader) return
        coordinator.handle(event, now, nowMs).flatMap(mutate).forEach { carryOut(it, from) }
    }

    private fun carryOut(action: Action, from: Int) {
        when (action) {
            is Action.Commit -> at(commitTime) { commit(action.batch, from) }
            is Action.Answer -> {
                replies[action.call] = action.reply
                invariants.replyReceived(action.call, action.reply)
            }
            is Action.Start -> {
                invariants.startSent(action.run)
                order(action.worker, action.answerTimeout, { it.start(action, fenceOf(from, action.epoch)) }) {
                    feed(Event.StartAnswered(action.worker.incarnation, action.run, it), from)
                }
            }
            is Action.Stop -> order(action.worker, action.answerTimeout, {
                it.stop(action.run, fenceOf(from, action.epoch))
            }) {
                feed(Event.StopAnswered(action.worker.incarnation, action.run, it), from)
            }
            is Action.Look -> look(action, from)
            is Action.AskAdvice -> at(adviceTime) { feed(Event.AdviceAnswered(action.step, advise(action)), from) }
            is Action.Pace -> Unit
            is Action.Note -> eventCounts.merge(action.event, 1, Int::plus)
            is Action.OrderUpkeep -> at(networkDelay()) {
                invariants.vmOrderReceived(action.vm, fenceOf(from))
                feed(Event.UpkeepAnswered(action.wave, action.vm, upkeep(action)), from)
            }
            is Action.OrderMove -> at(networkDelay()) {
                invariants.vmOrderReceived(action.vm, fenceOf(from))
                feed(Event.MoveAnswered(action.vm, move(action)), from)
            }
            is Action.ListVms -> listVms(action.requestedAt, from)
        }
    }

    private fun upkeep(order: Action.OrderUpkeep): VmOrderResult {
        val isBusy = order.vm in vmsInTransit || order.vm in leaving
        val worker = workerOn(order.vm) ?: return if (isBusy) VmOrderResult.BUSY else VmOrderResult.UNKNOWN_VM
        if (order.wave to order.vm in maintained) return VmOrderResult.BEGUN
        maintained.add(order.wave to order.vm)
        invariants.maintenanceStarted(order.wave, order.vm)
        restart(worker, worker.profile.service, settings.upkeepTime) {
            invariants.maintenanceEnded(order.wave, order.vm)
        }
        return VmOrderResult.BEGUN
    }

    private fun move(order: Action.OrderMove): VmOrderResult {
        val worker = workerOn(order.vm)
        return when {
            order.vm in leaving -> VmOrderResult.BUSY
            worker != null && worker.profile.service == order.service -> VmOrderResult.BEGUN
            worker != null -> VmOrderResult.BEGUN.also { restart(worker, order.service, MOVE_TIME) { } }
            spares.remove(order.vm) -> VmOrderResult.BEGUN.also { join(order.vm, order.service, MOVE_TIME) { } }
            order.vm in vmsInTransit -> VmOrderResult.BUSY
            else -> VmOrderResult.UNKNOWN_VM
        }
    }

    private fun restart(worker: VirtualWorker, service: ServiceId, after: Duration, over: () -> Unit) {
        worker.endByOrder()
        join(checkNotNull(worker.profile.vm), service, after, over)
    }

    private fun join(vm: VmId, service: ServiceId, after: Duration, over: () -> Unit) {
        moves += 1
        if (service == SPARE) {
            spares.add(vm)
            return
        }
        vmsInTransit.add(vm)
        val name = "$vm-$order"
        at(after) {
            vmsInTransit.remove(vm)
            over()
            addWorker(name, service, vm)
        }
    }

    private fun workerOn(vm: VmId): VirtualWorker? = workers.values.lastOrNull { it.profile.vm == vm && it.isUp }

    private fun listVms(requestedAt: MonotonicTime, from: Int) {
        at(networkDelay()) { feed(Event.VmsListed(readList(listedVms(), requestedAt)), from) }
    }

    private fun listedVms(): List<ListedVm> {
        val up = workers.values.filter { it.isUp }.mapNotNull { worker ->
            worker.profile.vm?.let {
                ListedVm(it, worker.profile.service.value, VmCondition.UP, worker.profile.incarnation.worker)
            }
        }
        val leavingVms = if (listsLeavingVms) leaving else emptySet()
        return up + leavingVms.map { ListedVm(it, "", VmCondition.DOWN, null) } +
            vmsInTransit.map { ListedVm(it, "", VmCondition.MOVING, null) } +
            spares.map { ListedVm(it, SPARE.value, VmCondition.UP, null) }
    }

    private fun commit(batch: RecordBatch, from: Int) {
        // The real log may still commit a batch of the previous leader before the next one leads; here it is lost.
        if (from != generation) return
        if (rejectsBatch(batch)) return feed(Event.BatchRejected, from)
        state.apply(batch, now)
        // A committed end counts as recorded even before the worker learns of it.
        batch.records.filterIsInstance<Record.RunEnded>().filter {
            it.end == RunEnd.DONE
        }.forEach { endRecorded(it.run) }
        batch.records.filterIsInstance<Record.RunEnded>().filter { it.end == RunEnd.FAILED }
            .forEach { invariants.failureRecorded(it.run) }
        betweenApplyAndEvent()
        feed(Event.BatchApplied, from)
    }

    private fun fenceOf(from: Int): Long = fences.getValue(from)

    private fun fenceOf(from: Int, epoch: Int): Long = OrderFence.of(fenceOf(from), epoch).value

    private fun order(
        to: WorkerProfile,
        timeout: Duration,
        execute: (VirtualWorker) -> OrderAnswer,
        answered: (OrderAnswer?) -> Unit,
    ) {
        var isAnswered = false
        val isLate = random.nextDouble() < lateOrderShare
        at(if (isLate) random.nextLong(2_000, 9_000).milliseconds else networkDelay()) {
            val worker = recipientOf(to)
            val isRefused = worker == null && workers[to.incarnation.worker]?.refusesConnections != false
            if (isRefused && !isLate && !isAnswered) {
                // No process listens at the address, so the connection is refused.
                isAnswered = true
                at(networkDelay()) { answered(OrderAnswer(OrderResult.UNSENT)) }
            }
            if (worker != null) {
                val isOther = worker.profile.incarnation.worker != to.incarnation.worker
                val answer = if (isOther) OrderAnswer(OrderResult.OTHER_LIFE) else execute(worker)
                at(networkDelay()) {
                    val arrives = !isLate && worker.canSend
                    if (!isAnswered && arrives) answered(answer)
                    if (arrives) isAnswered = true
                }
            }
        }
        at(timeout) {
            if (!isAnswered) answered(null)
            isAnswered = true
        }
    }

    private fun look(action: Action.Look, from: Int) {
        var isAnswered = false
        val incarnation = action.worker.incarnation
        val isLost = lostQueryShare > 0 && random.nextDouble() < lostQueryShare
        at(networkDelay()) {
            if (isLost) return@at
            val worker = recipientOf(action.worker)
            if (worker?.delaysNextDrop == true && action.lastRecordedEnd > 0) {
                worker.delaysNextDrop = false
                at(LATE_DROP) {
                    if (worker.isUp) worker.look(action.copy(wait = Duration.ZERO), fenceOf(from, action.epoch)) { }
                    worker.canSend = true
                }
                // The ends of the last moments are listed in no answer.
                at(LATE_DROP - 500.milliseconds) { worker.canSend = false }
                return@at
            }
            val isOther = worker != null && worker.profile.incarnation.worker != incarnation.worker
            val answered = { answer: StatusAnswer ->
                at(networkDelay()) {
                    val arrives = worker?.canSend == true
                    if (!isAnswered && arrives) feed(Event.StatusAnswered(incarnation, action.number, answer), from)
                    if (arrives) isAnswered = true
                }
            }
            if (isOther) {
                answered(
                    StatusAnswer(otherIncarnation = true),
                )
            } else {
                worker?.look(action, fenceOf(from, action.epoch), answered)
            }
        }
        at(action.wait + action.answerTimeout) {
            if (!isAnswered) feed(Event.StatusAnswered(incarnation, action.number, null), from)
            isAnswered = true
        }
    }

    /**
     * Returns the worker that receives the orders for [to].
     *
     * It may be a later incarnation of the same worker, or a worker with another id at the same address, which refuses
     * them.
     */
    private fun recipientOf(to: WorkerProfile): VirtualWorker? =
        workers[to.incarnation.worker]?.takeIf { it.isReachable }
            ?: workers.values.firstOrNull { it.isReachable && it.profile.address == to.address }

    private fun networkDelay(): Duration = networkDelays()

    private class ScheduledAction(val at: MonotonicTime, val order: Long, val action: () -> Unit)

    companion object {
        /** Returns settings of a deployment whose workers grant short leases, or long ones, in turn. */
        fun settingsOf(seed: Int): SchedulingSettings =
            SchedulingSettings(maxLease = if (seed % 2 == 0) 6.seconds else 10.seconds)

        /** Returns a fleet whose [workers] of one service have reported. */
        fun withWorkers(workers: Int, seed: Int = 1, settings: SchedulingSettings = settingsOf(seed)): VirtualFleet {
            val fleet = VirtualFleet(seed, settings)
            fleet.start()
            repeat(workers) { fleet.addWorker("w$it") }
            fleet.run(300.milliseconds)
            return fleet
        }

        /** Returns a fleet of two services, with each VM of the [donor] in a rack of its own. */
        fun withTwoServices(seed: Int, borrower: Queue, borrowerVms: Int, donor: Queue, donorVms: Int): VirtualFleet {
            val fleet = VirtualFleet(seed)
            fleet.start()
            val services = listOf(borrower, donor).map { ServiceTerms(it.service) }
            val catalog = Catalog(version = 1, queues = listOf(borrower, donor), services)
            fleet.call { Event.CatalogSubmitted(it, catalog, document = "{}") }
            repeat(borrowerVms) { fleet.addWorker("${borrower.service}$it", borrower.service) }
            repeat(donorVms) { fleet.addWorker("${donor.service}$it", donor.service, rack = "r-$it") }
            // The coordinator sends no moves until orders of an earlier leader cannot arrive any more.
            fleet.run(4.seconds)
            return fleet
        }

        const val EPOCH_MS = 1_700_000_000_000L
        val SERVICE = ServiceId("s")
        val SPARE = ServiceId("spare")
        val MOVE_TIME = 1_500.milliseconds
        val QUEUE =
            Queue(
                QueueName("q"),
                "host",
                "/q/",
                SERVICE,
                attempts = 3,
                stretch = 1.6,
                objectiveMs = 600,
                timeoutMs = 3_000,
            )
        val SECOND = 1.seconds

        /** Time from the start of a deadly task to the crash of its worker. */
        val CRASH_DELAY = 10.milliseconds
        val LATE_DROP = 2_500.milliseconds
    }
}
