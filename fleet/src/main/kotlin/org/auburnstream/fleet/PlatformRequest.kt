package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.PoolId
import org.auburnstream.model.VmId

/**
 * Request to the platform that it carries out at most once for each [permit].
 *
 * The platform stores the highest permit of each VM for restarts and reassignments, and the highest lease of each job.
 * It repeats its first answer to a request with the same number and refuses a request with a lower one. Any leader may
 * therefore repeat a request, and a delayed request does no harm.
 */
@Serializable
public sealed interface PlatformRequest {
    /** VM to which the request applies. */
    public val vm: VmId

    /** Revision of the replicated permit or lease; serves as fencing token. */
    public val permit: FleetRevision

    /** Restarts the VM and performs its maintenance. */
    @Serializable
    @SerialName("restart")
    public data class Restart(override val vm: VmId, override val permit: FleetRevision) : PlatformRequest

    /** Installs the software of the pool [to] on the VM. */
    @Serializable
    @SerialName("reassign")
    public data class Reassign(override val vm: VmId, override val permit: FleetRevision, val to: PoolId) :
        PlatformRequest

    /** Runs [job] under the lease [permit]. */
    @Serializable
    @SerialName("run_job")
    public data class RunJob(
        override val vm: VmId,
        override val permit: FleetRevision,
        val job: JobSpec,
        val fromCheckpoint: Boolean,
    ) : PlatformRequest

    /** Applies [action] to the [job] that runs under the lease [permit]. */
    @Serializable
    @SerialName("measure_job")
    public data class ApplyJobAction(
        override val vm: VmId,
        override val permit: FleetRevision,
        val job: JobId,
        @SerialName("measure")
        val action: JobAction,
    ) : PlatformRequest
}

/** The platform's answer to a [PlatformRequest]. */
@Serializable
public sealed interface PlatformAnswer {
    /** The request has been carried out and will not be carried out again. */
    @Serializable
    @SerialName("done")
    public data object Done : PlatformAnswer

    /** The request was accepted but is not finished; send it again later. */
    @Serializable
    @SerialName("in_progress")
    public data object InProgress : PlatformAnswer

    /** The platform has seen a higher permit or lease and did nothing. */
    @Serializable
    @SerialName("superseded")
    public data class Superseded(val by: FleetRevision) : PlatformAnswer

    /** The platform has no such VM. */
    @Serializable
    @SerialName("unknown_vm")
    public data object UnknownVm : PlatformAnswer
}
