package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.PoolId
import org.auburnstream.model.VmId

/**
 * Act that the platform is asked to carry out, at most once for each [permit].
 *
 * For restarts and reassignments the platform keeps the highest permit of each VM, and for jobs the highest lease of
 * each job: it answers a repeated one with the first answer and refuses a lower one, so that requests may be repeated
 * by any leader and arrive late without harm.
 */
@Serializable
public sealed interface PlatformRequest {
    /** VM that is acted upon. */
    public val vm: VmId

    /** Revision of the replicated permit. */
    public val permit: FleetRevision

    /** Restart the VM with its maintenance. */
    @Serializable
    @SerialName("restart")
    public data class Restart(override val vm: VmId, override val permit: FleetRevision) : PlatformRequest

    /** Give the VM the software of the pool [to]. */
    @Serializable
    @SerialName("reassign")
    public data class Reassign(override val vm: VmId, override val permit: FleetRevision, val to: PoolId) :
        PlatformRequest

    /** Run [job] under the lease [permit]. */
    @Serializable
    @SerialName("run_job")
    public data class RunJob(
        override val vm: VmId,
        override val permit: FleetRevision,
        val job: JobSpec,
        val fromCheckpoint: Boolean,
    ) : PlatformRequest

    /** Take [action] against the [job] that runs under the lease [permit]. */
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
    /** The act has been carried out and will not be again. */
    @Serializable
    @SerialName("done")
    public data object Done : PlatformAnswer

    /** The act was accepted and is not finished; ask again. */
    @Serializable
    @SerialName("in_progress")
    public data object InProgress : PlatformAnswer

    /** The platform knows a higher permit for the VM and did nothing. */
    @Serializable
    @SerialName("superseded")
    public data class Superseded(val by: FleetRevision) : PlatformAnswer

    /** The platform has no such VM. */
    @Serializable
    @SerialName("unknown_vm")
    public data object UnknownVm : PlatformAnswer
}
