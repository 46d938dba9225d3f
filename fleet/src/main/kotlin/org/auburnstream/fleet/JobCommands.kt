package org.auburnstream.fleet

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.VmId
import org.auburnstream.model.isValidId

/** Applies the commands on jobs and quotas. */
internal class JobCommands(private val tables: FleetTables) {
    private val jobs get() = tables.jobs
    private val failures = WorkerFailureTracker(tables)

    fun submit(spec: JobSpec): FleetRefusal? {
        checkSubmission(spec)?.let { return it }
        jobs.put(Job(spec, tables.revision, tables.clock))
        return null
    }

    fun setQuota(quota: TeamQuota): FleetRefusal? {
        if (!quota.isValid) return FleetRefusal.InvalidValue(CommandField.QUOTA)
        jobs.quotas[quota.team] = quota
        return null
    }

    fun cancel(team: TeamId, selected: List<JobId>): FleetRefusal? {
        val ids = selected.ifEmpty { jobs.jobsOf(team).toList() }
        val foreign = ids.firstOrNull { jobs.jobs[it]?.spec?.team != team }
        if (foreign != null) return JobRefusal.UnknownJob(foreign)
        ids.forEach { cancelOne(jobs.jobs.getValue(it)) }
        return null
    }

    fun place(id: JobId, worker: VmId): FleetRefusal? {
        val job = jobs.jobs[id] ?: return JobRefusal.UnknownJob(id)
        val vm = tables.vms[worker] ?: return FleetRefusal.UnknownVm(worker)
        val fits = vm.pool == job.spec.pool && job.spec.declared.accelerators <= vm.size.accelerators
        val unfit = vm.phase !is VmPhase.Active || !fits || jobs.worker(worker).quarantinedSince != null
        if (unfit || job.phase !is JobPhase.Queued || worker in job.failedOn) return JobRefusal.WorkerUnfit(id, worker)
        if (!jobs.hasQuotaFor(job)) return JobRefusal.QuotaUsed(job.spec.team)
        jobs.put(job.copy(phase = JobPhase.Running(worker, tables.revision, tables.clock)))
        return null
    }

    fun applyAction(id: JobId, lease: FleetRevision, action: JobAction): FleetRefusal? {
        val job = jobs.jobs[id] ?: return JobRefusal.UnknownJob(id)
        val phase = job.phase as? JobPhase.Running ?: return JobRefusal.LeaseSuperseded(id)
        if (phase.lease != lease) return JobRefusal.LeaseSuperseded(id)
        val strongest = maxOf(action, phase.action ?: action)
        jobs.put(job.copy(phase = phase.copy(action = strongest)))
        return null
    }

    fun end(id: JobId, lease: FleetRevision, end: JobEnd): FleetRefusal? {
        val job = jobs.jobs[id] ?: return JobRefusal.UnknownJob(id)
        val phase = job.phase as? JobPhase.Running ?: return JobRefusal.LeaseSuperseded(id)
        if (phase.lease != lease) return JobRefusal.LeaseSuperseded(id)
        when {
            end == JobEnd.SUCCEEDED -> succeed(job, phase.vm)
            phase.cancelled -> jobs.finish(job, JobResult.CANCELLED, tables.clock)
            end == JobEnd.FAILED -> fail(job, phase.vm)
            else -> jobs.put(requeued(job, end))
        }
        return null
    }

    private fun checkSubmission(spec: JobSpec): FleetRefusal? {
        val quota = jobs.quotas[spec.team]
        return when {
            !isValidId(spec.id.value) || !spec.declared.isValid -> FleetRefusal.InvalidValue(CommandField.ID)
            spec.id in jobs.jobs || spec.id in jobs.finished -> JobRefusal.JobExists(spec.id)
            spec.pool !in tables.pools -> FleetRefusal.UnknownPool(spec.pool)
            quota == null -> JobRefusal.NoQuota(spec.team)
            !spec.declared.fitsIn(quota.limit) -> JobRefusal.ExceedsQuota(spec.team, quota.limit)
            jobs.queuedOf(spec.team) >= quota.maxQueued -> JobRefusal.QueueFull(spec.team, quota.maxQueued)
            else -> checkSize(spec)
        }
    }

