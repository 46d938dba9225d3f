package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What must always hold, each as callers, workers and the platform see it. */
internal enum class Invariant { TWICE, ORDER, BUDGET, ROOM, GANG, UNASKED, REFUSED, LOST, AVAILABILITY, WAVE_CAP, ONE }

/** A rule that was seen to be broken. */
internal data class Violation(val invariant: Invariant, val at: MonotonicTime, val detail: String) {
    override fun toString(): String = "$invariant at $at: $detail"
}

/**
 * Watches callers, workers and VMs from outside, and knows nothing of the state that decides.
 *
 * @property now reading of the virtual clock.
 */
internal class InvariantChecker(private val now: () -> MonotonicTime) {
    val violations = ArrayList<Violation>()
    private val jobs = HashMap<JobId, SubmittedJob>()
    private val offers = HashMap<CallId, JobId>()
    private val cancels = HashMap<CallId, JobId>()
    private val done = HashSet<TaskId>()

    /** Tasks whose end as done was taken note of. */
    private val noted = HashSet<TaskId>()

    /** Runs that ended as done, of which no note was taken, with the starts of their tasks since. */
    private val unnoted = HashMap<RunId, ArrayList<Violation>>()
    private val running = HashMap<RunId, VirtualWorker>()
    private val failures = HashMap<TaskId, Int>()
    private val away = HashMap<TaskId, Away>()
    private val waves = HashMap<Long, Int>()
    private val holders = HashMap<VmId, Holder>()
    private val inUpkeep = HashMap<Long, HashSet<VmId>>()

    fun called(event: Event) {
        when (event) {
            is Event.JobSubmitted -> {
                offers[event.call] = event.id
                jobs.getOrPut(event.id) { SubmittedJob(event.description, event.queue) }
            }
            is Event.CancelRequested -> cancels[event.call] = event.id
            is Event.WaveSubmitted -> waves[event.wave] = event.cap
            else -> Unit
        }
    }

    fun answered(call: CallId, reply: Reply) {
        offers[call]?.let { id ->
            val job = jobs.getValue(id)
            if (reply == Reply.Accepted) job.isAccepted = true
            if (reply is Reply.NotAccepted) job.refusals += 1
            checkRefusal(id, job)
        }
        cancels[call]?.let { if (reply == Reply.Accepted) jobs.getValue(it).cancelledAt = now() }
    }

    fun started(worker: VirtualWorker, order: Action.Start) {
        val run = order.run
        val step = run.task.step
        val job = jobs[step.job]
        val description = job?.description?.steps?.getOrNull(step.step)
        if (job == null || description == null) return report(Invariant.UNASKED, "$run was never handed in")
        if (order.payload != job.description.payload) report(Invariant.UNASKED, "$run starts with '${order.payload}'")
        val cancelledFor = job.cancelledAt?.let { now() - it }
        if (cancelledFor != null && cancelledFor > CANCEL_TIME) report(Invariant.UNASKED, "$run starts though cancelled")
        running.filterKeys { it.task == run.task }.forEach { (_, other) ->
            report(Invariant.TWICE, "$run starts while it runs at ${other.profile.life}")
        }
        val again = Violation(Invariant.TWICE, now(), "$run starts after its task was done")
        if (run.task in noted) violations.add(again)
        unnoted.filterKeys { it.task == run.task }.forEach { (_, starts) -> starts.add(again) }
        val open = description.dependsOn.filter { earlier ->
            (0 until job.description.steps[earlier].count).any { TaskId(step.copy(step = earlier), it) !in done }
        }
        if (open.isNotEmpty()) report(Invariant.ORDER, "$run starts before steps $open are done")
        val failed = failures[run.task] ?: 0
        if (!description.lasting &&
            failed >= job.queue.attempts
        ) {
            report(Invariant.BUDGET, "$run starts after $failed failures")
        }
        running[run] = worker
        away.remove(run.task)
        job.hasStarted = true
        checkRefusal(step.job, job)
        checkRoom(worker, run, description, job.queue.service)
    }

    fun ended(run: RunId, how: RunEnd) {
        val worker = running.remove(run) ?: return
        when (how) {
            RunEnd.DONE -> {
                done.add(run.task)
                unnoted[run] = ArrayList()
            }
            RunEnd.FAILED -> failures.merge(run.task, 1, Int::plus)
            RunEnd.ALONE -> report(Invariant.GANG, "$run ended alone at ${worker.profile.life}")
            else -> Unit
        }
        if (stepOf(run)?.lasting == true) away[run.task] = Away(now(), isPlanned = false)
    }

    /** Notes that the end of [run] as done was taken note of; a start after such an end is a fault for good. */
    fun noted(run: RunId) {
        violations.addAll(unnoted.remove(run).orEmpty())
        // The end of one member of a gang is that of all.
        val isGang = stepOf(run)?.gang == true
        if (isGang) done.filterTo(noted) { it.step == run.task.step } else noted.add(run.task)
    }

