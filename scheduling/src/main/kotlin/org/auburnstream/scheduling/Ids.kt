package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import kotlin.jvm.JvmInline

/** Identifies a worker; a worker that restarts may keep its id, see [WorkerIncarnation]. */
@Serializable
@JvmInline
public value class WorkerId(public val value: String) : Comparable<WorkerId> {
    override fun compareTo(other: WorkerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a queue in the catalog. */
@Serializable
@JvmInline
public value class QueueName(public val value: String) : Comparable<QueueName> {
    override fun compareTo(other: QueueName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Identifies one incarnation of a worker: the time from one start of the worker's process to its end.
 *
 * @property startedMs start of the incarnation in Unix milliseconds; higher for each later incarnation of the worker.
 */
@Serializable
public data class WorkerIncarnation(@SerialName("w") val worker: WorkerId, @SerialName("b") val startedMs: Long) {
    override fun toString(): String = "$worker/$startedMs"
}

/** Identifies a step of one occurrence of a job; a scheduled job has several occurrences. */
@Serializable
public data class StepId(
    @SerialName("j") val job: JobId,
    @SerialName("o") val occurrence: Int,
    @SerialName("s") val step: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step"
}

/** Identifies a task of a step. */
@Serializable
public data class TaskId(@SerialName("s") val step: StepId, @SerialName("i") val index: Int) {
    override fun toString(): String = "$step.$index"
}

/**
 * Identifies one run of a task.
 *
 * @property number number of the run, counted from 1 for each task; the members of a gang share it.
 */
@Serializable
public data class RunId(@SerialName("t") val task: TaskId, @SerialName("n") val number: Int) {
    override fun toString(): String = "$task#$number"
}
