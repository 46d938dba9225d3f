package org.auburnstream.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import kotlin.time.Instant

/**
 * Specification of a job that a team submits.
 *
 * @property pool pool whose VMs may run the job.
 * @property declared resources that the team expects the job to use; actual usage often differs widely.
 */
@Serializable
public data class JobSpec(
    val id: JobId,
    val team: TeamId,
    val pool: PoolId,
    val declared: Resources,
    val urgency: Urgency = Urgency.NORMAL,
)

/**
 * Replicated state of a queued or running job.
 *
 * @property submitted revision of the submission, which orders jobs of the same urgency.
 * @property failedOn workers on which the job failed.
 * @property hasCheckpoint true if the job can resume from a checkpoint.
 */
@Serializable
public data class Job(
    val spec: JobSpec,
    val submitted: FleetRevision,
    val submittedAt: Instant,
    val phase: JobPhase = JobPhase.Queued,
    val failedOn: Set<VmId> = emptySet(),
    val hasCheckpoint: Boolean = false,
)

/** Phase of a job that has not finished. */
@Serializable
public sealed interface JobPhase {
    /** Waits for a worker. */
    @Serializable
    @SerialName("queued")
    public data object Queued : JobPhase

    /**
     * Runs on [vm] under a lease.
     *
     * @property lease revision of the placement; the platform runs the job at most once per lease.
     * @property action strongest action applied to the job so far, or null.
     * @property cancelled true once the job was cancelled; it then finishes instead of being queued again.
     */
    @Serializable
    @SerialName("running")
    public data class Running(
        val vm: VmId,
        val lease: FleetRevision,
        val since: Instant,
        @SerialName("measure")
        val action: JobAction? = null,
        val cancelled: Boolean = false,
    ) : JobPhase
}

/** Action applied to a running job to free resources or to end it, ordered from the mildest to the strongest. */
@Serializable
public enum class JobAction {
    /** The job continues with less processor time. */
    THROTTLE,

    /** The job saves a checkpoint, leaves the worker and resumes on another worker. */
    CHECKPOINT,

    /** The job is stopped without a checkpoint; unless it is cancelled, it runs again on another worker. */
    STOP,
}

/** Reason why a job left its worker. */
@Serializable
public enum class JobEnd { SUCCEEDED, FAILED, CHECKPOINTED, STOPPED, WORKER_LOST }

/** Final result of a job. */
@Serializable
public enum class JobResult {
    /** The job completed successfully. */
    SUCCEEDED,

    /** The job failed on the maximum number of workers. */
    FAILS_EVERYWHERE,

    /** An operator cancelled the job. */
    CANCELLED,
}

/** Record of a finished job. */
@Serializable
public data class FinishedJob(val spec: JobSpec, val result: JobResult, val at: Instant, val failedOn: Set<VmId>)

/** Limit on the declared resources of the running jobs of one team, and on the number of its queued jobs. */
@Serializable
public data class TeamQuota(val team: TeamId, val limit: Resources, val maxQueued: Int = DEFAULT_MAX_QUEUED) {
    internal val isValid: Boolean get() = limit.isValid && maxQueued >= 0

    public companion object {
        /** Default maximum number of queued jobs of a team. */
        public const val DEFAULT_MAX_QUEUED: Int = 10_000
    }
}

/** Reason why a [JobCommand], or a command that affects jobs, was refused. */
@Serializable
public sealed interface JobRefusal : FleetRefusal {
    /** The job's id is already used by a queued, running or recently finished job. */
    @Serializable
    @SerialName("job_exists")
    public data class JobExists(val job: JobId) : JobRefusal

    /** The team has no quota; an operator must set one. */
    @Serializable
    @SerialName("no_quota")
    public data class NoQuota(val team: TeamId) : JobRefusal

    /** The job on its own declares more than the team's quota. */
    @Serializable
    @SerialName("exceeds_quota")
    public data class ExceedsQuota(val team: TeamId, val limit: Resources) : JobRefusal

    /** No VM of the pool is large enough; [largest] is the maximum of each resource over all VMs of the pool. */
    @Serializable
    @SerialName("exceeds_workers")
    public data class ExceedsWorkers(val pool: PoolId, val largest: Resources) : JobRefusal

    /** The team has reached its maximum number of queued jobs. */
    @Serializable
    @SerialName("queue_full")
    public data class QueueFull(val team: TeamId, val limit: Int) : JobRefusal

    /** No queued or running job has this id, or the job belongs to another team. */
    @Serializable
    @SerialName("unknown_job")
    public data class UnknownJob(val job: JobId) : JobRefusal

    /** The remaining quota of the team is too small for the job at present. */
    @Serializable
    @SerialName("quota_used")
    public data class QuotaUsed(val team: TeamId) : JobRefusal

    /** The worker or the job is not in a state that permits this placement. */
    @Serializable
    @SerialName("worker_unfit")
    public data class WorkerUnfit(val job: JobId, val vm: VmId) : JobRefusal

    /** The lease that the command names is not the job's current one. */
    @Serializable
    @SerialName("lease_superseded")
    public data class LeaseSuperseded(val job: JobId) : JobRefusal

    /** The VM cannot be permitted to stop because it still runs jobs. */
    @Serializable
    @SerialName("jobs_running")
    public data class JobsRunning(val vm: VmId, val jobs: Int) : JobRefusal
}

/** Replicated command that changes jobs or quotas. */
@Serializable
public sealed interface JobCommand : FleetCommand {
    /** Submits a job; a job that can never run is refused immediately. */
    @Serializable
    @SerialName("submit_job")
    public data class SubmitJob(override val operation: OperationId, val job: JobSpec) :
        JobCommand,
        FleetCommand.Operator

    /** Cancels jobs by id, or all jobs of a team if [jobs] is empty; the cost is proportional to the cancelled jobs. */
    @Serializable
    @SerialName("cancel_jobs")
    public data class CancelJobs(
        override val operation: OperationId,
        val team: TeamId,
        val jobs: List<JobId> = emptyList(),
    ) : JobCommand,
        FleetCommand.Operator

    /** Sets the quota of a team. */
    @Serializable
    @SerialName("set_quota")
    public data class SetQuota(override val operation: OperationId, val quota: TeamQuota) :
        JobCommand,
        FleetCommand.Operator

    /** Places a queued job on a worker under a new lease. */
    @Serializable
    @SerialName("place_job")
    public data class PlaceJob(val job: JobId, val vm: VmId) : JobCommand

    /** Applies an action to a running job; an action never replaces a stronger one. */
    @Serializable
    @SerialName("measure_job")
    public data class ApplyJobAction(
        val job: JobId,
        val lease: FleetRevision,
        @SerialName("measure")
        val action: JobAction,
    ) : JobCommand

    /** Records that a job has left its worker. */
    @Serializable
    @SerialName("end_job")
    public data class EndJob(val job: JobId, val lease: FleetRevision, val end: JobEnd) : JobCommand
}
