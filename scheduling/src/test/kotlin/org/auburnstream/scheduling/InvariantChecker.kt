package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Invariants of the scheduler, as observed by callers, workers and the platform. */
internal enum class Invariant {
    TWICE,
    ORDER,
    BUDGET,
    ROOM,
    GANG,
    UNASKED,
    REFUSED,
    LOST,
    AVAILABILITY,
    WAVE_CAP,
    ONE,
    COPIES,
}

/** Violation of an invariant. */
internal data class Violation(val invariant: Invariant, val at: MonotonicTime, val detail: String) {
    override fun toString(): String = "$invariant at $at: $detail"
}

/**
 * Checks the invariants from the events at callers, workers and VMs, without access to the coordinator's state.
 *
 * @property now returns the reading of the virtual clock.
 * @property isDeadly whether a task crashes each worker that starts it.
 */
internal class InvariantChecker(
    private val now: () -> MonotonicTime,
    private val isDeadly: (TaskId) -> Boolean = { false },
) {
    val violations = ArrayList<Violation>()
    private val jobs = HashMap<JobId, SubmittedJob>()
    private val submissions = HashMap<CallId, JobId>()
    private val cancels = HashMap<CallId, JobId>()
    private val done = HashSet<TaskId>()

    /** Tasks whose completion is recorded. */
    private val recordedTasks = HashSet<TaskId>()

    /**
     * Tasks whose completion was recorded only after the lease of its worker had expired, with the time of the record.
     *
     * The worker's run counted as lost by then, so a start order that was sent before may still be carried out.
     */
    private val recordedLate = HashMap<TaskId, MonotonicTime>()
    private val startsSent = HashMap<RunId, MonotonicTime>()
    private val copies = CopyChecker(now) { detail -> report(Invariant.COPIES, detail) }

    /**
     * Completed runs whose end is not recorded yet, with the later starts of their tasks.
     *
     * The starts become violations when the end is recorded.
     */
    private val unrecordedEnds = HashMap<RunId, UnrecordedEnd>()
    private val running = HashMap<RunId, VirtualWorker>()
    private val failures = HashMap<TaskId, Int>()

    /** Number of workers that crashed under each task. */
    val crashes = HashMap<TaskId, Int>()

    /** Starts of each deadly task after the third crash under it. */
    private val startsAfterCrashes = HashMap<TaskId, Int>()
    private val unavailable = HashMap<TaskId, Unavailability>()
    private val waves = HashMap<Long, Int>()
    private val lastOrders = HashMap<VmId, VmOrder>()
    private val vmsInMaintenance = HashMap<Long, HashSet<VmId>>()

    fun requestSent(event: Event) {
        when (event) {
            is Event.JobSubmitted -> {
                submissions[event.call] = event.id
                jobs.getOrPut(event.id) { SubmittedJob(event.description, event.queue) }
            }
            is Event.CancelRequested -> cancels[event.call] = event.id
            is Event.WaveSubmitted -> waves[event.wave] = event.cap
            else -> Unit
        }
    }

    fun replyReceived(call: CallId, reply: Reply) {
        submissions[call]?.let { id ->
            val job = jobs.getValue(id)
            if (reply == Reply.Accepted) job.isAccepted = true
            if (reply is Reply.NotAccepted) job.refusals += 1
            checkRefusal(id, job)
        }
        cancels[call]?.let { if (reply == Reply.Accepted) jobs.getValue(it).cancelledAt = now() }
    }

    /** Handles that the start order for [run] is sent. */
    fun startSent(run: RunId) {
        startsSent.putIfAbsent(run, now())
    }

    fun runStarted(worker: VirtualWorker, order: Action.Start) {
        val run = order.run
        val step = run.task.step
        val job = jobs[step.job]
        val description = job?.description?.steps?.getOrNull(step.step)
        if (job == null ||
            description == null
        ) {
            return report(Invariant.UNASKED, "$run belongs to a job that was never submitted")
        }
        if (order.payload != job.description.payload) report(Invariant.UNASKED, "$run starts with '${order.payload}'")
        val cancelledFor = job.cancelledAt?.let { now() - it }
        if (cancelledFor != null && cancelledFor > MAX_CANCEL_TIME) {
            report(Invariant.UNASKED, "$run starts although its job was cancelled")
        }
        checkOtherRuns(run, worker, description)
        val open = description.dependsOn.filter { earlier ->
            (0 until job.description.steps[earlier].count).any { TaskId(step.copy(step = earlier), it) !in done }
        }
        if (open.isNotEmpty()) report(Invariant.ORDER, "$run starts before steps $open are done")
        val failed = failuresBefore(run.task, description)
        if (!description.lasting &&
            failed >= job.queue.attempts
        ) {
            report(Invariant.BUDGET, "$run starts after $failed failures")
        }
        if ((crashes[run.task] ?: 0) >= MAX_CRASHES && isDeadly(run.task)) {
            val starts = startsAfterCrashes.merge(run.task, 1, Int::plus) ?: 0
            if (starts == MAX_LATER_STARTS) report(Invariant.BUDGET, "$run starts after ${crashes[run.task]} crashes")
        }
        running[run] = worker
        unavailable.remove(run.task)
        job.hasStarted = true
        checkRefusal(step.job, job)
        checkRoom(worker, run, description, job.queue.service)
    }

    fun runEnded(run: RunId, end: RunEnd) {
        val worker = running.remove(run) ?: return
        copies.runEnded(run)
        when (end) {
            RunEnd.DONE -> {
                done.add(run.task)
                unrecordedEnds[run] = UnrecordedEnd(worker)
            }
            RunEnd.FAILED -> failures.merge(run.task, 1, Int::plus)
            RunEnd.ALONE -> report(Invariant.GANG, "$run ended alone at ${worker.profile.incarnation}")
            else -> Unit
        }
        if (stepOf(run)?.lasting == true) unavailable[run.task] = Unavailability(now(), isPlanned = false)
    }

    /** Handles that a worker crashed under [run]; called before the run ends. */
    fun workerCrashed(run: RunId) {
        crashes.merge(run.task, 1, Int::plus)
    }

    /** Handles that the failure of [run] is recorded. */
    fun failureRecorded(run: RunId) = copies.failureRecorded(run.task)

    /** Handles that the completion of [run] is recorded, which turns starts after the completion into violations. */
    fun endRecorded(run: RunId) {
        val end = unrecordedEnds.remove(run)
        violations.addAll(end?.restarts.orEmpty())
        copies.endRecorded(run.task)
        // The completion of one member of a gang completes all members.
        val isGang = stepOf(run)?.gang == true
        val tasks = if (isGang) done.filter { it.step == run.task.step } else listOf(run.task)
        if (end?.isLapsed == true) {
            tasks.filter { it !in recordedTasks }.forEach { recordedLate.putIfAbsent(it, now()) }
        } else {
            tasks.filterTo(recordedTasks) { it !in recordedLate }
        }
    }

    /** Handles that the lease of [worker] has expired, so that its unrecorded ends no longer forbid a restart. */
    fun leaseExpired(worker: VirtualWorker) {
        unrecordedEnds.values.filter { it.worker === worker }.forEach { it.isLapsed = true }
    }

    /** Handles that an order is about to end [run]; called before the run ends. */
    fun endPlanned(worker: VirtualWorker, run: RunId) {
        val step = stepOf(run)
        val isWatched = run in running && step != null && step.lasting && step.mayMiss > 0 && worker.isReachable
        if (!isWatched || jobs.getValue(run.task.step.job).isCancelled) return
        val others = (0 until step!!.count).map { TaskId(run.task.step, it) }.count { task ->
            task != run.task &&
                unavailable[task]?.let { it.isPlanned || now() - it.since > UNAVAILABILITY_GRACE } ?: false
        }
        if (others >=
            step.mayMiss
        ) {
            report(Invariant.AVAILABILITY, "$run is ended while $others other tasks are unavailable")
        }
        running.remove(run)
        unavailable[run.task] = Unavailability(now(), isPlanned = true)
    }

    /** Handles the arrival of an order for [vm] at the platform; [fence] is the fencing token of its leader. */
    fun vmOrderReceived(vm: VmId, fence: Long) {
        val last = lastOrders.put(vm, VmOrder(fence, now()))
        if (last == null || last.fence == fence) return
        if (fence < last.fence) report(Invariant.ONE, "$vm is ordered by leader $fence after leader ${last.fence}")
        if (now() - last.at < LEADER_LEASE) {
            report(Invariant.ONE, "$vm is ordered by two leaders within ${now() - last.at}")
        }
    }

    fun maintenanceStarted(wave: Long, vm: VmId) {
        val down = vmsInMaintenance.getOrPut(wave) { HashSet() }
        val cap = waves[wave] ?: return report(Invariant.UNASKED, "wave $wave was never submitted")
        if (vm !in down && down.size >= cap) report(Invariant.WAVE_CAP, "$vm goes down while $down are in maintenance")
        down.add(vm)
    }

    fun maintenanceEnded(wave: Long, vm: VmId) {
        vmsInMaintenance[wave]?.remove(vm)
    }

    fun runningMembers(run: RunId): Int = running.keys.count {
        it.task.step == run.task.step && it.number == run.number
    }

    /** Checks the phase of every accepted job at the end of a simulation, when all jobs had enough time to finish. */
    fun checkFinalState(phaseOf: (JobId) -> JobPhase?) {
        running.forEach { (run, worker) -> if (worker.isUp) copies.checkStopped(run) }
        for ((id, job) in jobs) {
            val phase = phaseOf(id)
            val lasting = job.description.steps.any { it.lasting }
            when {
                !job.isAccepted || job.isCancelled -> Unit
                phase == JobPhase.FAILED && mayBeGivenUp(id) -> Unit
                phase == null -> report(Invariant.LOST, "$id was accepted and is not known")
                lasting -> checkLasting(id, job, phase)
                phase == JobPhase.FAILED -> {
                    val isTrue = failures.any { (task, count) -> task.step.job == id && count >= job.queue.attempts }
                    if (!isTrue) report(Invariant.LOST, "$id is shown as failed without cause")
                }
                phase != JobPhase.COMPLETE -> report(Invariant.LOST, "$id was accepted and is $phase")
                else -> checkComplete(id, job)
            }
        }
    }

    private fun mayBeGivenUp(id: JobId): Boolean =
        crashes.any { (task, count) -> task.step.job == id && count >= MIN_CRASHES && isDeadly(task) }

    private fun checkLasting(id: JobId, job: SubmittedJob, phase: JobPhase) {
        val wanted = job.description.steps.sumOf { it.count }
        val runs = running.keys.count { it.task.step.job == id }
        if (phase != JobPhase.ACTIVE ||
            runs < wanted
        ) {
            report(Invariant.LOST, "$id is $phase with $runs of $wanted runs")
        }
    }

    private fun checkComplete(id: JobId, job: SubmittedJob) {
        val open = job.description.steps.withIndex().flatMap { (number, step) ->
            (0 until step.count).map { TaskId(StepId(id, occurrence = 0, number), it) }
        }.filterNot { it in done }
        if (open.isNotEmpty()) report(Invariant.LOST, "$id is shown as complete, but not $open")
    }

    private fun checkRefusal(id: JobId, job: SubmittedJob) {
        if (job.hasStarted && !job.isAccepted &&
            job.refusals > 0
        ) {
            report(Invariant.REFUSED, "$id starts although it was refused")
        }
    }

    private fun checkOtherRuns(run: RunId, worker: VirtualWorker, description: StepDescription) {
        val others = running.filterKeys { it.task == run.task }
        val restart = Violation(Invariant.TWICE, now(), "$run starts after its task was done")
        if (description.mayHaveCopies) {
            copies.runStarted(run, worker, others)
            if (copies.isLongDone(run.task) && worker.canSend) violations.add(restart)
        } else {
            others.forEach { (_, other) ->
                report(Invariant.TWICE, "$run starts while it runs at ${other.profile.incarnation}")
            }
            val isSentAfterRecord = recordedLate[run.task]?.let { (startsSent[run] ?: now()) > it } == true
            if (run.task in recordedTasks || isSentAfterRecord) violations.add(restart)
            unrecordedEnds.filterKeys { it.task == run.task }.forEach { (_, end) -> end.restarted(restart) }
        }
    }

    private fun failuresBefore(task: TaskId, description: StepDescription): Int =
        if (description.mayHaveCopies) copies.longFailed(task) else failures[task] ?: 0

    private fun checkRoom(worker: VirtualWorker, run: RunId, step: StepDescription, service: ServiceId) {
        val here = running.filterValues { it === worker }.keys
        val used = here.mapNotNull(::stepOf).fold(Resources.None) { sum, step -> sum + step.reserved }
        val profile = worker.profile
        val capacity = profile.capacity.copy(millicores = worker.largestMillicores(RESIZE_GRACE))
        val label = step.requiredLabel
        val count = here.count { it.task.step == run.task.step }
        when {
            !used.fitsIn(
                capacity,
            ) -> report(Invariant.ROOM, "$run raises the reserved resources of ${profile.incarnation} to $used")
            label != null && label !in profile.labels -> report(
                Invariant.ROOM,
                "$run needs label $label, which ${profile.incarnation} lacks",
            )
            step.maxPerWorker in 1 until count -> report(
                Invariant.ROOM,
                "$run is one of $count tasks of its step on ${profile.incarnation}",
            )
            profile.service != service -> report(Invariant.ROOM, "$run of $service starts in ${profile.service}")
        }
    }

    private fun stepOf(run: RunId): StepDescription? =
        jobs[run.task.step.job]?.description?.steps?.getOrNull(run.task.step.step)

    private fun report(invariant: Invariant, detail: String) {
        violations.add(Violation(invariant, now(), detail))
    }

    private class SubmittedJob(val description: JobDescription, val queue: Queue) {
        var isAccepted = false
        var refusals = 0
        var hasStarted = false
        var cancelledAt: MonotonicTime? = null
        val isCancelled: Boolean
            get() = cancelledAt != null
    }

    /** Completed run of [worker] whose end is not recorded yet. */
    private class UnrecordedEnd(val worker: VirtualWorker) {
        /** Later starts of the task, before the worker's lease expired. */
        val restarts = ArrayList<Violation>()

        /** Whether the worker's lease has expired since, after which the leader may not know of the end. */
        var isLapsed = false

        fun restarted(violation: Violation) {
            if (!isLapsed) restarts.add(violation)
        }
    }

    private class Unavailability(val since: MonotonicTime, val isPlanned: Boolean)

    private class VmOrder(val fence: Long, val at: MonotonicTime)

    private companion object {
        /** Crashes under a task after which its job may be given up. */
        const val MIN_CRASHES = 2

        /** Crashes under a task after which it may start only a few times more. */
        const val MAX_CRASHES = 3
        const val MAX_LATER_STARTS = 3

        /** Time for which a leader in touch may not know of a smaller capacity: three seconds and a report. */
        val RESIZE_GRACE: Duration = 4_500.milliseconds
        val LEADER_LEASE: Duration = 3_000.milliseconds
        val MAX_CANCEL_TIME: Duration = 3_000.milliseconds
        val UNAVAILABILITY_GRACE: Duration = 4_500.milliseconds
    }
}
