package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Crash of a worker under run [number] of a task.
 *
 * @property suspicion how much the crash speaks against the task.
 */
@Serializable
public data class Crash(@SerialName("n") val number: Int, @SerialName("s") val suspicion: Suspicion)

/** How much the crash of a worker speaks against a task that ran there. */
@Serializable
public enum class Suspicion {
    /** Other runs had started after the task's, or its own is not known to have started. */
    @SerialName("b")
    BYSTANDER,

    /** The task's run was among those that had started last. */
    @SerialName("l")
    STARTED_LAST,

    /** The worker was lost just after the start of the task's run, which was among those that had started last. */
    @SerialName("s")
    AT_START,

    /** The same, and none of the others that had started last had been lost so before, as this task had. */
    @SerialName("o")
    AT_START_ALONE,
}

/** How a worker incarnation was lost. */
@Serializable
public enum class WorkerLoss {
    /** Another worker reported from the VM, or answered at the address. */
    @SerialName("c")
    CRASHED,

    /** The worker started again under its id. */
    @SerialName("r")
    RESTARTED,

    /** The worker was silent until its lease had expired; it may have been cut off. */
    @SerialName("s")
    SILENT,

    /** The worker had announced that it shuts down. */
    @SerialName("a")
    ANNOUNCED,

    /** The maintenance or the move of its VM had been ordered. */
    @SerialName("o")
    ORDERED,
}

/** Whether the loss may be the crash of the worker. */
internal val WorkerLoss.isCrash: Boolean
    get() = this == WorkerLoss.CRASHED || this == WorkerLoss.RESTARTED || this == WorkerLoss.SILENT

/**
 * Whether the task may crash its workers, so that it starts apart from others, see [TaskPlacement.placeSuspects].
 *
 * A worker that crashes takes sound tasks along, so one crash counts only against those that had started last.
 */
internal val Task.isSuspect: Boolean
    get() = !isDone && (crashes.size >= MIN_CRASHES || hasStartedLast)

private val Task.hasStartedLast: Boolean
    get() = crashes.any { it.suspicion != Suspicion.BYSTANDER }

/** Whether a worker was lost just after the start of a run of the task. */
internal val Task.hasCrashedAtStart: Boolean
    get() = crashes.any { it.suspicion >= Suspicion.AT_START }

/**
 * Whether the task is given up because of the crashes under it.
 *
 * A lasting task is exposed to all crashes of its workers until it is cancelled, so only their number counts.
 */
internal fun Task.isGivenUp(isLasting: Boolean): Boolean = when {
    isLasting -> crashes.size >= MAX_CRASHES_OF_LASTING
    else -> crashes.size >= MAX_CRASHES || crashes.any { it.suspicion == Suspicion.AT_START_ALONE }
}

private const val MIN_CRASHES = 2
private const val MAX_CRASHES = 4
private const val MAX_CRASHES_OF_LASTING = 5
