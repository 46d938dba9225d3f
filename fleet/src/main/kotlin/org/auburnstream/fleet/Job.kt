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
 * What a team wants to run.
 *
 * @property pool pool whose VMs may run the job.
 * @property declared resources that the team expects the job to use; often far from what it will use.
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
 * Replicated state of a job that is not over.
 *
 * @property submitted revision of the submission, which orders jobs of one urgency.
 * @property failedOn workers that the job failed on.
 * @property hasCheckpoint true if the job can go on from a checkpoint.
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

/** Where a job is. */
@Serializable
public sealed interface JobPhase {
    /** Waits for a worker. */
    @Serializable
    @SerialName("queued")
    public data object Queued : JobPhase

    /**
     * Runs on [vm] under a lease.
     *
     * @property lease revision of the placement; the platform runs the job at most once for it.
     * @property action latest action taken against the job, or null.
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

/** Measure against a running job, from the mildest to the strongest. */
@Serializable
public enum class JobAction {
    /** The job runs on with less processor time. */
    THROTTLE,

    /** The job is saved, leaves the worker and goes on elsewhere. */
    CHECKPOINT,

    /** The job leaves the worker and begins again elsewhere. */
    STOP,
}

/** How a job left its worker. */
@Serializable
public enum class JobEnd { SUCCEEDED, FAILED, CHECKPOINTED, STOPPED, WORKER_LOST }

/** Final result of a job. */
@Serializable
public enum class JobResult {
    /** The job did what it should. */
    SUCCEEDED,

    /** The job failed on as many workers as it may. */
    FAILS_EVERYWHERE,

    /** An operator cancelled the job. */
    CANCELLED,
}

/** A job that is over. */
@Serializable
public data class FinishedJob(val spec: JobSpec, val result: JobResult, val at: Instant, val failedOn: Set<VmId>)

/** Most that the running jobs of one team may have declared together. */
@Serializable
public data class TeamQuota(val team: TeamId, val limit: Resources, val maxQueued: Int = DEFAULT_MAX_QUEUED) {
    internal val isValid: Boolean get() = limit.isValid && maxQueued >= 0

    public companion object {
        /** Jobs that a team may have waiting unless its quota says otherwise. */
        public const val DEFAULT_MAX_QUEUED: Int = 10_000
    }
}

/** Why a job can never run as it was submitted. */
@Serializable
public sealed interface JobRefusal : FleetRefusal {
    /** The job's id is taken by a live job. */
    @Serializable
    @SerialName("job_exists")
    public data class JobExists(val job: JobId) : JobRefusal

    /** The team has no quota; an operator must set one. */
    @Serializable
    @SerialName("no_quota")
    public data class NoQuota(val team: TeamId) : JobRefusal

    /** The job alone declares more than its team's quota. */
    @Serializable
    @SerialName("exceeds_quota")
    public data class ExceedsQuota(val team: TeamId, val limit: Resources) : JobRefusal

    /** No VM of the pool is large enough; [largest] has the most of each resource. */
    @Serializable
    @SerialName("exceeds_workers")
    public data class ExceedsWorkers(val pool: PoolId, val largest: Resources) : JobRefusal

    /** The team has as many jobs waiting as it may. */
    @Serializable
    @SerialName("queue_full")
    public data class QueueFull(val team: TeamId, val limit: Int) : JobRefusal

    /** No live job has this id. */
    @Serializable
    @SerialName("unknown_job")
    public data class UnknownJob(val job: JobId) : JobRefusal

    /** The team's running jobs use up its quota for the moment. */
    @Serializable
    @SerialName("quota_used")
    public data class QuotaUsed(val team: TeamId) : JobRefusal

    /** The worker may not be given the job now. */
    @Serializable
    @SerialName("worker_unfit")
    public data class WorkerUnfit(val job: JobId, val vm: VmId) : JobRefusal

    /** The lease that the command names is not the job's present one. */
    @Serializable
    @SerialName("lease_superseded")
    public data class LeaseSuperseded(val job: JobId) : JobRefusal

    /** The VM still runs jobs. */
    @Serializable
    @SerialName("jobs_running")
    public data class JobsRunning(val vm: VmId, val jobs: Int) : JobRefusal
}

/** Replicated change of the jobs. */
@Serializable
public sealed interface JobCommand : FleetCommand {
    /** Accepts a job, or says at once why it can never run. */
    @Serializable
    @SerialName("submit_job")
    public data class SubmitJob(override val operation: OperationId, val job: JobSpec) :
        JobCommand,
        FleetCommand.Operator

    /** Cancels jobs by id, or all of a team if [jobs] is empty; costs no more than the jobs cancelled. */
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

    /** Gives a queued job to a worker under a new lease. */
    @Serializable
    @SerialName("place_job")
    public data class PlaceJob(val job: JobId, val vm: VmId) : JobCommand

    /** Takes a measure against a running job; never a milder one than before. */
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