    /** Refuses a job whose declared size exceeds every worker, because no placement would ever be proposed for it. */
    private fun checkSize(spec: JobSpec): FleetRefusal? {
        val sizes = tables.membersOf(spec.pool).map { tables.vms.getValue(it) }
        val live = sizes.filter { it.phase !is VmPhase.GivenUp }.map { it.size.resources }
        if (live.any { spec.declared.fitsIn(it) }) return null
        val largest =
            Resources(
                millicores = live.maxOfOrNull { it.millicores } ?: 0,
                memoryMegabytes = live.maxOfOrNull { it.memoryMegabytes } ?: 0,
                accelerators = live.maxOfOrNull { it.accelerators } ?: 0,
            )
        return JobRefusal.ExceedsWorkers(spec.pool, largest)
    }

    private fun cancelOne(job: Job) {
        when (val phase = job.phase) {
            is JobPhase.Queued -> jobs.finish(job, JobResult.CANCELLED, tables.clock)
            is JobPhase.Running ->
                jobs.put(job.copy(phase = phase.copy(action = JobAction.STOP, cancelled = true)))
        }
    }

    private fun succeed(job: Job, worker: VmId) {
        failures.clearFailures(worker)
        jobs.finish(job, JobResult.SUCCEEDED, tables.clock)
        job.failedOn.forEach { failures.attributeFailure(it, job) }
    }

    private fun fail(job: Job, worker: VmId) {
        val failed = requeued(job, JobEnd.FAILED).copy(failedOn = job.failedOn + worker)
        if (failed.failedOn.size >= MAX_FAILED_WORKERS) {
            failed.failedOn.forEach { failures.discardFailure(it, job.spec.id) }
            jobs.finish(failed, JobResult.FAILS_EVERYWHERE, tables.clock)
        } else {
            failures.recordFailure(worker, job.spec.id)
            jobs.put(failed)
        }
    }

    private fun requeued(job: Job, end: JobEnd): Job =
        job.copy(phase = JobPhase.Queued, hasCheckpoint = job.hasCheckpoint || end == JobEnd.CHECKPOINTED)

    private companion object {
        const val MAX_FAILED_WORKERS = 3
    }
}

/**
 * Attributes job failures to faulty workers or to faulty jobs, and quarantines faulty workers.
 *
 * A failure is attributed to the worker only once the same job has succeeded on another worker. When a job has failed
 * on the maximum number of workers, its failures no longer count against those workers.
 */
internal class WorkerFailureTracker(private val tables: FleetTables) {
    private val jobs get() = tables.jobs

    fun recordFailure(vm: VmId, job: JobId) =
        change(vm) { it.copy(unproven = it.unproven + job, lastFailureAt = tables.clock) }

    fun discardFailure(vm: VmId, job: JobId) =
        change(vm) { it.copy(unproven = it.unproven - job).withoutStaleFailureTime() }

    fun clearFailures(vm: VmId) =
        change(vm) { it.copy(unproven = emptySet(), proven = emptySet(), lastFailureAt = null) }

    fun resetRecord(vm: VmId) = change(vm) { WorkerRecord(vm) }

    fun attributeFailure(vm: VmId, job: Job) {
        // A later success of another job on this worker has already cleared the failure.
        if (job.spec.id !in jobs.worker(vm).unproven) return
        change(vm) { it.copy(unproven = it.unproven - job.spec.id, proven = it.proven + job.spec.id) }
        val record = jobs.worker(vm)
        val isQuarantineDue = record.proven.size >= QUARANTINE_FAILURES && mayQuarantineMore(job.spec)
        if (isQuarantineDue) change(vm) { it.copy(quarantinedSince = it.quarantinedSince ?: tables.clock) }
    }

    private fun mayQuarantineMore(spec: JobSpec): Boolean {
        val members = tables.membersOf(spec.pool)
        val quarantined = members.count { jobs.worker(it).quarantinedSince != null }
        return quarantined < (members.size / MAX_QUARANTINED_SHARE_DIVISOR).coerceAtLeast(1)
    }

    private fun WorkerRecord.withoutStaleFailureTime(): WorkerRecord =
        if (unproven.isEmpty() && proven.isEmpty()) copy(lastFailureAt = null) else this

    private fun change(vm: VmId, edit: (WorkerRecord) -> WorkerRecord) = jobs.putWorker(edit(jobs.worker(vm)))

    private companion object {
        const val QUARANTINE_FAILURES = 2
        const val MAX_QUARANTINED_SHARE_DIVISOR = 5
    }
}

/** Declared resources of the VM. */
internal val VmSize.resources: Resources
    get() = Resources(processors * MILLICORES, memoryMegabytes, accelerators)

private const val MILLICORES = 1000L
