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

/** Tables of the jobs with the indexes that make each change cost no more than the jobs it touches. */
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

    /** Queued jobs, most urgent and then oldest first. */
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
 * What is held against a worker.
 *
 * @property unproven jobs that failed here since the last success and have not been tried to the end elsewhere.
 * @property proven jobs that failed here and then succeeded elsewhere.
 * @property lastFailureAt latest failure of a job here, or null after a success.
 * @property quarantinedSince start of the quarantine from jobs, or null.
 */
@Serializable
internal data class WorkerRecord(
    val vm: VmId,
    val unproven: Set<JobId> = emptySet(),
    val proven: Set<JobId> = emptySet(),
    val lastFailureAt: Instant? = null,
    val quarantinedSince: Instant? = null,
) {
    /** A worker on probation runs one job at a time until its failures are explained. */
    val isOnProbation: Boolean get() = unproven.size + proven.size >= PROBATION_FAILURES

    private companion object {
        const val PROBATION_FAILURES = 3
    }
}

/** Encoded form of [JobTables]. */
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
