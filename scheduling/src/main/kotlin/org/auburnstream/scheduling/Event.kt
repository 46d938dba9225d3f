package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.VmId
import kotlin.jvm.JvmInline
import kotlin.time.Duration

/** Identifies a call that waits for its [Reply]. */
@JvmInline
public value class CallId(public val value: Long)

/** Input of a [Coordinator]. */
public sealed interface Event {
    /** A caller submits a job, on behalf of [tenant] unless that is null. */
    public data class JobSubmitted(
        val call: CallId,
        val id: JobId,
        val queue: Queue,
        val description: JobDescription,
        val tenant: TenantName? = null,
    ) : Event

    /** A caller cancels a job, unless [mayCancel] denies it for the job's queue and owner. */
    public data class CancelRequested(
        val call: CallId,
        val id: JobId,
        val mayCancel: (QueueName, JobOwner?) -> Boolean = { _, _ -> true },
    ) : Event

    /** The operator submits a validated catalog; [document] is its text as sent. */
    public data class CatalogSubmitted(val call: CallId, val catalog: Catalog, val document: String) : Event

    /** The operator submits a maintenance wave; [cap] limits the VMs in maintenance at a time. */
    public data class WaveSubmitted(
        val call: CallId,
        val wave: Long,
        val vms: List<VmId>,
        val duration: Duration,
        val cap: Int,
    ) : Event

    /**
     * A worker sent its periodic report.
     *
     * @property sequence number that increases with each report of one incarnation.
     * @property clockMs reading of the worker's own clock.
     */
    public data class WorkerReported(
        val call: CallId,
        val profile: WorkerProfile,
        val sequence: Long,
        val isLeaving: Boolean,
        val clockMs: Long?,
    ) : Event

    /** A worker deregisters because it shuts down; [startedMs] is null if the request names no incarnation. */
    public data class WorkerDeregistered(val call: CallId, val worker: WorkerId, val startedMs: Long?) : Event

    /** The batch that was proposed last is committed and applied. */
    public data object BatchApplied : Event

    /** The batch that was proposed last is not committed and never will be. */
    public data object BatchRejected : Event

    /** The worker answered the order to start [run]; null if there was no answer. */
    public data class StartAnswered(val incarnation: WorkerIncarnation, val run: RunId, val answer: OrderAnswer?) :
        Event

    /** The worker answered the order to stop [run]; null if there was no answer. */
    public data class StopAnswered(val incarnation: WorkerIncarnation, val run: RunId, val answer: OrderAnswer?) : Event

    /**
     * The worker answered a status query; null if there was no answer.
     *
     * @property query [Action.Look.number] of the query.
     */
    public data class StatusAnswered(val incarnation: WorkerIncarnation, val query: Long, val answer: StatusAnswer?) :
        Event

    /** The worker answered an order to pace [run]; null if there was no answer. */
    public data class PaceAnswered(val incarnation: WorkerIncarnation, val run: RunId, val answer: OrderAnswer?) : Event

    /** The advice service answered; null if there was no answer. */
    public data class AdviceAnswered(val step: StepId, val advice: Advice?) : Event

    /** The platform answered an order for the maintenance of [vm]. */
    public data class UpkeepAnswered(val wave: Long, val vm: VmId, val answer: VmOrderResult) : Event

    /** The platform answered an order for the move of [vm]. */
    public data class MoveAnswered(val vm: VmId, val answer: VmOrderResult) : Event

    /** The platform listed its VMs, as requested by [Action.ListVms]. */
    public data class VmsListed(val listing: VmListing) : Event

    /** Time has passed; due at [Coordinator.nextDeadline] at the latest. */
    public data object Tick : Event
}

/**
 * Answer of a worker to an order.
 *
 * @property clockMs reading of the worker's clock, or null if the answer has none.
 */
public data class OrderAnswer(val result: OrderResult, val clockMs: Long? = null)

/** Result of an order to a worker. */
public enum class OrderResult {
    /** The order was carried out, now or earlier. */
    DONE,

    /** The worker has accepted orders of a later leader. */
    FENCED,

    /** The same or a later run of the task was already stopped or has ended at the worker. */
    OUTDATED,

    /** The lease in the order had expired. */
    LATE,

    /** The worker lacks the capacity. */
    NO_ROOM,

    /** The ticket is not valid. */
    NO_TICKET,

    /** The worker is unhealthy and did not start the run. */
    UNHEALTHY,

    /** Another incarnation of the worker answered. */
    OTHER_LIFE,

    /** The worker rejected the order as malformed. */
    REFUSED,

    /** The worker could not be reached, and no part of the order was sent. */
    UNSENT,
}

/**
 * Answer of a worker to a status query.
 *
 * @property startedMs start of the incarnation that answered, or null if the answer does not contain it.
 * @property hasAllEnds whether [ended] contains every end that the leader has not acknowledged.
 * @property otherIncarnation whether another incarnation answered, which has no data about the queried one.
 * @property isFenced whether the worker has accepted orders of a later leader.
 */
public data class StatusAnswer(
    val clockMs: Long = 0,
    val startedMs: Long? = null,
    val running: List<RunStatus> = emptyList(),
    val ended: List<EndedRun> = emptyList(),
    val hasAllEnds: Boolean = true,
    val otherIncarnation: Boolean = false,
    val isFenced: Boolean = false,
)

/**
 * Status of a run in progress.
 *
 * @property saved latest saved state of the task; empty if there is none.
 * @property percent progress, 0 to 100; a lasting task reports 100 once it is working.
 * @property measurement tail latency in ms for a serving task, else the processor time in use in millicores.
 */
public data class RunStatus(val run: RunId, val saved: String, val percent: Int, val measurement: Long = 0)

/** A run that ended; [number] counts the ended runs of its worker's incarnation. */
public data class EndedRun(val number: Long, val run: RunId, val end: RunEnd, val saved: String)

/** Workers that may run a step, with the tickets to send to them, valid for [validMs]. */
public data class Advice(val tickets: Map<WorkerId, String>, val validMs: Long)

/** Result of an order to the platform for the maintenance or the move of a VM. */
public enum class VmOrderResult {
    /** The maintenance or move has begun, or is already done. */
    BEGUN,

    /** The VM is not up, or is leaving. */
    BUSY,

    /** The platform has no such VM, or, for a move, the pool has other VMs. */
    UNKNOWN_VM,

    /** The platform knows the VM, which does not belong to the wave. */
    NOT_IN_WAVE,

    /** The platform has accepted an order of a later leader. */
    FENCED,

    /** The platform did not answer, or refused because it is overloaded. */
    UNCERTAIN,
}
