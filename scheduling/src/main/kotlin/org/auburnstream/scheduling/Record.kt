package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.auburnstream.model.JobId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Records that are committed together and applied in order.
 *
 * @property atMs time of day at the leader, in Unix milliseconds.
 */
@Serializable
public data class RecordBatch(@SerialName("t") val atMs: Long, @SerialName("r") val records: List<Record>)

/** One change of the replicated scheduling state. */
@Serializable
public sealed interface Record {
    /** The operator's [catalog] was accepted by an earlier build; [document] is its text as sent. */
    @Serializable
    @SerialName("c")
    public data class CatalogAccepted(val catalog: Catalog, val document: String) : Record

    /**
     * The operator's catalog of [version] was accepted; [document] is its text as sent.
     *
     * @property catalog decoded catalog, or null if the record comes from the log, which contains the text only.
     */
    @Serializable
    @SerialName("cr")
    public data class CatalogReplaced(
        @SerialName("v") val version: Long,
        @SerialName("d") val document: CatalogDocument,
        @Transient val catalog: Catalog? = null,
    ) : Record

    /** A caller's job was accepted. */
    @Serializable
    @SerialName("j")
    public data class JobAccepted(
        @SerialName("i") val id: JobId,
        @SerialName("q") val queue: Queue,
        @SerialName("d") val description: JobDescription,
        @SerialName("o") val owner: JobOwner? = null,
    ) : Record

    /** A caller cancelled the job. */
    @Serializable
    @SerialName("x")
    public data class JobCancelled(@SerialName("i") val id: JobId) : Record

    /** A worker is known to have started a run of the job. */
    @Serializable
    @SerialName("a")
    public data class JobStarted(@SerialName("i") val id: JobId) : Record

    /**
     * A worker incarnation reported for the first time, started to shut down, or changed its profile.
     *
     * The claims of an earlier incarnation of the same worker move to this one, because it may carry out the earlier
     * orders.
     *
     * @property sequence number of the report, see [Event.WorkerReported]; 0 in a record of an earlier build.
     */
    @Serializable
    @SerialName("w")
    public data class WorkerRegistered(
        @SerialName("p") val profile: WorkerProfile,
        @SerialName("l") val leaving: Boolean,
        @SerialName("n") val sequence: Long = 0,
    ) : Record

    /** The incarnation and its runs have certainly ended; its late reports have no effect. */
    @Serializable
    @SerialName("g")
    public data class WorkerEnded(@SerialName("l") val incarnation: WorkerIncarnation) : Record

    /**
     * The run is claimed by [incarnation] until it ends there or is released; its start order is sent after the commit.
     *
     * The claim moves to a later incarnation of the same worker.
     *
     * @property isCopy whether the run is a copy of a run in progress, see [StepDescription.allowsCopies]. The claim of
     *   a copy has no effect unless exactly one run of the task is in progress, at another worker.
     */
    @Serializable
    @SerialName("s")
    public data class RunClaimed(
        @SerialName("r") val run: RunId,
        @SerialName("l") val incarnation: WorkerIncarnation,
        @SerialName("c") val isCopy: Boolean = false,
    ) : Record

    /**
     * The run certainly does not run at [incarnation] and never will.
     *
     * @property loss how the incarnation was lost under the run, or null if the run did not start there.
     */
    @Serializable
    @SerialName("f")
    public data class RunReleased(
        @SerialName("r") val run: RunId,
        @SerialName("l") val incarnation: WorkerIncarnation,
        @SerialName("c") val loss: WorkerLoss? = null,
    ) : Record

    /** The run ended at [incarnation]. */
    @Serializable
    @SerialName("e")
    public data class RunEnded(
        @SerialName("r") val run: RunId,
        @SerialName("l") val incarnation: WorkerIncarnation,
        @SerialName("h") val end: RunEnd,
        @SerialName("v") val saved: String = "",
    ) : Record

    /** The ends of [incarnation] up to [number] are recorded, so the worker can drop them. */
    @Serializable
    @SerialName("n")
    public data class EndsRecorded(
        @SerialName("l") val incarnation: WorkerIncarnation,
        @SerialName("n") val number: Long,
    ) : Record

