package org.auburnstream.scheduling

/**
 * Tasks of one step that are ready to start.
 *
 * @property rank number of earlier occurrences of the job that wait as well, 0 for a job without a schedule.
 * @property tasks indexes of tasks that are not done and have no run in progress.
 * @property dueMs deadline of the job or the occurrence, in Unix milliseconds.
 * @property workMs processor time of the occurrence's tasks that have not started, in millicores x ms.
 * @property remainingMs duration of the critical path from this step on.
 */
internal class WaitingStep(
    val job: Job,
    val id: StepId,
    val description: StepDescription,
    val progress: StepProgress,
    val queue: Queue,
    val tasks: List<Int>,
    val dueMs: Long,
    val workMs: Long,
    val remainingMs: Long,
    val rank: Int = 0,
) {
    /** Returns this step with only the first [count] of its [tasks]. */
    fun withFirst(count: Int): WaitingStep = if (count >= tasks.size) this else with(tasks.subList(0, count))

    /** Returns this step with only [tasks], which are some of its own. */
    fun with(tasks: List<Int>): WaitingStep = WaitingStep(
        job = job,
        id = id,
        description = description,
        progress = progress,
        queue = queue,
        tasks = tasks,
        dueMs = dueMs,
        workMs = workMs,
        remainingMs = remainingMs,
        rank = rank,
    )
}

/**
 * Finds the steps that are ready to start, from the state and the estimated durations.
 *
 * A job may have any number of overdue occurrences, so a search returns only the first ones of each: no more tasks than
 * a plan can place, and fewer if many jobs have overdue occurrences. The others follow as these start.
 */
internal class WaitingSteps(private val durations: DurationEstimator) {
    /** Returns the steps with tasks ready at [nowMs]; scheduled occurrences may start [earlyMs] before they are due. */
    fun find(state: SchedulerState, nowMs: Long, earlyMs: Long): List<WaitingStep> {
        val latestDueMs = nowMs + earlyMs
        val dueJobs = state.active.values.count { it.isOccurrenceDue(it.nextOccurrence, latestDueMs) }
        val tasksPerJob = (MAX_SCHEDULED_TASKS / maxOf(1, dueJobs)).coerceIn(1, MAX_TASKS_PER_JOB)
        val found = ArrayList<WaitingStep>()
        for (job in state.active.values) {
            val estimates = JobEstimates(job, state.catalog?.queue(job.queue.name) ?: job.queue, durations)
            val schedule = job.description.schedule
            if (schedule == null) {
                collectReady(estimates, occurrence = 0, job.acceptedMs, rank = 0, found)
            } else {
                collectDue(estimates, schedule, latestDueMs, tasksPerJob, found)
            }
        }
        return found
    }

    private fun collectDue(
        estimates: JobEstimates,
        schedule: Schedule,
        latestDueMs: Long,
        maxTasks: Int,
        found: MutableList<WaitingStep>,
    ) {
        val job = estimates.job
        var tasks = 0
        var rank = 0
        for (number in job.openOccurrences) {
            if (tasks >= maxTasks || !job.isOccurrenceDue(number, latestDueMs)) return
            if (job.isDone(number)) continue
            val ready = collectReady(estimates, number, schedule.dueMs(number), rank, found)
            if (ready > 0) rank += 1
            tasks += ready
        }
    }

    private fun Job.isOccurrenceDue(number: Int, latestDueMs: Long): Boolean =
        description.schedule?.let { number < it.occurrences && it.dueMs(number) <= latestDueMs } ?: false

    /** Adds the steps of [occurrence] with ready tasks to [found] and returns the number of these tasks. */
    private fun collectReady(
        estimates: JobEstimates,
        occurrence: Int,
        fromMs: Long,
        rank: Int,
        found: MutableList<WaitingStep>,
    ): Int {
        val job = estimates.job
        val queue = estimates.queue
        val progress = job.occurrences[occurrence]?.steps
        val workMs by lazy(LazyThreadSafetyMode.NONE) { estimates.workLeft(progress) }
        var collected = 0
        job.description.steps.forEachIndexed { number, description ->
            val ready = description.dependsOn.all { progress != null && progress[it].isDone }
            val own = progress?.get(number)
            if (!ready || own?.isDone == true) return@forEachIndexed
            val tasks = readyTasks(description, own, queue)
            if (tasks.isEmpty()) return@forEachIndexed
            collected += tasks.size
            found.add(
                WaitingStep(
                    job = job,
                    id = StepId(job.id, occurrence, number),
                    description = description,
                    progress = own ?: StepProgress(emptyList()),
                    queue = queue,
                    tasks = tasks,
                    dueMs = estimates.dueMs(fromMs),
                    workMs = workMs,
                    remainingMs = estimates.chains[number],
                    rank = rank,
                ),
            )
        }
        return collected
    }

    private fun readyTasks(description: StepDescription, progress: StepProgress?, queue: Queue): List<Int> {
        if (progress == null) return Indexes(description.count)
        if (description.gang) {
            // All members of a gang start together, once no member of an earlier run is in progress.
            if (progress.tasks.any { it.claims.isNotEmpty() }) return emptyList()
            if (progress.failedRuns.size >= queue.attempts && !description.lasting) return emptyList()
            return Indexes(description.count)
        }
        val indexes = ArrayList<Int>()
        progress.tasks.forEachIndexed { index, task ->
            val mayTry = description.lasting || task.failures < queue.attempts
            if (!task.isDone && task.claims.isEmpty() && mayTry) indexes.add(index)
        }
        return indexes
    }

    /** The indexes below [size], which take no memory each. */
    private class Indexes(override val size: Int) : AbstractList<Int>() {
        override fun get(index: Int): Int = index
    }

    private companion object {
        /** Number of tasks that a plan places at most. */
        const val MAX_TASKS_PER_JOB = 400

        /** Tasks of scheduled jobs that one search returns; sorting them takes a few ms. */
        const val MAX_SCHEDULED_TASKS = 4_000
    }
}
