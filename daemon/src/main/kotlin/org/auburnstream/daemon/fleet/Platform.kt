package org.auburnstream.daemon.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.WorkerReport
import org.auburnstream.model.JobId
import org.auburnstream.model.VmId

/** Interface of the platform that runs the VMs. */
public interface Platform {
    /** Asks for an act; the platform carries it out at most once for each permit. */
    public suspend fun carryOut(request: PlatformRequest): PlatformResult<PlatformAnswer>

    /** Extends the leases of running jobs. */
    public suspend fun renew(leases: List<JobLease>): PlatformResult<Unit>

    /** Reads the latest usage of the workers, which lags. */
    public suspend fun workers(): PlatformResult<List<WorkerReport>>
}

/** Lease under which a worker runs a job. */
@Serializable
public data class JobLease(val vm: VmId, val job: JobId, val lease: FleetRevision)

/** Result of a call to the platform. */
public sealed interface PlatformResult<out T> {
    /** The platform answered. */
    public data class Answered<out T>(val value: T) : PlatformResult<T>

    /** No answer that can be read arrived; the platform may have acted. */
    public data class Unanswered(val cause: PlatformFault) : PlatformResult<Nothing>
}

/** Why the platform gave no answer. */
public enum class PlatformFault { UNREACHABLE, TIMEOUT, REFUSED, MALFORMED }
