package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources

/**
 * What a caller wants done.
 *
 * @property payload opaque text that each task is started with.
 * @property schedule when the steps run more than once, or null if they run once and at once.
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
 * Times at which a job's steps run.
 *
 * @property occurrences number of times, at least 1.
 * @property firstMs when the first is due, in Unix milliseconds.
 * @property intervalMs time from one to the next.
 */
@Serializable
public data class Schedule(
    @SerialName("n") val occurrences: Int,
    @SerialName("f") val firstMs: Long,
    @SerialName("i") val intervalMs: Long,
) {
    /** When [occurrence], counted from 0, is due, in Unix milliseconds. */
    public fun dueMs(occurrence: Int): Long = firstMs + occurrence * intervalMs
}

/**
 * Tasks of one kind within a job.
 *
 * @property count number of tasks, at least 1.
 * @property demand what one task takes of its worker.
 * @property estimateMs rough estimate of the duration of one task; 0 if there is none.
 * @property dependsOn numbers of earlier steps whose tasks must all be done first.
 * @property savesProgress whether a task can go on from a saved state.
 * @property gang whether the tasks work and end together only.
 * @property prefersOneRack whether the tasks are slow when they run on several racks.
 * @property requiredLabel label that the worker must have, or null.
 * @property dataRack rack on which the tasks are fast, or null.
 * @property maxPerWorker most tasks of the step on one worker, or 0 for no bound.
 * @property allowsCopies whether several runs of a task may be in progress; the first that is done counts.
 * @property lasting whether the tasks run until the job is cancelled.
 * @property image name of what the tasks run; tasks of one image behave alike.
 * @property tailTargetMs bound of the tail of a serving task's response times, or 0 if it serves nobody.
 * @property fillsUnused whether the tasks get only the processor time that others leave.
 * @property mayMiss tasks that planned work may make unavailable at a time, or 0 for no bound.
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
    /** What one task takes of its worker's capacity; a task that fills takes no processor time. */
    val reserved: Resources
        get() = if (fillsUnused) demand.copy(millicores = 0) else demand
}
