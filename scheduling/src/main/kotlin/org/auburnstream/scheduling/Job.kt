package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId

/**
 * Replicated state of an accepted job.
 *
 * @property description what the job does; its payload and images are dropped when the job ends.
 * @property queue settings of the queue when the job was accepted, used if the queue is removed from the catalog.
 * @property acceptedMs when the job was accepted, in Unix milliseconds.
 * @property owner tenant that the job belongs to, or null if it belongs to none.
 * @property endedMs when the job ended, in Unix milliseconds, or 0.
 * @property hasStarted whether a worker is known to have started a run of any task.
 */
@Serializable
public class Job(
    public val id: JobId,
    public val queue: Queue,
    public var description: JobDescription,
    public val acceptedMs: Long,
    public val owner: JobOwner? = null,
) {
    /** Current phase of the job. */
    public var phase: JobPhase = JobPhase.ACTIVE
        internal set
    public var endedMs: Long = 0
        internal set
    public var hasStarted: Boolean = false
        internal set

    internal val open: MutableMap<Int, Occurrence> = HashMap()

    /** Occurrences below this number are done; later ones may be as well. */
    internal var nextOccurrence: Int = 0
    internal val done: MutableSet<Int> = HashSet()

    /** Estimated size of the job's part of the state, in bytes. */
    internal val storedBytes: Int
        get() = if (isActive) ACTIVE_BYTES + description.size() else ENDED_BYTES + STEP_BYTES * description.steps.size

    /** Drops what only the starts of its tasks need. */
    internal fun forgetWork() {
        val steps = description.steps.map { if (it.image.isEmpty()) it else it.copy(image = "") }
        description = description.copy(payload = "", steps = steps)
    }

    /** Whether the job still has work. */
    public val isActive: Boolean
        get() = phase == JobPhase.ACTIVE

    /** Occurrences that have begun and are not done, by number. */
    public val occurrences: Map<Int, Occurrence>
        get() = open

    /** Whether all tasks of [occurrence] are done. */
    public fun isDone(occurrence: Int): Boolean = occurrence < nextOccurrence || occurrence in done

    /** Returns the description of the step of [id], or null if the job has no such task. */
    internal fun stepOf(id: TaskId): StepDescription? {
        val step = description.steps.getOrNull(id.step.step) ?: return null
        return step.takeIf { id.step.occurrence in 0 until description.occurrences && id.index in 0 until it.count }
    }

    /** Returns the progress of the step [id], and creates its occurrence if that has not begun. */
    internal fun step(id: StepId): StepProgress =
        open.getOrPut(id.occurrence) { Occurrence(description) }.steps[id.step]

    internal fun finish(occurrence: Int) {
        open.remove(occurrence)
        done.add(occurrence)
        while (done.remove(nextOccurrence)) nextOccurrence += 1
    }

    /**
     * Numbers of the occurrences that may have open tasks.
     *
     * Together they have at most as many tasks as a job without a schedule, so the state of a job is bounded however
     * many occurrences are overdue or finish out of order.
     */
    internal val openOccurrences: IntRange
        get() {
            val tasks = maxOf(1, description.steps.sumOf { it.count.toLong() })
            val end = nextOccurrence + maxOf(1, MAX_TASKS / tasks)
            return nextOccurrence until minOf(end, description.occurrences.toLong()).toInt()
        }

    internal val isWholeDone: Boolean
        get() = nextOccurrence >= description.occurrences

    private companion object {
        const val ACTIVE_BYTES = 512
        const val ENDED_BYTES = 512
        const val STEP_BYTES = 64
    }
}

/**
 * Tenant that a job belongs to.
 *
 * @property isExcess whether the tenant had used up its [Tenant.weight] when the job was accepted.
 */
@Serializable
public data class JobOwner(@SerialName("t") val tenant: TenantName, @SerialName("x") val isExcess: Boolean = false)

/** Phase of an accepted job. */
@Serializable
public enum class JobPhase {
    /** The job waits, runs, or has occurrences that are not due. */
    ACTIVE,

    /** All tasks are done. */
    COMPLETE,

    /** A task failed in its last permitted attempt, or was given up because workers crashed under it. */
    FAILED,

    /** A caller cancelled the job. */
    CANCELLED,
}

/** Progress of one occurrence of a job's steps. */
@Serializable
public class Occurrence internal constructor(public val steps: List<StepProgress>) {
    internal constructor(description: JobDescription) :
        this(description.steps.map { StepProgress(List(it.count) { Task() }) })

    internal val isDone: Boolean
        get() = steps.all { it.isDone }
}

/** Progress of the tasks of one step. */
@Serializable
public class StepProgress internal constructor(public val tasks: List<Task>) {
    /** Number of tasks that are not done. */
    internal var undone: Int = tasks.size

    /** Numbers of the gang runs that ended as failed. */
    internal val failedRuns: MutableSet<Int> = HashSet()

    /** Latest saved state of a gang, shared by all members; empty if there is none. */
    public var saved: String = ""
        internal set

    /** Whether all tasks are done. */
    public val isDone: Boolean
        get() = undone == 0
}

/**
 * Progress of one task.
 *
 * @property claims runs that may be in progress.
 */
@Serializable
public class Task internal constructor(public val claims: MutableList<Claim> = ArrayList(1)) {
    /** Whether a run completed the task. */
    public var isDone: Boolean = false
        internal set

    /** Number of the latest run, or 0. */
    public var lastRun: Int = 0
        internal set

    /** Number of runs that ended as failed. */
    public var failures: Int = 0
        internal set

    /** Latest saved state; empty if there is none. */
    public var saved: String = ""
        internal set

    /**
     * Crashes of workers under runs of the task, the oldest first.
     *
     * A run whose end is reported later did not end with its worker, and a lasting task that has worked for some time
     * starts anew.
     */
    public var crashes: List<Crash> = emptyList()
        internal set
}

/**
 * A run that may be in progress at [incarnation].
 *
 * @property claimedMs time of day of the batch that claimed the run, in Unix milliseconds, never earlier than that of a
 *   batch before; 0 if an earlier build applied it.
 */
@Serializable
public data class Claim(
    val number: Int,
    @SerialName("life") val incarnation: WorkerIncarnation,
    @SerialName("t") val claimedMs: Long = 0,
)

/** Whether [claim] of a run of this task of [step] takes effect; a copy needs one of [attempts] to be left. */
internal fun Task.accepts(claim: Record.RunClaimed, step: StepDescription, attempts: Int): Boolean = when {
    isDone -> false
    claim.isCopy ->
        step.mayHaveCopies && claim.run.number > lastRun && failures < attempts && !isGivenUp(step.lasting) &&
            claims.size == 1 && claims.single().incarnation.worker != claim.incarnation.worker
    else -> claims.isEmpty()
}

/** Claims of a task as incarnation and run number, for the log. */
internal val Task?.claimants: List<String>
    get() = this?.claims.orEmpty().map { "${it.incarnation}#${it.number}" }
