package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Collects the runs that may get copies, plans the copies with a [CopyPlanner], and records which copies gain.
 *
 * @property ending runs whose end or release waits to be committed.
 */
internal class CopyControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val durations: DurationEstimator,
    private val slowWorkers: SlowWorkerDetector,
    private val ending: Set<Pair<RunId, WorkerIncarnation>>,
    private val emit: (Action) -> Unit,
) {
    /** Copies that this leader has started and whose task is not done. */
    private val open = HashMap<TaskId, OpenCopy>()
    private val outcomes = HashMap<QueueName, CopyOutcomes>()

    /**
     * Returns the claims of the copies to start after a plan.
     *
     * @param waiting steps with tasks ready to start, some of which the [plan] has placed.
     * @param caps limits of what each tenant may have running, which contain the claims of the plan.
     * @param isUsable whether a worker accepts new tasks.
     * @param mayRun whether the advice service permits a worker to run a step of a queue.
     */
    fun decide(
        waiting: List<WaitingStep>,
        plan: Plan,
        caps: TenantCaps,
        isUsable: (Worker) -> Boolean,
        mayRun: (StepId, Queue, WorkerProfile) -> Boolean,
        isBeingCancelled: (JobId) -> Boolean,
        now: MonotonicTime,
        nowMs: Long,
    ): List<Record.RunClaimed> {
        open.values.removeAll { (state.task(it.first.task)?.claims?.size ?: 0) < 2 }
        val runs = copyableRuns(without = servicesWithWaitingTasks(waiting, plan))
        if (runs.isEmpty()) return emptyList()
        val capacities = CapacityTracker(state) { isUsable(it) && !isSlower(it, now) }
        val steps = waiting.associateBy { it.id }
        for (claim in plan.claims) {
            val step = steps[claim.run.task.step]?.description ?: continue
            capacities.at(claim.incarnation)?.reserve(claim.run.task.step, step)
        }
        val planner = CopyPlanner(
            state = state,
            gains = { queue -> outcomes[queue]?.gains(now) ?: true },
            mayRun = { candidate, worker -> mayRun(candidate.run.task.step, queueOf(candidate.job), worker) },
            mayStart = caps::mayStart,
            started = { job, step -> caps.started(job, step, tasks = 1) },
        )
        val estimates = HashMap<JobId, JobEstimates>()
        return runs.flatMap { (service, own) ->
            val (single, copied) = own.partition { it.task.claims.size == 1 }
            val candidates = single.filterNot { isBeingCancelled(it.job.id) }.mapNotNull { run ->
                val job = run.job
                candidate(run, estimates.getOrPut(job.id) { JobEstimates(job, queueOf(job), durations) }, now)
            }
            planner.plan(nowMs, candidates, capacities.of(service), running = own.size, copies = copied.size / 2)
        }.onEach { started(it, now) }.map { it.claim }
    }

    private fun isSlower(worker: Worker, now: MonotonicTime): Boolean =
        contacts.find(worker.profile.incarnation)?.let { slowWorkers.isSlower(it, now) } == true

    private fun started(copy: PlannedCopy, now: MonotonicTime) {
        val candidate = copy.candidate
        val first = candidate.run
        open[first.task] = OpenCopy(first, copy.claim.run, candidate.elapsedMs, copy.restMs, now)
        log(
            "run_copied",
            "run" to copy.claim.run,
            "worker" to copy.claim.incarnation,
            "queue" to candidate.job.queue.name,
            "elapsed_ms" to candidate.elapsedMs.toLong(),
            "percent" to candidate.progress?.percent,
            "status_age_ms" to candidate.progress?.let { (candidate.elapsedMs - it.elapsedMs).toLong() },
            "rest_ms" to copy.restMs.toLong(),
            "fresh_ms" to copy.freshMs.toLong(),
        )
    }

    /** Handles the committed end of a run: records whether the copy of its task has gained. */
    fun runEnded(end: Record.RunEnded, now: MonotonicTime) {
        if (end.end != RunEnd.DONE) return
        val copy = open.remove(end.run.task) ?: return
        val job = state.jobs[end.run.task.step.job] ?: return
        val queue = job.queue.name
        val isWon = end.run == copy.run
        if (!isWon && end.run != copy.first) return
        outcomes.getOrPut(queue) { CopyOutcomes() }.add(isWon, now)
        val sinceMs = (now - copy.startedAt).inWholeMilliseconds
        val step = job.stepOf(end.run.task)
        if (isWon && step != null && copy.first.number == 1) {
            durations.recordStopped(queue, step.estimateMs, copy.elapsedMs.toLong() + sinceMs)
        }
        log(
            if (isWon) "copy_won" else "copy_lost",
            "run" to copy.run,
            "queue" to queue,
            "since_ms" to sinceMs,
            "rest_ms" to copy.restMs.toLong(),
        )
    }

    /** Returns the services with tasks that wait for room; tasks that wait for their tenant's cap need none. */
    private fun servicesWithWaitingTasks(waiting: List<WaitingStep>, plan: Plan): Set<ServiceId> {
        val settled = HashMap<StepId, Int>()
        plan.claims.forEach { settled.merge(it.run.task.step, 1, Int::plus) }
        plan.capped.forEach { settled.merge(it.step.id, it.tasks, Int::plus) }
        return waiting.filter { it.tasks.size > (settled[it.id] ?: 0) }.mapTo(HashSet()) { it.queue.service }
    }

    /** Returns the runs of tasks that may have copies, by service, [without] some services. */
    private fun copyableRuns(without: Set<ServiceId>): Map<ServiceId, List<CopyableRun>> {
        val found = HashMap<ServiceId, ArrayList<CopyableRun>>()
        for (incarnation in state.claimedIncarnations) {
            for ((run, step) in state.claimsAt(incarnation)) {
                if (!step.mayHaveCopies || step.fillsUnused) continue
                val job = state.active[run.task.step.job] ?: continue
                val service = queueOf(job).service
                val task = state.task(run.task)?.takeIf { !it.isDone && service !in without } ?: continue
                found.getOrPut(service) { ArrayList() }.add(CopyableRun(job, step, task, run, incarnation))
            }
        }
        return found
    }

    private fun candidate(copyable: CopyableRun, estimates: JobEstimates, now: MonotonicTime): CopyCandidate? {
        val job = copyable.job
        val queue = estimates.queue
        val run = copyable.run
        val contact = contacts.find(copyable.incarnation) ?: return null
        val order = contact.orders[run] ?: return null
        val startedAt = order.startedAt ?: return null
        val isLeaving = order.isStopRequested || run to copyable.incarnation in ending
        if (isLeaving || copyable.task.failures >= minOf(queue.attempts, job.queue.attempts)) return null
        // A second run may crash a second worker at the same time.
        if (copyable.task.isSuspect) return null
        val id = run.task.step
        val fromMs = job.description.schedule?.dueMs(id.occurrence) ?: job.acceptedMs
        val status = contact.running.firstOrNull { it.run == run }
        val listedAt = contact.listedAt
        return CopyCandidate(
            job = job,
            step = copyable.step,
            run = run,
            worker = copyable.incarnation,
            elapsedMs = millis(startedAt, now),
            progress = if (status == null || listedAt == null) {
                null
            } else {
                RunProgress(status.percent, millis(startedAt, listedAt))
            },
            durations = durations.distribution(queue.name, copyable.step.estimateMs),
            dueMs = estimates.dueMs(fromMs),
            afterMs = estimates.afterMs(id.step),
            silentMs = contact.takeIf { it.failedQueries >= MIN_FAILED_QUERIES }
                ?.timeUntilExpiry(now, settings)?.toDouble(DurationUnit.MILLISECONDS),
        )
    }

    private fun millis(from: MonotonicTime, to: MonotonicTime): Double =
        (to - from).toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(0.0)

    private fun queueOf(job: Job): Queue = state.catalog?.queue(job.queue.name) ?: job.queue

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))

    private class CopyableRun(
        val job: Job,
        val step: StepDescription,
        val task: Task,
        val run: RunId,
        val incarnation: WorkerIncarnation,
    )

    /**
     * A copy [run] of the run [first], started at [startedAt].
     *
     * @property elapsedMs time that the first run had taken by then.
     * @property restMs expected rest of the first run then.
     */
    private class OpenCopy(
        val first: RunId,
        val run: RunId,
        val elapsedMs: Double,
        val restMs: Double,
        val startedAt: MonotonicTime,
    )

    private companion object {
        /** One answer may be lost without any trouble at the worker. */
        const val MIN_FAILED_QUERIES = 2
    }
}

/**
 * Counts how often the copies of one queue's tasks completed first; recent copies count more.
 *
 * Copies gain nothing where the duration belongs to the task and not to its run, and then stop until the next trial.
 */
internal class CopyOutcomes {
    private var won = 0.0
    private var total = 0.0
    private var latest: MonotonicTime? = null

    /** Adds a copy whose task was done at [now]; [isWon] tells whether by the copy. */
    fun add(isWon: Boolean, now: MonotonicTime) {
        won = won * MEMORY + if (isWon) 1 else 0
        total = total * MEMORY + 1
        latest = now
    }

    /** Whether copies complete first often enough, are too few to tell, or are due for another trial. */
    fun gains(now: MonotonicTime): Boolean {
        val since = latest ?: return true
        return total < MIN_COPIES || won >= total * MIN_WON_SHARE || now - since > TRIAL_INTERVAL
    }

    private companion object {
        /** Weight of a copy relative to the next one, so that about the last ten count. */
        const val MEMORY = 0.9
        const val MIN_COPIES = 4.0
        const val MIN_WON_SHARE = 0.25
        val TRIAL_INTERVAL = 30.seconds
    }
}
