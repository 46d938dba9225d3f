package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates a worker that follows the protocol of leases, fencing tokens and run numbers. */
internal class VirtualWorker(profile: WorkerProfile, private val fleet: VirtualFleet) {
    /** What the worker reports of itself. */
    var profile = profile
        private set

    /** Capacities that the worker had, each with the time until which it had it. */
    private val earlierCapacities = ArrayList<Pair<Resources, MonotonicTime>>()
    private val running = LinkedHashMap<TaskId, Running>()
    private val ended = ArrayList<EndedRun>()
    private val closedRuns = HashMap<TaskId, Int>()
    private var highestFence = 0L
    private var leaseMs = 0L
    private var endNumber = 0L
    private var sequence = 0L
    private var pendingAnswer: (() -> Unit)? = null
    private val startedAt = fleet.now
    var isReachable = true

    /** Whether reports and answers of the worker arrive; independent of whether it receives orders. */
    var canSend = true

    /** Whether the worker's own reports get lost, while its answers arrive. */
    var losesReports = false

    /** Whether the next status query that drops ends gets no answer and is executed seconds later. */
    var delaysNextDrop = false
    var isUp = true
        private set

    /** Whether the worker's reports announce its shutdown. */
    private var isLeaving = false

    /** Whether the runs that start on this worker fail; a lasting task fails after its estimated duration. */
    var fails = false
    var starts = 0
        private set

    val clockMs: Long
        get() = ((fleet.now - startedAt).inWholeMilliseconds * clockRate).toLong()

    /** Whether the worker accepts the ticket of a start order. */
    var acceptsTicket: (String?) -> Boolean = { true }

    /** Speed of the worker's clock relative to real time. */
    var clockRate = 1.0

    /** Factor by which tasks that start on this worker take longer. */
    var slowness = 1.0

    fun rows(): List<RunStatus> = running.map { (task, run) -> RunStatus(RunId(task, run.number), "", percentOf(run)) }

    private fun percentOf(run: Running): Int {
        val workMs = run.workMs ?: return FULL_PERCENT
        return ((run.savedMs + run.workedMs()) * FULL_PERCENT / workMs).toInt().coerceAtMost(FULL_PERCENT)
    }

    private fun Running.workedMs(): Long = ((fleet.now - since).inWholeMilliseconds / slowness).toLong()

    fun runs(task: TaskId): Boolean = isUp && task in running

    /** Whether the end of [run] is listed because no leader has acknowledged it. */
    fun listsEnd(run: RunId): Boolean = ended.any { it.run == run }

    /** Whether connections to the worker's address are refused, because its process is gone and its VM is up. */
    var refusesConnections = false
        private set

    /** Ends with all runs; a worker that is [silent] has lost its VM, so connections to it hang. */
    fun crash(silent: Boolean = false) {
        refusesConnections = !silent
        isUp = false
        isReachable = false
        pendingAnswer = null
        val lost = running.map { (task, run) -> RunId(task, run.number) }
        running.clear()
        if (!isLeaving) lost.forEach(fleet::workerCrashed)
        lost.forEach { fleet.runEnded(it, RunEnd.LAPSED) }
    }

    /** Crashes with all runs because an order to the platform restarts the VM. */
    fun endByOrder() {
        running.forEach { (task, run) -> fleet.endPlanned(this, RunId(task, run.number)) }
        isLeaving = true
        crash()
    }

    /** Sends a report that arrives after [delay], even if the worker has ended by then. */
    fun reportLate(delay: Duration) {
        sequence += 1
        val number = sequence
        val sentMs = clockMs
        val sent = profile
        fleet.at(delay) { fleet.call { Event.WorkerReported(it, sent, number, isLeaving = false, sentMs) } }
    }