    /**
     * No lease is granted to the incarnation until a [LeaseReopened] is committed.
     *
     * Every lease that this leader and earlier ones granted there expires within [leftMs] after this record was
     * decided. A later leader can therefore wait from the time at which it applied the record, and not from the start
     * of its own leadership.
     *
     * @property unconfirmed claimed runs that are not known to have started there.
     */
    @Serializable
    @SerialName("lc")
    public data class LeaseClosed(
        @SerialName("l") val incarnation: WorkerIncarnation,
        @SerialName("m") val leftMs: Long,
        @SerialName("u") val unconfirmed: Set<RunId> = emptySet(),
    ) : Record

    /** The incarnation answers status queries again, so leases may be granted there. */
    @Serializable
    @SerialName("lo")
    public data class LeaseReopened(@SerialName("l") val incarnation: WorkerIncarnation) : Record

    /** The incarnation has raised its fence above the orders for its earlier incarnations, and carries out none. */
    @Serializable
    @SerialName("wf")
    public data class WorkerFenced(@SerialName("l") val incarnation: WorkerIncarnation) : Record

    /** The operator's maintenance wave of [vms] was accepted, at most [cap] at a time, to complete by [dueMs]. */
    @Serializable
    @SerialName("u")
    public data class WaveAccepted(val wave: Long, val vms: List<VmId>, val dueMs: Long, val cap: Int) : Record

    /** The maintenance of [vm] will be ordered; [workerStartedMs] is the start of its worker, 0 if there is none. */
    @Serializable
    @SerialName("b")
    public data class UpkeepBegun(val wave: Long, val vm: VmId, @SerialName("bornMs") val workerStartedMs: Long) :
        Record

    /** The platform has confirmed that the maintenance of [vm] has begun. */
    @Serializable
    @SerialName("k")
    public data class UpkeepConfirmed(val wave: Long, val vm: VmId) : Record

    /**
     * The maintenance of [vm] is over or will never begin.
     *
     * @property cause null in a record of an earlier build.
     */
    @Serializable
    @SerialName("d")
    public data class UpkeepEnded(val wave: Long, val vm: VmId, @SerialName("c") val cause: UpkeepEnd? = null) : Record

    /** The platform refused the maintenance order for [vm], which has not begun. */
    @Serializable
    @SerialName("o")
    public data class UpkeepRefused(val wave: Long, val vm: VmId) : Record

    /** The move of [vm] from one service's pool to another will be ordered. */
    @Serializable
    @SerialName("m")
    public data class MoveBegun(
        val vm: VmId,
        val from: ServiceId,
        val to: ServiceId,
        @SerialName("bornMs") val workerStartedMs: Long,
    ) : Record

    /** The platform has confirmed that the move of [vm] has begun. */
    @Serializable
    @SerialName("mk")
    public data class MoveConfirmed(val vm: VmId) : Record

    /** The VM has arrived in its new pool, or is switched off. */
    @Serializable
    @SerialName("md")
    public data class MoveEnded(val vm: VmId) : Record

    /** The platform refused the move order for [vm], which stays in its pool. */
    @Serializable
    @SerialName("mo")
    public data class MoveRefused(val vm: VmId) : Record
}

/** What showed that the maintenance of a VM is over, or that it will never begin. */
@Serializable
public enum class UpkeepEnd {
    /** A worker started on the VM after the platform had confirmed that the maintenance has begun. */
    WORKER_RETURNED,

    /** The platform listed the VM as up after it had confirmed that the maintenance has begun. */
    LISTED_UP,

    /** The platform answered the order that it has no such VM. */
    UNKNOWN_VM,

    /** The platform answered the order that the VM does not belong to the wave. */
    NOT_IN_WAVE,

    /** The platform refused the order as for a VM that is down, and no longer lists the VM, see [MissingVms]. */
    NOT_LISTED,
    ;

    /** Whether the maintenance was done, which requires that it had begun. */
    public val isDone: Boolean
        get() = this == WORKER_RETURNED || this == LISTED_UP
}

/** How a run ended, as reported by its worker. */
@Serializable
public enum class RunEnd {
    /** The task is done. */
    DONE,

    /** The task or its worker failed. */
    FAILED,

    /** The run was stopped by an order. */
    STOPPED,

    /** The worker's lease expired. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not start in time. */
    ALONE,
}
