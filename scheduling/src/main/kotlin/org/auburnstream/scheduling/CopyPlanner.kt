package org.auburnstream.scheduling

/**
 * A run in progress that may get a copy.
 *
 * @property elapsedMs time since the start of the run.
 * @property progress latest known progress, or null if the run was not listed yet.
 * @property durations distribution of the task's duration, or null if too few durations of its queue are recorded.
 * @property dueMs deadline of the job, in Unix milliseconds.
 * @property afterMs duration of the critical path after the step.
 * @property silentMs time after which the run is certainly over because its worker does not answer, else null.
 */
internal class CopyCandidate(
    val job: Job,
    val step: StepDescription,
    val run: RunId,
    val worker: WorkerIncarnation,
    val elapsedMs: Double,
    val progress: RunProgress?,
    val durations: DurationDistribution?,
    val dueMs: Long,
    val afterMs: Long,
    val silentMs: Double? = null,
)

/** Progress of a run: it had done [percent], from 0 to 100, after [elapsedMs]. */
internal data class RunProgress(val percent: Int, val elapsedMs: Double)

/**
 * A copy to start, with the inputs of the decision.
 *
 * @property restMs expected time until the run in progress completes.
 * @property freshMs expected time until the copy completes.
 */
internal class PlannedCopy(
    val candidate: CopyCandidate,
    val claim: Record.RunClaimed,
    val restMs: Double,
    val freshMs: Double,
)

/**
 * Decides which runs in progress get a copy at another worker, because they will make their job late.
 *
 * The load it answers: a few tasks in a hundred take several times as long as the others, so that a job of a dozen
 * tasks often waits for its last one while workers are idle. Such a run is recognized by its own progress, or by its
 * duration so far and the tail of its queue's durations (Zaharia et al., "Improving MapReduce performance in
 * heterogeneous environments", 2008; Ananthanarayanan et al., "Reining in the outliers", 2010). A copy starts only if
 * - it is expected to complete clearly earlier than the run in progress,
 * - the job is expected to miss its deadline without the copy and to meet it with the copy, and
 * - no task of the service waits, and copies stay a small share of the running tasks and of the free capacity, so that
 *   they give way as a burst fills the pool (Dean and Barroso, "The tail at scale", 2013).
 *
 * @property gains whether copies of a queue's tasks have completed first often enough.
 * @property mayRun whether the advice service permits a worker to run a step.
 * @property mayStart whether the tenant of a job may start one more task of a step.
 * @property started called for each copy that is planned, with its job and step.
 */
internal class CopyPlanner(
    private val state: SchedulerState,
    private val gains: (QueueName) -> Boolean = { true },
    private val mayRun: (CopyCandidate, WorkerProfile) -> Boolean = { _, _ -> true },
    private val mayStart: (Job, StepDescription) -> Boolean = { _, _ -> true },
    private val started: (Job, StepDescription) -> Unit = { _, _ -> },
) {
    /**
     * Returns the copies to start at [nowMs], the most urgent first.
     *
     * @param room free capacity of the workers of the candidates' service, which is updated.
     * @param running number of the service's tasks in progress that may have copies.
     * @param copies number of these that have a copy already.
     */
    fun plan(
        nowMs: Long,
        candidates: List<CopyCandidate>,
        room: List<WorkerCapacity>,
        running: Int,
        copies: Int,
    ): List<PlannedCopy> {
        var allowed = maxOf(MIN_COPIES, (running * MAX_SHARE).toInt()) - copies
        if (allowed <= 0) return emptyList()
        val planned = ArrayList<PlannedCopy>()
        val slow = candidates.mapNotNull { candidate -> estimate(candidate, nowMs)?.let { candidate to it } }
        for ((candidate, estimate) in slow.sortedByDescending { (_, estimate) -> estimate.restMs - estimate.freshMs }) {
            if (allowed <= 0) break
            val target = target(candidate, room) ?: continue
            target.reserve(candidate.run.task.step, candidate.step)
            started(candidate.job, candidate.step)
            allowed -= 1
            val last = state.task(candidate.run.task)?.lastRun ?: candidate.run.number
            val run = candidate.run.copy(number = last + 1)
            val claim = Record.RunClaimed(run, target.worker.incarnation, isCopy = true)
            planned.add(PlannedCopy(candidate, claim, estimate.restMs, estimate.freshMs))
        }
        return planned
    }

    /** Returns the expected times of the run and of its copy, or null if the copy does not pay. */
    private fun estimate(candidate: CopyCandidate, nowMs: Long): CopyEstimate? {
        val durations = candidate.durations ?: return null
        if (!gains(candidate.job.queue.name)) return null
        val freshMs = durations.meanMs + START_MS
        val restMs = candidate.restMs(durations, freshMs)
        val isEarlier = restMs > freshMs * MIN_GAIN_FACTOR
        val isLate = nowMs + restMs + candidate.afterMs > candidate.dueMs
        val isInTimeWithCopy = nowMs + freshMs + candidate.afterMs <= candidate.dueMs
        return CopyEstimate(restMs, freshMs).takeIf { isEarlier && isLate && isInTimeWithCopy }
    }

    /** Returns a worker for the copy: the fullest one that has the capacity twice, because half of it stays free. */
    private fun target(candidate: CopyCandidate, room: List<WorkerCapacity>): WorkerCapacity? {
        val step = candidate.step
        if (!mayStart(candidate.job, step)) return null
        val id = candidate.run.task.step
        // Far from its data a copy takes several times as long as a run near them.
        val near = room.filter { step.dataRack == null || it.rack == step.dataRack }
        val fitting = near.filter { it.fits(id, step) && mayRun(candidate, it.worker) }
        val slots = room.sumOf { step.reserved.timesIn(it.free, MAX_SLOTS) }
        if (slots < MIN_FREE_SLOTS) return null
        return fitting.filter { it.worker.incarnation.worker != candidate.worker.worker }
            .minByOrNull { it.free.millicores }
    }

    private class CopyEstimate(val restMs: Double, val freshMs: Double)

    private companion object {
        /** Share of the running tasks that may have copies: a few times the share of outliers that callers report. */
        const val MAX_SHARE = 0.1
        const val MIN_COPIES = 2

        /** Free slots from which on a copy may take one: it leaves at least as many as it takes. */
        const val MIN_FREE_SLOTS = 2
        const val MAX_SLOTS = 64

        /** Time to commit a claim and to start the run. */
        const val START_MS = 100.0

        /** Outweighs the errors of both estimates, so that a usual run that is nearly done gets no copy. */
        const val MIN_GAIN_FACTOR = 1.5
    }
}

/**
 * Returns the expected rest of the run in ms.
 *
 * @param durations distribution of the task's duration.
 * @param freshMs expected duration of a run that starts once the worker certainly lost this one.
 */
internal fun CopyCandidate.restMs(durations: DurationDistribution, freshMs: Double): Double {
    if (silentMs != null) return silentMs + freshMs
    if (progress == null || progress.percent <= 0) return durations.restMs(elapsedMs)
    // Percents are rounded down, so the total is a lower bound; the next status corrects one that has passed.
    val totalMs = progress.elapsedMs * FULL_PERCENT / (progress.percent + 1)
    return (totalMs - elapsedMs).coerceAtLeast(0.0)
}

private const val FULL_PERCENT = 100.0
