package org.auburnstream.daemon.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.WorkerReport
import org.auburnstream.model.JobId
import org.auburnstream.model.VmId

/** Client of the platform that runs the VMs. */
public interface Platform {
    /** Sends a request, which the platform executes at most once per permit. */
    public suspend fun carryOut(request: PlatformRequest): PlatformResult<PlatformAnswer>

    /** Extends the leases of running jobs. */
    public suspend fun renew(leases: List<JobLease>): PlatformResult<Unit>

    /** Returns the workers' latest reported usage, which may be stale. */
    public suspend fun workers(): PlatformResult<List<WorkerReport>>
}

/** Lease under which a worker runs a job. */
@Serializable
public data class JobLease(val vm: VmId, val job: JobId, val lease: FleetRevision)

/** Result of a call to the platform. */
public sealed interface PlatformResult<out T> {
    /** The platform answered. */
    public data class Answered<out T>(val value: T) : PlatformResult<T>

    /** No decodable answer arrived; the platform may have executed the request. */
    public data class Unanswered(val cause: PlatformFault) : PlatformResult<Nothing>
}

/** Reason why a call to the platform gave no usable answer. */
public enum class PlatformFault { UNREACHABLE, TIMEOUT, REFUSED, MALFORMED }
