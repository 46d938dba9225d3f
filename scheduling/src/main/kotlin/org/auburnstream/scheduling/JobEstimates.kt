package org.auburnstream.scheduling

/** Estimates for the steps of [job], computed when they are first needed and shared by all its occurrences. */
internal class JobEstimates(val job: Job, val queue: Queue, private val durations: DurationEstimator) {
    private val steps = job.description.steps
    private val taskMs by lazy(LazyThreadSafetyMode.NONE) {
        LongArray(steps.size) { durations.estimate(queue.name, steps[it].estimateMs) }
    }
    private val wholeWorkMs by lazy(LazyThreadSafetyMode.NONE) { work { steps[it].count } }

    /** For each step, the duration of the critical path that begins with it. */
    val chains: LongArray by lazy(LazyThreadSafetyMode.NONE) {
        val chains = taskMs.copyOf()
        for (number in steps.indices.reversed()) {
            for (earlier in steps[number].dependsOn) {
                chains[earlier] = maxOf(chains[earlier], taskMs[earlier] + chains[number])
            }
        }
        chains
    }

    /** Deadline of an occurrence that is due at [fromMs]; the conversion from a floating-point sum saturates. */
    fun dueMs(fromMs: Long): Long = (fromMs.toDouble() + queue.objectiveMs + chains.max() * queue.stretch).toLong()

    /** Processor time of the tasks that have not started, in millicores x ms. */
    fun workLeft(progress: List<StepProgress>?): Long =
        if (progress == null) wholeWorkMs else work { unclaimedTasks(progress[it]) }

    private fun work(tasksOf: (Int) -> Int): Long =
        steps.indices.sumOf { tasksOf(it).toDouble() * taskMs[it] * steps[it].demand.millicores }.toLong()

    /** Duration of the critical path that follows the step of [number]. */
    fun afterMs(number: Int): Long = chains[number] - taskMs[number]
}

/** Counts the tasks without a run in progress; a job whose tasks are mostly running needs little more to finish. */
private fun unclaimedTasks(progress: StepProgress): Int = progress.tasks.count { !it.isDone && it.claims.isEmpty() }
