package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Records that the group commits together, in their order.
 *
 * @property atMs time of day at the leader, in Unix milliseconds.
 */
@Serializable
public data class RecordBatch(@SerialName("t") val atMs: Long, @SerialName("r") val records: List<Record>)

/** One change of the replicated scheduling state. */
@Serializable
public sealed interface Record {
    /** The operator's [catalog] is accepted; [document] is its text as sent. */
    @Serializable
    @SerialName("c")
    public data class CatalogAccepted(val catalog: Catalog, val document: String) : Record

    /** A caller's job is accepted. */
    @Serializable
    @SerialName("j")
    public data class JobAccepted(
        @SerialName("i") val id: JobId,
        @SerialName("q") val queue: Queue,
        @SerialName("d") val description: JobDescription,
    ) : Record

    /** A caller cancelled the job. */
    @Serializable
    @SerialName("x")
    public data class JobCancelled(@SerialName("i") val id: JobId) : Record

    /** A run of the job is known to have been at work. */
    @Serializable
    @SerialName("a")
    public data class JobStarted(@SerialName("i") val id: JobId) : Record

    /**
     * A worker life was heard for the first time, or began to leave, or changed its address.
     *
     * The claims of an earlier life of the same worker move to it, because it may carry out that life's orders.
     */
    @Serializable
    @SerialName("w")
    public data class WorkerRegistered(@SerialName("p") val profile: WorkerProfile, @SerialName("l") val leaving: Boolean) :
        Record

    /** The life has ended for certain, with everything that ran there; its late reports change nothing. */
    @Serializable
    @SerialName("g")
    public data class WorkerEnded(@SerialName("l") val life: WorkerLife) : Record

    /**
     * The run belongs to [life] until it ends there or is released; its order is sent after this is committed.
     *
     * A later life of the same worker takes it over.
     */
    @Serializable
    @SerialName("s")
    public data class RunClaimed(@SerialName("r") val run: RunId, @SerialName("l") val life: WorkerLife) : Record

    /** The run certainly does not run and never will. */
    @Serializable
    @SerialName("f")
    public data class RunReleased(@SerialName("r") val run: RunId, @SerialName("l") val life: WorkerLife) : Record

    /** The run ended at [life]. */
    @Serializable
    @SerialName("e")
    public data class RunEnded(
        @SerialName("r") val run: RunId,
        @SerialName("l") val life: WorkerLife,
        @SerialName("h") val end: RunEnd,
        @SerialName("v") val saved: String = "",
    ) : Record

    /** The ends of [life] up to [number] are recorded. */
    @Serializable
    @SerialName("n")
    public data class EndsRecorded(@SerialName("l") val life: WorkerLife, @SerialName("n") val number: Long) : Record

    /** The operator asks for the maintenance of [vms], at most [cap] at a time, until [dueMs]. */
    @Serializable
    @SerialName("u")
    public data class WaveAccepted(val wave: Long, val vms: List<VmId>, val dueMs: Long, val cap: Int) : Record

    /** The maintenance of [vm] is about to be ordered; [workerStartedMs] tells the life that runs there, 0 if none does. */
    @Serializable
    @SerialName("b")
    public data class UpkeepBegun(val wave: Long, val vm: VmId, @SerialName("bornMs") val workerStartedMs: Long) : Record

    /** The platform has confirmed that the maintenance of [vm] has begun. */
    @Serializable
    @SerialName("k")
    public data class UpkeepConfirmed(val wave: Long, val vm: VmId) : Record

    /** The maintenance of [vm] is over, or the VM has left. */
    @Serializable
    @SerialName("d")
    public data class UpkeepEnded(val wave: Long, val vm: VmId) : Record

    /** The order for [vm] was refused and has not begun. */
    @Serializable
    @SerialName("o")
    public data class UpkeepRefused(val wave: Long, val vm: VmId) : Record

    /** The move of [vm] from one service's pool to another is about to be ordered. */
    @Serializable
    @SerialName("m")
    public data class MoveBegun(val vm: VmId, val from: ServiceId, val to: ServiceId, @SerialName("bornMs") val workerStartedMs: Long) : Record

    /** The platform has confirmed that [vm] moves. */
    @Serializable
    @SerialName("mk")
    public data class MoveConfirmed(val vm: VmId) : Record

    /** The VM has arrived, or is switched off. */
    @Serializable
    @SerialName("md")
    public data class MoveEnded(val vm: VmId) : Record

    /** The order for [vm] was refused and the VM stays. */
    @Serializable
    @SerialName("mo")
    public data class MoveRefused(val vm: VmId) : Record
}

/** How a run ended, as its worker tells. */
@Serializable
public enum class RunEnd {
    /** The task is done. */
    DONE,

    /** The task or its worker failed. */
    FAILED,

    /** The run was stopped on an order. */
    STOPPED,

    /** The worker's lease ran out. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not start in time. */
    ALONE,
}
