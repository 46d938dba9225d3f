package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.jvm.JvmInline
import kotlin.time.Duration

/** Identifies a call that waits for its [Reply]. */
@JvmInline
public value class CallId(public val value: Long)

/** Input of a [Coordinator]. */
public sealed interface Event {
    /** A caller hands in a job. */
    public data class JobSubmitted(val call: CallId, val id: JobId, val queue: Queue, val description: JobDescription) :
        Event

    /** A caller cancels a job. */
    public data class CancelRequested(val call: CallId, val id: JobId) : Event

    /** The operator sends a catalog that was checked. */
    public data class CatalogSubmitted(val call: CallId, val catalog: Catalog, val document: String) : Event

    /** The operator asks for a maintenance wave. */
    public data class WaveSubmitted(
        val call: CallId,
        val wave: Long,
        val vms: List<VmId>,
        val duration: Duration,
        val cap: Int,
    ) : Event

    /**
     * A worker reported itself.
     *
     * @property sequence grows with each report of one life.
     * @property clockMs reading of the worker's own clock.
     */
    public data class WorkerReported(
        val call: CallId,
        val profile: WorkerProfile,
        val sequence: Long,
        val isLeaving: Boolean,
        val clockMs: Long?,
    ) : Event

    /** A worker said that it ends; [startedMs] is null if it did not say which life. */
    public data class WorkerDeregistered(val call: CallId, val worker: WorkerId, val startedMs: Long?) : Event

    /** The batch that was asked for last is committed and applied. */
    public data object BatchApplied : Event

    /** The batch that was asked for last is not and will not be committed. */
    public data object BatchRejected : Event

    /** The worker answered the order to start [run]; null if there was no answer. */
    public data class StartAnswered(val life: WorkerLife, val run: RunId, val answer: OrderAnswer?) : Event

    /** The worker answered the order to stop [run]; null if there was no answer. */
    public data class StopAnswered(val life: WorkerLife, val run: RunId, val answer: OrderAnswer?) : Event

    /** The worker answered a look; null if there was no answer. */
    public data class StatusAnswered(val life: WorkerLife, val answer: StatusAnswer?) : Event

    /** The worker answered an order to pace [run]; null if there was no answer. */
    public data class PaceAnswered(val life: WorkerLife, val run: RunId, val answer: OrderAnswer?) : Event

    /** The advice service answered; null if it did not. */
    public data class AdviceAnswered(val step: StepId, val advice: Advice?) : Event

    /** The platform answered an order for the maintenance of [vm]. */
    public data class UpkeepAnswered(val wave: Long, val vm: VmId, val answer: VmOrderResult) : Event

    /** The platform answered an order for the move of [vm]. */
    public data class MoveAnswered(val vm: VmId, val answer: VmOrderResult) : Event

    /** The platform listed its VMs; null if it did not. */
    public data class VmsListed(val vms: List<ListedVm>?) : Event

    /** Time has passed; due at [Coordinator.nextDeadline] at the latest. */
    public data object Tick : Event
}

/**
 * Answer of a worker to an order.
 *
 * @property clockMs reading of the worker's clock, or null if the answer has none.
 */
public data class OrderAnswer(val result: OrderResult, val clockMs: Long? = null)

/** What became of an order. */
public enum class OrderResult {
    /** The order was carried out, now or before. */
    DONE,

    /** The worker has seen a later leader. */
    FENCED,

    /** The run is not later than one that was stopped or ended there. */
    OUTDATED,

    /** The lease in the order had run out. */
    LATE,

    /** The worker has no room. */
    NO_ROOM,

    /** The ticket is not valid. */
    NO_TICKET,

    /** The worker is unhealthy and did nothing. */
    UNHEALTHY,

    /** Another life answered. */
    OTHER_LIFE,

    /** The order was malformed for the worker. */
    REFUSED,

    /** The worker could not be reached, and nothing of the order left. */
    UNSENT,
}

/**
 * What a worker says in answer to a look.
 *
 * @property startedMs start of the life that answered, or null if it did not say.
 * @property hasAllEnds whether [ended] holds every end that is not noted.
 * @property otherLife whether another life answered, which knows nothing of this one.
 */
public data class StatusAnswer(
    val clockMs: Long = 0,
    val startedMs: Long? = null,
    val running: List<RunStatus> = emptyList(),
    val ended: List<EndedRun> = emptyList(),
    val hasAllEnds: Boolean = true,
    val otherLife: Boolean = false,
    val isFenced: Boolean = false,
)

/**
 * A run in progress.
 *
 * @property percent progress, 0 to 100; a lasting task is at work at 100.
 * @property measurement tail of the response times in ms for a serving task, else the processor time in use in millicores.
 */
public data class RunStatus(val run: RunId, val saved: String, val percent: Int, val measurement: Long = 0)

/** A run that ended as number [number] of its worker's life. */
public data class EndedRun(val number: Long, val run: RunId, val end: RunEnd, val saved: String)

/** Workers that may run a step, with their tickets. */
public data class Advice(val tickets: Map<WorkerId, String>, val validMs: Long)

/** What became of an order for the maintenance or the move of a VM. */
public enum class VmOrderResult {
    /** What was ordered has begun, or was done before. */
    BEGUN,

    /** The VM is not up, or is leaving. */
    BUSY,

    /** The VM does not belong to the wave, or there is no such VM. */
    UNKNOWN_VM,

    /** Another leader has given a later order. */
    FENCED,

    /** The platform did not answer, or refused for its load. */
    UNCERTAIN,
}

/** A VM as the platform lists it. */
public data class ListedVm(
    val vm: VmId,
    val pool: String,
    val state: VmCondition,
    val worker: WorkerId?,
    val capacity: Resources = Resources.None,
)

/** Condition of a VM at the platform. */
public enum class VmCondition {
    /** Runs a worker. */
    UP,

    /** Moves to another pool. */
    MOVING,

    /** In maintenance. */
    UPKEEP,

    /** Switched off or lost. */
    DOWN,
}
