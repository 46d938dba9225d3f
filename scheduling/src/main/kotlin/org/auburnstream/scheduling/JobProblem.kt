package org.auburnstream.scheduling

/** Reason why a job description is invalid; [message] names the invalid value and how to correct it. */
public sealed interface JobProblem {
    /** Message for the caller. */
    public val message: String

    /** The payload is too long: it has [bytes] bytes. */
    public data class LongPayload(val bytes: Int) : JobProblem {
        override val message: String
            get() = "the payload has $bytes bytes; send at most $MAX_PAYLOAD_BYTES"
    }

    /** The job has no steps or too many: it has [steps]. */
    public data class StepCount(val steps: Int) : JobProblem {
        override val message: String
            get() = "the job has $steps steps; give it 1 to $MAX_STEPS"
    }

    /** The job, or its step [step] if that is not null, has too few or too many tasks. */
    public data class TaskCount(val step: Int?, val tasks: Long) : JobProblem {
        override val message: String
            get() = "${step?.let { "step $it" } ?: "the job"} has $tasks tasks; give it 1 to $MAX_TASKS"
    }

    /** A step requests a negative amount of a resource. */
    public data class NegativeDemand(val step: Int) : JobProblem {
        override val message: String
            get() = "step $step asks for a negative amount; ask for 0 or more of each resource"
    }

    /** The schedule has no occurrence, or each occurrence is due before the one that precedes it. */
    public data class InvalidSchedule(val occurrences: Int, val intervalMs: Long) : JobProblem {
        override val message: String
            get() = "the schedule has $occurrences occurrences every $intervalMs ms; give it at least 1 every 0 ms"
    }

    /** A limit of a step is negative. */
    public data class NegativeLimit(val step: Int, val limit: Int) : JobProblem {
        override val message: String
            get() = "step $step has a limit of $limit tasks; give it 0 for none, or more"
    }

    /** A step depends on itself, on a later step or on one that does not exist. */
    public data class LaterDependency(val step: Int, val dependsOn: Int) : JobProblem {
        override val message: String
            get() = "step $step depends on step $dependsOn; name earlier steps only"
    }
}

/** Returns the first problem that makes this job invalid, or null if it is valid. */
public fun JobDescription.problem(): JobProblem? {
    val bytes = payload.encodeToByteArray().size
    if (bytes > MAX_PAYLOAD_BYTES) return JobProblem.LongPayload(bytes)
    if (steps.size !in 1..MAX_STEPS) return JobProblem.StepCount(steps.size)
    schedule?.let { if (it.occurrences < 1 || it.intervalMs < 0) return it.problem() }
    steps.forEachIndexed { number, step -> step.problem(number)?.let { return it } }
    val tasks = steps.sumOf { it.count.toLong() }
    return if (tasks > MAX_TASKS) JobProblem.TaskCount(step = null, tasks) else null
}

private fun Schedule.problem() = JobProblem.InvalidSchedule(occurrences, intervalMs)

private fun StepDescription.problem(number: Int): JobProblem? {
    val later = dependsOn.firstOrNull { it !in 0 until number }
    return when {
        later != null -> JobProblem.LaterDependency(number, later)
        count !in 1..MAX_TASKS -> JobProblem.TaskCount(number, count.toLong())
        !demand.isValid -> JobProblem.NegativeDemand(number)
        minOf(maxPerWorker, mayMiss) < 0 -> JobProblem.NegativeLimit(number, minOf(maxPerWorker, mayMiss))
        else -> null
    }
}

// Limits on submitted jobs: the record of the largest job stays far below the maximum size of a log command.
private const val MAX_PAYLOAD_BYTES = 4_000
private const val MAX_STEPS = 1_000
internal const val MAX_TASKS = 10_000
