package org.auburnstream.scheduling

/** Why a job cannot be accepted; [message] names the value and what to change. */
public sealed interface JobProblem {
    /** Text for the caller. */
    public val message: String

    /** The payload has [bytes] bytes. */
    public data class LongPayload(val bytes: Int) : JobProblem {
        override val message: String
            get() = "the payload has $bytes bytes; send at most $MAX_PAYLOAD_BYTES"
    }

    /** The job has [steps] steps. */
    public data class StepCount(val steps: Int) : JobProblem {
        override val message: String
            get() = "the job has $steps steps; give it 1 to $MAX_STEPS"
    }

    /** The job, or one of its steps, has too few or too many tasks. */
    public data class TaskCount(val step: Int?, val tasks: Long) : JobProblem {
        override val message: String
            get() = "${step?.let { "step $it" } ?: "the job"} has $tasks tasks; give it 1 to $MAX_TASKS"
    }

    /** A step asks for less than nothing. */
    public data class NegativeDemand(val step: Int) : JobProblem {
        override val message: String
            get() = "step $step asks for a negative amount; ask for 0 or more of each resource"
    }

    /** A step depends on one that does not come before it. */
    public data class LaterDependency(val step: Int, val dependsOn: Int) : JobProblem {
        override val message: String
            get() = "step $step depends on step $dependsOn; name earlier steps only"
    }
}

/** Returns what makes this job one that cannot be accepted, or null. */
public fun JobDescription.problem(): JobProblem? {
    val bytes = payload.encodeToByteArray().size
    if (bytes > MAX_PAYLOAD_BYTES) return JobProblem.LongPayload(bytes)
    if (steps.size !in 1..MAX_STEPS) return JobProblem.StepCount(steps.size)
    steps.forEachIndexed { number, step -> step.problem(number)?.let { return it } }
    val tasks = steps.sumOf { it.count.toLong() }
    return if (tasks > MAX_TASKS) JobProblem.TaskCount(step = null, tasks) else null
}

private fun StepDescription.problem(number: Int): JobProblem? {
    val later = dependsOn.firstOrNull { it !in 0 until number }
    return when {
        later != null -> JobProblem.LaterDependency(number, later)
        count !in 1..MAX_TASKS -> JobProblem.TaskCount(number, count.toLong())
        !demand.isValid -> JobProblem.NegativeDemand(number)
        else -> null
    }
}

// Bounds of what callers may hand in: a record of the largest job stays far below the longest command of the log.
private const val MAX_PAYLOAD_BYTES = 4_000
private const val MAX_STEPS = 1_000
private const val MAX_TASKS = 10_000
