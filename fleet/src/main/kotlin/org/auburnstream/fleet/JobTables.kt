package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import java.util.SortedMap
import java.util.SortedSet
import kotlin.time.Instant

/**
 * Tables of jobs, quotas and worker records.
 *
 * Indexes make the cost of a change proportional to the number of jobs that it affects.
 */
internal class JobTables {
    val jobs: SortedMap<JobId, Job> = sortedMapOf()
    val quotas: SortedMap<TeamId, TeamQuota> = sortedMapOf()
    val finished: MutableMap<JobId, FinishedJob> = linkedMapOf()
    val workers: SortedMap<VmId, WorkerRecord> = sortedMapOf()
    private val byTeam = hashMapOf<TeamId, SortedSet<JobId>>()
    private val byWorker = hashMapOf<VmId, SortedSet<JobId>>()
    private val queues = Urgency.entries.associateWith { sortedMapOf<FleetRevision, JobId>() }
    private val declaredByTeam = hashMapOf<TeamId, Resources>()
    private val queued = hashMapOf<TeamId, Int>()

    fun put(job: Job) {
        remove(job.spec.id)
        jobs[job.spec.id] = job
        byTeam.getOrPut(job.spec.team) { sortedSetOf() }.add(job.spec.id)
        when (val phase = job.phase) {
            is JobPhase.Queued -> {
                queues.getValue(job.spec.urgency)[job.submitted] = job.spec.id
                queued.merge(job.spec.team, 1, Int::plus)
            }
            is JobPhase.Running -> {
                byWorker.getOrPut(phase.vm) { sortedSetOf() }.add(job.spec.id)
                declaredByTeam[job.spec.team] = declaredBy(job.spec.team) + job.spec.declared
            }
        }
    }

    fun remove(id: JobId): Job? {
        val job = jobs.remove(id) ?: return null
        byTeam[job.spec.team]?.remove(id)
        when (val phase = job.phase) {
            is JobPhase.Queued -> {
                queues.getValue(job.spec.urgency).remove(job.submitted)
                queued.merge(job.spec.team, -1, Int::plus)
            }
            is JobPhase.Running -> {
                byWorker[phase.vm]?.remove(id)
                declaredByTeam[job.spec.team] = declaredBy(job.spec.team) - job.spec.declared
            }
        }
        return job
    }

    fun finish(job: Job, result: JobResult, at: Instant) {
        remove(job.spec.id)
        finished[job.spec.id] = FinishedJob(job.spec, result, at, job.failedOn)
        if (finished.size > MAX_FINISHED) finished.remove(finished.keys.first())
    }

    fun declaredBy(team: TeamId): Resources = declaredByTeam[team] ?: Resources.None

    fun queuedOf(team: TeamId): Int = queued[team] ?: 0

    fun jobsOf(team: TeamId): Set<JobId> = byTeam[team].orEmpty()

    fun jobsOn(vm: VmId): Set<JobId> = byWorker[vm].orEmpty()

    fun worker(vm: VmId): WorkerRecord = workers[vm] ?: WorkerRecord(vm)

    fun putWorker(record: WorkerRecord) {
        if (record == WorkerRecord(record.vm)) workers.remove(record.vm) else workers[record.vm] = record
    }

    /** Returns the queued jobs, the most urgent first and the oldest first within one urgency. */
    fun queue(): Sequence<Job> = Urgency.entries
        .reversed()
        .asSequence()
        .flatMap { queues.getValue(it).values.asSequence() }
        .map(jobs::getValue)

    fun hasQuotaFor(job: Job): Boolean {
        val quota = quotas[job.spec.team] ?: return false
        return (declaredBy(job.spec.team) + job.spec.declared).fitsIn(quota.limit)
    }

    private companion object {
        const val MAX_FINISHED = 1024
    }
}

/**
 * Job failures recorded for a worker.
 *
 * @property unproven jobs that failed on this worker since its last success and whose outcome on other workers is not
 * known yet, so that the cause of the failure is unknown.
 * @property proven jobs that failed on this worker and then succeeded on another one.
 * @property lastFailureAt time of the latest job failure on this worker, or null after a success.
 * @property quarantinedSince time since which the worker gets no jobs because of its failures, or null.
 */
@Serializable
internal data class WorkerRecord(
    val vm: VmId,
    val unproven: Set<JobId> = emptySet(),
    val proven: Set<JobId> = emptySet(),
    val lastFailureAt: Instant? = null,
    val quarantinedSince: Instant? = null,
) {
    /** Whether the worker may run only one job at a time until the cause of its failures is known. */
    val isOnProbation: Boolean get() = unproven.size + proven.size >= PROBATION_FAILURES

    private companion object {
        const val PROBATION_FAILURES = 3
    }
}

/** Serialized form of [JobTables]; the indexes are rebuilt on restore. */
@Serializable
internal data class JobSnapshot(
    val jobs: List<Job> = emptyList(),
    val quotas: List<TeamQuota> = emptyList(),
    val finished: List<FinishedJob> = emptyList(),
    val workers: List<WorkerRecord> = emptyList(),
)

internal fun JobTables.toSnapshot(): JobSnapshot =
    JobSnapshot(jobs.values.toList(), quotas.values.toList(), finished.values.toList(), workers.values.toList())

internal fun JobTables.restore(snapshot: JobSnapshot) {
    snapshot.jobs.forEach(::put)
    snapshot.quotas.forEach { quotas[it.team] = it }
    snapshot.finished.forEach { finished[it.spec.id] = it }
    snapshot.workers.forEach { workers[it.vm] = it }
}
