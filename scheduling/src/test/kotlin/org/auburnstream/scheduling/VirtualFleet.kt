package org.auburnstream.scheduling

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
 * Workers, the log and one leader at a time in virtual time, with an oracle that watches every start.
 *
 * Orders and answers travel for a random time; workers can be silenced, crash and come back. A change of the leader
 * drops the coordinator with everything that it has in flight, except for orders that are on their way.
 */
internal class VirtualFleet(seed: Int, private val settings: SchedulingSettings = SchedulingSettings()) {
    val random = Random(seed)
    val state = SchedulerState(retentionMs = 150_000)
    val broken = ArrayList<String>()
    val replies = HashMap<CallId, Reply>()
    val workers = LinkedHashMap<WorkerId, VirtualWorker>()
    var now = MonotonicTime.Zero
        private set
    private val agenda = PriorityQueue<Due>(compareBy({ it.at.nanoseconds }, { it.order }))
    private var order = 0L
    private var calls = 0L
    private var fence = 1L
    private var coordinator = Coordinator(state, settings, now)
    private var generation = 0
    private val done = HashSet<TaskId>()
    var commitTime: Duration = 10.milliseconds

    /** Share of the orders that get no answer and are carried out seconds later. */
    var lateShare = 0.0

    /** Runs between the application of a batch and the event that tells of it. */
    var betweenApplyAndEvent: () -> Unit = {}

    val nowMs: Long
        get() = EPOCH_MS + (now - MonotonicTime.Zero).inWholeMilliseconds

    fun start() {
        tick()
    }

    fun at(delay: Duration, action: () -> Unit) {
        order += 1
        agenda.add(Due(now + delay, order, action))
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (agenda.isNotEmpty() && agenda.peek().at <= end) {
            val due = agenda.poll()
            now = due.at
            due.action()
        }
        now = end
    }

    fun call(make: (CallId) -> Event): CallId {
        calls += 1
        val id = CallId(calls)
        feed(make(id))
        return id
    }

    fun feed(event: Event) = feed(event, generation)

    /** Replaces the leader; the batch in progress is lost or kept at random. */
    fun changeLeader() {
        generation += 1
        fence += 1
        coordinator = Coordinator(state, settings, now)
        tick()
    }

    fun addWorker(name: String, service: ServiceId = SERVICE, vm: VmId = VmId("vm-$name"), cpu: Long = 4_000) {
        val profile = WorkerProfile(
            life = WorkerLife(WorkerId(name), nowMs),
            service = service,
            address = "$name:1",
            dataCentre = DataCentreId("a"),
            vm = vm,
            capacity = Resources(cpu, 16_000),
            labels = listOf("a", "r-1"),
        )
        val worker = VirtualWorker(profile, this)
        workers[profile.life.worker] = worker
        worker.report()
    }

    fun offer(id: String, vararg steps: StepDescription, queue: Queue = QUEUE): CallId =
        call { Event.JobOffered(it, JobId(id), queue, JobDescription("payload", steps.toList())) }

    fun phase(id: String): JobPhase? = state.jobs[JobId(id)]?.phase

    /** Notes a start and checks what must hold at that moment. */
    fun started(worker: VirtualWorker, run: RunId) {
        val elsewhere = workers.values.filter { it.runs(run.task) }
        if (elsewhere.isNotEmpty()) broken.add("$now: ${run.task} runs twice, on ${worker.profile.life}")
        if (run.task in done) broken.add("$now: ${run.task} starts after it was done")
        val description = state.jobs[run.task.step.job]?.description ?: return broken.add("$now: $run unasked").let { }
        val open = description.steps[run.task.step.step].dependsOn.filter { earlier ->
            val count = description.steps[earlier].count
            (0 until count).any { TaskId(run.task.step.copy(step = earlier), it) !in done }
        }
        if (open.isNotEmpty()) broken.add("$now: $run starts before steps $open are done")
    }

    fun finished(run: RunId) {
        done.add(run.task)
    }

    private fun tick() {
        val own = generation
        feed(Event.Tick, own)
        at(100.milliseconds) { if (own == generation) tick() }
    }

    private fun feed(event: Event, from: Int) {
        if (from != generation) return
        coordinator.handle(event, now, nowMs).forEach { carryOut(it, from) }
    }

    private fun carryOut(action: Action, from: Int) {
        when (action) {
            is Action.Commit -> at(commitTime) { commit(action.batch, from) }
            is Action.Answer -> replies[action.call] = action.reply
            is Action.Start -> order(action.worker, { it.start(action, fenceOf(from)) }) {
                feed(Event.StartAnswered(action.worker.life, action.run, it), from)
            }
            is Action.Stop -> order(action.worker, { it.stop(action.run, fenceOf(from)) }) {
                feed(Event.StopAnswered(action.worker.life, action.run, it), from)
            }
            is Action.Look -> look(action, from)
            is Action.Pace, is Action.AskAdvice, is Action.Note -> Unit
            is Action.OrderUpkeep -> at(travel()) {
                feed(Event.UpkeepAnswered(action.wave, action.vm, UpkeepAnswer.BEGUN), from)
            }
            is Action.OrderMove -> at(travel()) { feed(Event.MoveAnswered(action.vm, UpkeepAnswer.BEGUN), from) }
            Action.ListVms -> at(travel()) { feed(Event.VmsListed(emptyList()), from) }
        }
    }

    private fun commit(batch: RecordBatch, from: Int) {
        // A batch of a leader that has gone may still be committed before the next one leads; here it is lost.
        if (from != generation) return
        state.apply(batch)
        betweenApplyAndEvent()
        feed(Event.BatchApplied, from)
    }

    private fun fenceOf(from: Int): Long = fence - (generation - from)

