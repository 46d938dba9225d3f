package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources

/**
 * Describes the work of a job as submitted by a caller.
 *
 * @property payload opaque text that is passed to each task.
 * @property schedule times at which the steps run, or null if they run once and immediately.
 */
@Serializable
public data class JobDescription(
    @SerialName("p") val payload: String,
    @SerialName("s") val steps: List<StepDescription>,
    @SerialName("t") val schedule: Schedule? = null,
) {
    /** Number of times the steps run. */
    val occurrences: Int
        get() = schedule?.occurrences ?: 1
}

/**
 * Defines the times at which a job's steps run.
 *
 * @property occurrences number of times that the steps run, at least 1.
 * @property firstMs due time of the first occurrence, in Unix milliseconds.
 * @property intervalMs time between the due times of two occurrences, not negative.
 */
@Serializable
public data class Schedule(
    @SerialName("n") val occurrences: Int,
    @SerialName("f") val firstMs: Long,
    @SerialName("i") val intervalMs: Long,
) {
    /** Returns the due time of [occurrence], counted from 0, in Unix milliseconds; [Long.MAX_VALUE] if it is beyond. */
    public fun dueMs(occurrence: Int): Long = try {
        Math.addExact(firstMs, Math.multiplyExact(occurrence.toLong(), intervalMs))
    } catch (_: ArithmeticException) {
        Long.MAX_VALUE
    }
}

/**
 * Describes the identical tasks of one step of a job.
 *
 * @property count number of tasks, at least 1.
 * @property demand resources that one task requires.
 * @property estimateMs rough estimate of the duration of one task; 0 if there is none.
 * @property dependsOn numbers of earlier steps whose tasks must all be done first.
 * @property savesProgress whether a task can resume from a saved state.
 * @property gang whether the tasks can only run together and end together.
 * @property prefersOneRack whether the tasks are slower when they run on several racks.
 * @property requiredLabel label that the worker must have, or null.
 * @property dataRack rack that stores the tasks' data and on which they run faster, or null.
 * @property maxPerWorker maximum number of tasks of the step on one worker, or 0 for no limit.
 * @property allowsCopies whether several runs of a task may be in progress; the first run that completes counts.
 * @property lasting whether the tasks run until the job is cancelled.
 * @property image name of the program that the tasks run; tasks of the same image behave alike.
 * @property tailTargetMs limit of the tail latency of a serving task, or 0 if the tasks do not serve requests.
 * @property fillsUnused whether the tasks get only the processor time that other tasks leave unused.
 * @property mayMiss number of tasks that planned work may make unavailable at a time, or 0 for no limit.
 */
@Serializable
public data class StepDescription(
    @SerialName("c") val count: Int,
    @SerialName("d") val demand: Resources,
    @SerialName("e") val estimateMs: Long = 0,
    @SerialName("a") val dependsOn: List<Int> = emptyList(),
    @SerialName("v") val savesProgress: Boolean = false,
    @SerialName("g") val gang: Boolean = false,
    @SerialName("r") val prefersOneRack: Boolean = false,
    @SerialName("l") val requiredLabel: String? = null,
    @SerialName("k") val dataRack: RackId? = null,
    @SerialName("m") val maxPerWorker: Int = 0,
    @SerialName("x") val allowsCopies: Boolean = false,
    @SerialName("p") val lasting: Boolean = false,
    @SerialName("i") val image: String = "",
    @SerialName("t") val tailTargetMs: Long = 0,
    @SerialName("f") val fillsUnused: Boolean = false,
    @SerialName("u") val mayMiss: Int = 0,
) {
    /** Resources that one task reserves on its worker; a [fillsUnused] task reserves no processor time. */
    val reserved: Resources
        get() = if (fillsUnused) demand.copy(millicores = 0) else demand

    /** Whether a second run of a task may be claimed while the first is in progress. */
    internal val mayHaveCopies: Boolean
        get() = allowsCopies && !gang && !lasting
}
