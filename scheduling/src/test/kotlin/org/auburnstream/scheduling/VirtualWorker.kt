package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A worker that keeps the contract of leases, fences and run numbers. */
internal class VirtualWorker(val profile: WorkerProfile, private val fleet: VirtualFleet) {
    private val running = LinkedHashMap<TaskId, Running>()
    private val ended = ArrayList<EndedRun>()
    private val closed = HashMap<TaskId, Int>()
    private var highestFence = 0L
    private var leaseMs = 0L
    private var endNumber = 0L
    private var sequence = 0L
    private var waiting: (() -> Unit)? = null
    private val startedAt = fleet.now
    var isReachable = true

    /** Whether reports and answers arrive; orders may arrive though they do not. */
    var canSend = true
    var isUp = true
        private set
    var fails = false
    var starts = 0
        private set

    private val clockMs: Long
        get() = ((fleet.now - startedAt).inWholeMilliseconds * clockRate).toLong()

    /** Share of the time that the worker's own clock counts. */
    var clockRate = 1.0

    /** Factor by which tasks that start here take longer. */
    var slowness = 1.0

    fun rows(): List<RunStatus> =
        running.map { (task, run) -> RunStatus(RunId(task, run.number), "", percentOf(run)) }

    private fun percentOf(run: Running): Int {
        val workMs = run.workMs ?: return WHOLE
        return ((run.savedMs + run.workedMs()) * WHOLE / workMs).toInt().coerceAtMost(WHOLE)
    }

    private fun Running.workedMs(): Long = ((fleet.now - since).inWholeMilliseconds / slowness).toLong()

    fun runs(task: TaskId): Boolean = isUp && task in running

    fun crash() {
        isUp = false
        isReachable = false
        waiting = null
        val lost = running.map { (task, run) -> RunId(task, run.number) }
        running.clear()
        lost.forEach { fleet.ended(it, RunEnd.LAPSED) }
    }

    /** Ends with all runs because the platform restarts the VM on an order. */
    fun endByOrder() {
        running.forEach { (task, run) -> fleet.planned(this, RunId(task, run.number)) }
        crash()
    }

    /** Makes a report that arrives [delay] later, whatever becomes of the worker. */
    fun reportLate(delay: Duration) {
        sequence += 1
        val number = sequence
        val sentMs = clockMs
        fleet.at(delay) { fleet.call { Event.WorkerReported(it, profile, number, isLeaving = false, sentMs) } }
    }

    /**
     * Says that the worker ends, which it does once it has the answer, or [patience] later without one.
     *
     * @param isAnswerLost whether the answer does not arrive.
     */
    fun leave(isAnswerLost: Boolean, patience: Duration = 4.seconds): CallId {
        val call = fleet.call { Event.WorkerDeregistered(it, profile.life.worker, profile.life.startedMs) }
        fleet.at(patience) { if (isUp) crash() }
        if (!isAnswerLost) endOnceAnswered(call)
        return call
    }

    private fun endOnceAnswered(call: CallId) {
        when {
            !isUp -> Unit
            fleet.replies[call] == Reply.Accepted -> crash()
            else -> fleet.at(10.milliseconds) { endOnceAnswered(call) }
        }
    }

    fun report() {
        if (!isUp) return
        sequence += 1
        if (isReachable &&
            canSend
        ) {
            fleet.call { Event.WorkerReported(it, profile, sequence, isLeaving = false, clockMs) }
        }
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
        fleet.started(this, order)
        val step = fleet.state.jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)
        val savedMs = order.saved.toLongOrNull() ?: 0
        val workMs = step?.takeIf { !it.lasting }?.let { fleet.workOf(run.task, it) }
        running[run.task] = Running(run.number, savedMs, fleet.now, workMs, slowness)
        if (step == null) return OrderAnswer(OrderResult.DONE, clockMs)
        if (step.gang) {
            fleet.at(GANG_TIME) {
                val isAlone = running[run.task]?.number == run.number && !fleet.isWhole(run, step.count)
                if (isAlone) end(run, RunEnd.ALONE)
            }
        }
        if (workMs != null) {
            fleet.at(((workMs - savedMs) * slowness).toLong().coerceAtLeast(1).milliseconds) {
                if (running[run.task]?.number == run.number) end(run, if (fails) RunEnd.FAILED else RunEnd.DONE)
            }
        }
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    fun stop(run: RunId, fence: Long): OrderAnswer {
        if (fence < highestFence) return OrderAnswer(OrderResult.FENCED, clockMs)
        highestFence = fence
        if (running[run.task]?.number == run.number) {
            fleet.planned(this, run)
            end(run, RunEnd.STOPPED)
        }
        closed[run.task] = maxOf(closed[run.task] ?: 0, run.number)
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    fun look(action: Action.Look, fence: Long, answered: (StatusAnswer) -> Unit) {
        if (fence < highestFence) return answered(StatusAnswer(clockMs, isFenced = true))
        highestFence = fence
        action.untilMs?.let(::renew)
        val noted = ended.filter { it.number <= action.lastRecordedEnd }
        noted.filter { it.end == RunEnd.DONE }.forEach { fleet.noted(it.run) }
        ended.removeAll(noted)
        val answer = {
            waiting = null
            val listed = ended.take(MAX_ROWS)
            answered(StatusAnswer(clockMs, profile.life.startedMs, rows(), listed, hasAllEnds = listed.size < MAX_ROWS))
        }
        if (ended.isNotEmpty() || action.wait == Duration.ZERO) return answer()
        waiting = answer
        fleet.at(action.wait) { if (waiting === answer) answer() }
    }

    /** Ends the members of the gang of [run] that work here. */
    fun endMembers(run: RunId, how: RunEnd) {
        running.filter { (task, member) -> task.step == run.task.step && member.number == run.number }
            .forEach { (task, member) -> end(RunId(task, member.number), how) }
    }

    private fun renew(untilMs: Long) {
        leaseMs = maxOf(leaseMs, minOf(untilMs, clockMs + 6_000))
        val until = leaseMs
        fleet.at(((until - clockMs) / clockRate).toLong().milliseconds) { if (leaseMs == until) lapse() }
    }

    private fun lapse() {
        running.toList().forEach { (task, run) -> end(RunId(task, run.number), RunEnd.LAPSED) }
    }

    private fun end(run: RunId, how: RunEnd) {
        val ending = running.remove(run.task) ?: return
        closed[run.task] = maxOf(closed[run.task] ?: 0, run.number)
        endNumber += 1
        ended.add(EndedRun(endNumber, run, how, ending.saved(run, how)))
        fleet.ended(run, how)
        waiting?.invoke()
    }

    /** What a task that saves its progress has worked when it is stopped, as its saved state. */
    private fun Running.saved(run: RunId, how: RunEnd): String {
        val step = fleet.state.jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)
        if (how != RunEnd.STOPPED || step?.savesProgress != true) return ""
        return (savedMs + workedMs()).toString()
    }

    private class Running(
        val number: Int,
        val savedMs: Long,
        val since: MonotonicTime,
        val workMs: Long?,
        val slowness: Double,
    )

    private companion object {
        val GANG_TIME: Duration = 3.seconds
        const val WHOLE = 100

        /** Most ends in one answer. */
        const val MAX_ROWS = 500
    }
}
