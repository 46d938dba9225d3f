package org.auburnstream.scheduling

/**
 * Tasks of one step that are ready to start.
 *
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
)

/** Finds the steps that are ready to start, from the state and the estimated durations. */
internal class WaitingSteps(private val durations: DurationEstimator) {
    /** Returns the steps with tasks ready at [nowMs]; scheduled occurrences may start [earlyMs] before they are due. */
    fun find(state: SchedulerState, nowMs: Long, earlyMs: Long): List<WaitingStep> {
        val found = ArrayList<WaitingStep>()
        for (job in state.active.values) {
            val queue = state.catalog?.queue(job.queue.name) ?: job.queue
            val schedule = job.description.schedule
            if (schedule == null) {
                collectReady(job, queue, occurrence = 0, job.acceptedMs, found)
                continue
            }
            for (number in job.nextOccurrence until schedule.occurrences) {
                val dueMs = schedule.dueMs(number)
                if (dueMs - earlyMs > nowMs) break
                if (!job.isDone(number)) collectReady(job, queue, number, dueMs, found)
            }
        }
        return found
    }

    private fun collectReady(job: Job, queue: Queue, occurrence: Int, fromMs: Long, found: MutableList<WaitingStep>) {
        val steps = job.description.steps
        val progress = job.occurrences[occurrence]?.steps
        var chains: LongArray? = null
        steps.forEachIndexed { number, description ->
            val ready = description.dependsOn.all { progress != null && progress[it].isDone }
            val own = progress?.get(number)
            if (!ready || own?.isDone == true) return@forEachIndexed
            val tasks = readyTasks(description, own, queue)
            if (tasks.isEmpty()) return@forEachIndexed
            val after = chains ?: chainsFrom(queue, steps).also { chains = it }
            found.add(
                WaitingStep(
                    job = job,
                    id = StepId(job.id, occurrence, number),
                    description = description,
                    progress = own ?: StepProgress(emptyList()),
                    queue = queue,
                    tasks = tasks,
                    dueMs = fromMs + queue.objectiveMs + (after.max() * queue.stretch).toLong(),
                    workMs = workLeft(queue, steps, progress),
                    remainingMs = after[number],
                ),
            )
        }
    }

    private fun readyTasks(description: StepDescription, progress: StepProgress?, queue: Queue): List<Int> {
        if (progress == null) return List(description.count) { it }
        if (description.gang) {
            // All members of a gang start together, once no member of an earlier run is in progress.
            if (progress.tasks.any { it.claims.isNotEmpty() }) return emptyList()
            if (progress.failedRuns.size >= queue.attempts && !description.lasting) return emptyList()
            return List(description.count) { it }
        }
        val indexes = ArrayList<Int>()
        progress.tasks.forEachIndexed { index, task ->
            val mayTry = description.lasting || task.failures < queue.attempts
            if (!task.isDone && task.claims.isEmpty() && mayTry) indexes.add(index)
        }
        return indexes
    }

    /** Returns for each step the estimated duration of the critical path that begins with it. */
    private fun chainsFrom(queue: Queue, steps: List<StepDescription>): LongArray {
        val chains = LongArray(steps.size) { durations.estimate(queue.name, steps[it].estimateMs) }
        for (number in steps.indices.reversed()) {
            for (earlier in steps[number].dependsOn) {
                val own = durations.estimate(queue.name, steps[earlier].estimateMs)
                chains[earlier] = maxOf(chains[earlier], own + chains[number])
            }
        }
        return chains
    }

    private fun workLeft(queue: Queue, steps: List<StepDescription>, progress: List<StepProgress>?): Long {
        var work = 0L
        steps.forEachIndexed { number, step ->
            val undone = progress?.get(number)?.let(::unclaimedTasks) ?: step.count
            work += undone * durations.estimate(queue.name, step.estimateMs) * step.demand.millicores
        }
        return work
    }

    /** Counts the tasks without a run in progress; a job whose tasks are mostly running needs little more to finish. */
    private fun unclaimedTasks(progress: StepProgress): Int = progress.tasks.count { !it.isDone && it.claims.isEmpty() }
}