    /**
     * Deregisters the worker, which then ends once it gets the answer, or after [timeout] without one.
     *
     * @param isAnswerLost whether the answer is lost.
     */
    fun leave(isAnswerLost: Boolean, timeout: Duration = 4.seconds): CallId {
        val call = fleet.call {
            Event.WorkerDeregistered(it, profile.incarnation.worker, profile.incarnation.startedMs)
        }
        fleet.at(timeout) { if (isUp) crash() }
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

    /** Changes the capacity to [millicores]; the next report says so. */
    fun resize(millicores: Long) {
        earlierCapacities.add(profile.capacity to fleet.now)
        profile = profile.copy(capacity = profile.capacity.copy(millicores = millicores))
    }

    /** Returns the largest capacity that the worker had within [time], in millicores. */
    fun largestMillicores(time: Duration): Long = earlierCapacities.filter { (_, until) -> fleet.now - until < time }
        .maxOfOrNull { (capacity, _) -> capacity.millicores }.let { maxOf(it ?: 0, profile.capacity.millicores) }

    /** Announces a shutdown in this and all later reports, and ends silently after [gone] with all runs left. */
    fun drain(gone: Duration) {
        isLeaving = true
        sendReport()
        fleet.at(gone) { if (isUp) crash(silent = true) }
    }

    fun report() {
        if (!isUp) return
        sendReport()
        fleet.at(1_500.milliseconds) { report() }
    }

    private fun sendReport() {
        sequence += 1
        if (!isReachable || !canSend || losesReports) return
        fleet.call { Event.WorkerReported(it, profile, sequence, isLeaving, clockMs) }
    }

    fun start(order: Action.Start, fence: Long): OrderAnswer {
        if (fence < highestFence) return OrderAnswer(OrderResult.FENCED, clockMs)
        highestFence = fence
        val run = order.run
        if (running[run.task]?.number == run.number) return OrderAnswer(OrderResult.DONE, clockMs)
        if ((closedRuns[run.task] ?: 0) >= run.number) return OrderAnswer(OrderResult.OUTDATED, clockMs)
        if (order.untilMs <= clockMs) return OrderAnswer(OrderResult.LATE, clockMs)
        if (!acceptsTicket(order.ticket)) return OrderAnswer(OrderResult.NO_TICKET, clockMs)
        renewLease(order.untilMs)
        starts += 1
        fleet.runStarted(this, order)
        val step = fleet.state.jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)
        val savedMs = order.saved.toLongOrNull() ?: 0
        val workMs = step?.takeIf { !it.lasting }?.let { fleet.workOfRun(run, it) }
        running[run.task] = Running(run.number, savedMs, fleet.now, workMs, slowness)
        if (step == null) return OrderAnswer(OrderResult.DONE, clockMs)
        if (step.gang) {
            fleet.at(GANG_START_TIMEOUT) {
                val isAlone = running[run.task]?.number == run.number && !fleet.isGangComplete(run, step.count)
                if (isAlone) end(run, RunEnd.ALONE)
            }
        }
        planEnd(run, step, workMs, savedMs)
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    /** Schedules the end of [run], unless its task lasts until it is stopped. */
    private fun planEnd(run: RunId, step: StepDescription, workMs: Long?, savedMs: Long) {
        if (step.lasting && fails) {
            fleet.at(step.estimateMs.milliseconds) { if (running[run.task]?.number == run.number) fail(run.task) }
        }
        if (workMs != null) {
            fleet.at(((workMs - savedMs) * slowness).toLong().coerceAtLeast(1).milliseconds) {
                if (running[run.task]?.number == run.number) end(run, if (fails) RunEnd.FAILED else RunEnd.DONE)
            }
        }
    }

    fun stop(run: RunId, fence: Long): OrderAnswer {
        if (fence < highestFence) return OrderAnswer(OrderResult.FENCED, clockMs)
        highestFence = fence
        if (running[run.task]?.number == run.number) {
            fleet.endPlanned(this, run)
            end(run, RunEnd.STOPPED)
        }
        closedRuns[run.task] = maxOf(closedRuns[run.task] ?: 0, run.number)
        return OrderAnswer(OrderResult.DONE, clockMs)
    }

    fun look(action: Action.Look, fence: Long, answered: (StatusAnswer) -> Unit) {
        if (fence < highestFence) return answered(StatusAnswer(clockMs, isFenced = true))
        highestFence = fence
        action.untilMs?.let(::renewLease)
        val recorded = ended.filter { it.number <= action.lastRecordedEnd }
        recorded.filter { it.end == RunEnd.DONE }.forEach { fleet.endRecorded(it.run) }
        ended.removeAll(recorded)
        val answer = {
            pendingAnswer = null
            val listed = ended.take(MAX_ENDS_PER_ANSWER)
            answered(
                StatusAnswer(
                    clockMs,
                    profile.incarnation.startedMs,
                    rows(),
                    listed,
                    hasAllEnds = listed.size < MAX_ENDS_PER_ANSWER,
                ),
            )
        }
        if (ended.isNotEmpty() || action.wait == Duration.ZERO) return answer()
        pendingAnswer = answer
        fleet.at(action.wait) { if (pendingAnswer === answer) answer() }
    }

    /** Makes the worker list [run] as in progress, whether or not it was ordered. */
    fun listAsRunning(run: RunId) {
        running[run.task] = Running(run.number, savedMs = 0, since = fleet.now, workMs = null, slowness = 1.0)
    }

    /** Makes the worker list [run] as ended, whether or not it was ordered. */
    fun listAsEnded(run: RunId, end: RunEnd) {
        endNumber += 1
        ended.add(EndedRun(endNumber, run, end, saved = ""))
        pendingAnswer?.invoke()
    }

    /** Ends the run of [task] as failed, if the task runs on this worker. */
    fun fail(task: TaskId) {
        running[task]?.let { end(RunId(task, it.number), RunEnd.FAILED) }
    }

    /** Ends the members of the gang of [run] that run on this worker. */
    fun endMembers(run: RunId, reason: RunEnd) {
        running.filter { (task, member) -> task.step == run.task.step && member.number == run.number }
            .forEach { (task, member) -> end(RunId(task, member.number), reason) }
    }

    private fun renewLease(untilMs: Long) {
        leaseMs = maxOf(leaseMs, minOf(untilMs, clockMs + fleet.maxLeaseMs))
        val until = leaseMs
        fleet.at(((until - clockMs) / clockRate).toLong().milliseconds) { if (leaseMs == until) expireLease() }
    }

    private fun expireLease() {
        if (!isUp) return
        running.toList().forEach { (task, run) -> end(RunId(task, run.number), RunEnd.LAPSED) }
        fleet.leaseExpired(this)
    }

    private fun end(run: RunId, reason: RunEnd) {
        val ending = running.remove(run.task) ?: return
        closedRuns[run.task] = maxOf(closedRuns[run.task] ?: 0, run.number)
        endNumber += 1
        ended.add(EndedRun(endNumber, run, reason, ending.saved(run, reason)))
        if (reason == RunEnd.STOPPED) fleet.wastedMs += ending.workedMs()
        fleet.runEnded(run, reason)
        pendingAnswer?.invoke()
    }

    /** Returns the saved state of a stopped task that saves its progress: the work done in ms; otherwise empty. */
    private fun Running.saved(run: RunId, reason: RunEnd): String {
        val step = fleet.state.jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)
        if (reason != RunEnd.STOPPED || step?.savesProgress != true) return ""
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
        val GANG_START_TIMEOUT: Duration = 3.seconds
        const val FULL_PERCENT = 100

        /** Maximum number of ended runs in one answer. */
        const val MAX_ENDS_PER_ANSWER = 500
    }
}