    /** Notes that an order ends [run], before the run ends. */
    fun planned(worker: VirtualWorker, run: RunId) {
        val step = stepOf(run)
        val isWatched = run in running && step != null && step.lasting && step.mayMiss > 0 && worker.isReachable
        if (!isWatched || jobs.getValue(run.task.step.job).isCancelled) return
        val others = (0 until step!!.count).map { TaskId(run.task.step, it) }.count { task ->
            task != run.task && away[task]?.let { it.isPlanned || now() - it.since > NOTICE_TIME } ?: false
        }
        if (others >= step.mayMiss) report(Invariant.AVAILABILITY, "$run is ended while $others others are away")
        running.remove(run)
        away[run.task] = Away(now(), isPlanned = true)
    }

    /** Notes that an order for [vm] under the leader's token [fence] has arrived at the platform. */
    fun vmOrdered(vm: VmId, fence: Long) {
        val last = holders.put(vm, Holder(fence, now()))
        if (last == null || last.fence == fence) return
        if (fence < last.fence) report(Invariant.ONE, "$vm is ordered by leader $fence after leader ${last.fence}")
        if (now() - last.at < LEASE) report(Invariant.ONE, "$vm is ordered by two leaders within ${now() - last.at}")
    }

    fun upkeepBegun(wave: Long, vm: VmId) {
        val down = inUpkeep.getOrPut(wave) { HashSet() }
        val cap = waves[wave] ?: return report(Invariant.UNASKED, "wave $wave was never asked for")
        if (vm !in down && down.size >= cap) report(Invariant.WAVE_CAP, "$vm goes down while $down are")
        down.add(vm)
    }

    fun upkeepOver(wave: Long, vm: VmId) {
        inUpkeep[wave]?.remove(vm)
    }

    fun members(run: RunId): Int = running.keys.count { it.task.step == run.task.step && it.number == run.number }

    /** Checks that every accepted job is what it should be once the fleet has been calm for long. */
    fun checkEnd(phase: (JobId) -> JobPhase?) {
        for ((id, job) in jobs) {
            val shown = phase(id)
            val lasting = job.description.steps.any { it.lasting }
            when {
                !job.isAccepted || job.isCancelled -> Unit
                shown == null -> report(Invariant.LOST, "$id was accepted and is not known")
                lasting -> checkLasting(id, job, shown)
                shown == JobPhase.FAILED -> {
                    val isTrue = failures.any { (task, count) -> task.step.job == id && count >= job.queue.attempts }
                    if (!isTrue) report(Invariant.LOST, "$id is shown as failed without cause")
                }
                shown != JobPhase.COMPLETE -> report(Invariant.LOST, "$id was accepted and is $shown")
                else -> checkComplete(id, job)
            }
        }
    }

    private fun checkLasting(id: JobId, job: SubmittedJob, shown: JobPhase) {
        val wanted = job.description.steps.sumOf { it.count }
        val runs = running.keys.count { it.task.step.job == id }
        if (shown != JobPhase.ACTIVE || runs < wanted) report(Invariant.LOST, "$id is $shown with $runs of $wanted runs")
    }

    private fun checkComplete(id: JobId, job: SubmittedJob) {
        val open = job.description.steps.withIndex().flatMap { (number, step) ->
            (0 until step.count).map { TaskId(StepId(id, occurrence = 0, number), it) }
        }.filterNot { it in done }
        if (open.isNotEmpty()) report(Invariant.LOST, "$id is shown as complete, but not $open")
    }

    private fun checkRefusal(id: JobId, job: SubmittedJob) {
        if (job.hasStarted && !job.isAccepted && job.refusals > 0) report(Invariant.REFUSED, "$id starts though refused")
    }

    private fun checkRoom(worker: VirtualWorker, run: RunId, step: StepDescription, service: ServiceId) {
        val here = running.filterValues { it === worker }.keys
        val used = here.mapNotNull(::stepOf).fold(Resources.None) { sum, step -> sum + step.reserved }
        val profile = worker.profile
        val label = step.requiredLabel
        val count = here.count { it.task.step == run.task.step }
        when {
            !used.fitsIn(profile.capacity) -> report(Invariant.ROOM, "$run brings ${profile.life} to $used")
            label != null && label !in profile.labels -> report(Invariant.ROOM, "$run needs $label at ${profile.life}")
            step.maxPerWorker in 1 until count -> report(Invariant.ROOM, "$run is one of $count at ${profile.life}")
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

    private class Away(val since: MonotonicTime, val isPlanned: Boolean)

    private class Holder(val fence: Long, val at: MonotonicTime)

    private companion object {
        val LEASE: Duration = 3_000.milliseconds
        val CANCEL_TIME: Duration = 3_000.milliseconds
        val NOTICE_TIME: Duration = 4_500.milliseconds
    }
}