    private fun order(to: WorkerProfile, execute: (VirtualWorker) -> OrderAnswer, answered: (OrderAnswer?) -> Unit) {
        var isAnswered = false
        val isLate = random.nextDouble() < lateShare
        at(if (isLate) random.nextLong(2_000, 9_000).milliseconds else travel()) {
            val worker = workers[to.life.worker]?.takeIf { it.isReachable }
            if (worker != null) {
                val answer = if (worker.profile.life ==
                    to.life
                ) {
                    execute(worker)
                } else {
                    OrderAnswer(OrderResult.OTHER_LIFE)
                }
                at(travel()) {
                    if (!isAnswered && !isLate) answered(answer)
                    if (!isLate) isAnswered = true
                }
            }
        }
        at(900.milliseconds) {
            if (!isAnswered) answered(null)
            isAnswered = true
        }
    }

    private fun look(action: Action.Look, from: Int) {
        var isAnswered = false
        val life = action.worker.life
        at(travel()) {
            val worker = workers[life.worker]?.takeIf { it.isReachable }
            worker?.look(action, fenceOf(from)) { answer ->
                at(travel()) {
                    if (!isAnswered) feed(Event.LookAnswered(life, answer), from)
                    isAnswered = true
                }
            }
        }
        at(action.wait + 900.milliseconds) {
            if (!isAnswered) feed(Event.LookAnswered(life, null), from)
            isAnswered = true
        }
    }

    private fun travel(): Duration = random.nextLong(1, 4).milliseconds

    private class Due(val at: MonotonicTime, val order: Long, val action: () -> Unit)

    companion object {
        const val EPOCH_MS = 1_700_000_000_000L
        val SERVICE = ServiceId("s")
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
    }
}

/** A worker that keeps the contract of leases, fences and run numbers. */
internal class VirtualWorker(val profile: WorkerProfile, private val fleet: VirtualFleet) {
    private val running = LinkedHashMap<TaskId, Running>()
    private val ended = ArrayList<EndedRow>()
    private val closed = HashMap<TaskId, Int>()
    private var highestFence = 0L
    private var leaseMs = 0L
    private var endNumber = 0L
    private var sequence = 0L
    private var waiting: (() -> Unit)? = null
    private val startedAt = fleet.now
    var isReachable = true
    var isUp = true
        private set
    var fails = false
    var starts = 0
        private set

    private val clockMs: Long
        get() = (fleet.now - startedAt).inWholeMilliseconds

    fun rows(): List<RunningRow> = running.map { (task, run) -> RunningRow(RunId(task, run.number), "", percent = 100) }

    fun runs(task: TaskId): Boolean = isUp && task in running

    fun crash() {
        isUp = false
        isReachable = false
        running.clear()
    }

    fun report() {
        if (!isUp) return
        sequence += 1
        if (isReachable) fleet.call { Event.WorkerReported(it, profile, sequence, isLeaving = false, clockMs) }
        fleet.at(1_500.milliseconds) { report() }
    }

    fun start(order: Action.Start, fence: Long): OrderAnswer {
        if (fence < highestFence) return OrderAnswer(OrderResult.FENCED, clockMs)
        highestFence = fence
        val run = order.run
        if (running[run.task]?.number == run.number) return OrderAnswer(OrderResult.DONE, clockMs)
        if ((closed[run.task] ?: 0) >= run.number) return OrderAnswer(OrderResult.OUTDATED, clockMs)
        if (order.untilMs <= clockMs) return OrderAnswer(OrderResult.LATE, clockMs)
        renew(order.untilMs)
        starts += 1
        fleet.started(this, run)
        running[run.task] = Running(run.number)
        val step = fleet.state.jobs.getValue(run.task.step.job).description.steps[run.task.step.step]
        if (!step.lasting) {
            fleet.at(step.estimateMs.milliseconds) {
                if (running[run.task]?.number == run.number) end(run, if (fails) RunEnd.FAILED else RunEnd.DONE)
            }
        }
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    fun stop(run: RunId, fence: Long): OrderAnswer {
        if (fence < highestFence) return OrderAnswer(OrderResult.FENCED, clockMs)
        highestFence = fence
        if (running[run.task]?.number == run.number) end(run, RunEnd.STOPPED)
        closed[run.task] = maxOf(closed[run.task] ?: 0, run.number)
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    fun look(action: Action.Look, fence: Long, answered: (LookAnswer) -> Unit) {
        if (fence < highestFence) return answered(LookAnswer(clockMs, isFenced = true))
        highestFence = fence
        action.untilMs?.let(::renew)
        ended.removeAll { it.number <= action.endsNoted }
        val answer = {
            waiting = null
            answered(LookAnswer(clockMs, profile.life.bornMs, rows(), ended.toList()))
        }
        if (ended.isNotEmpty() || action.wait == Duration.ZERO) return answer()
        waiting = answer
        fleet.at(action.wait) { if (waiting === answer) answer() }
    }

    private fun renew(untilMs: Long) {
        leaseMs = maxOf(leaseMs, minOf(untilMs, clockMs + 6_000))
        val until = leaseMs
        fleet.at((until - clockMs).milliseconds) { if (leaseMs == until) lapse() }
    }

    private fun lapse() {
        running.toList().forEach { (task, run) -> end(RunId(task, run.number), RunEnd.LAPSED) }
    }

    private fun end(run: RunId, how: RunEnd) {
        running.remove(run.task)
        closed[run.task] = maxOf(closed[run.task] ?: 0, run.number)
        endNumber += 1
        ended.add(EndedRow(endNumber, run, how, ""))
        if (how == RunEnd.DONE) fleet.finished(run)
        waiting?.invoke()
    }

    private class Running(val number: Int)
}
