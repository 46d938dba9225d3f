package org.auburnstream.fleet

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after which a worker ends its jobs on its own if their leases are not renewed. */
public val JOB_LEASE: Duration = 30.seconds

/**
 * Places queued jobs by estimated usage, relieves overloaded workers and removes jobs from workers that are about to
 * stop.
 *
 * Milder actions are applied before stronger ones, and to less urgent jobs before more urgent ones.
 */
internal class JobPlanner(private val usage: UsageEstimator) {
    private val checkpointRequestedAt = hashMapOf<FleetRevision, MonotonicTime>()
    private val lastActionSequence = hashMapOf<VmId, Long>()

    fun plan(state: FleetState, at: Instant, now: MonotonicTime, plan: PlanBuilder) {
        val running = state.jobs.values.filter { it.phase is JobPhase.Running }
        checkpointRequestedAt.keys.retainAll(running.mapNotNullTo(hashSetOf()) { it.leaseOrNull })
        for (job in running) {
            planRunning(state, job, job.phase as JobPhase.Running, at, now, plan)
        }
        planOverloads(state, plan)
        if (state.queuedJobs().any()) planPlacements(WorkerTable(state, usage, at), state, plan)
    }

    private fun planRunning(
        state: FleetState,
        job: Job,
        phase: JobPhase.Running,
        at: Instant,
        now: MonotonicTime,
        plan: PlanBuilder,
    ) {
        val id = job.spec.id
        val report = usage.reportOf(phase.vm)?.jobs?.firstOrNull { it.lease == phase.lease }
        val end = report?.end ?: JobEnd.WORKER_LOST.takeIf { isLeaseOver(state, phase, at, now) }
        if (end != null) {
            plan.commands += JobCommand.EndJob(id, phase.lease, end)
            return
        }
        val action = dueAction(state, phase, now)
        if (action != phase.action && action != null) {
            plan.commands += JobCommand.ApplyJobAction(id, phase.lease, action)
        }
        if (phase.action != null) {
            plan.platformRequests += PlatformRequest.ApplyJobAction(phase.vm, phase.lease, id, phase.action)
        } else if (report == null) {
            plan.platformRequests += PlatformRequest.RunJob(phase.vm, phase.lease, job.spec, job.hasCheckpoint)
        }
    }

    /**
     * Returns whether the job's lease has expired, so that the job may run on another worker.
     *
     * A lost worker ends its jobs on its own when their leases expire. The platform may still reach a worker that the
     * daemons do not hear from; recent usage reports show that such a worker is still running its jobs.
     */
    private fun isLeaseOver(state: FleetState, phase: JobPhase.Running, at: Instant, now: MonotonicTime): Boolean {
        val hasReported = usage.measuredAt(phase.vm)?.let { now - it < JOB_LEASE } ?: false
        if (hasReported) return false
        val since = state.vms.getValue(phase.vm).phase.leasesUnrenewedSince ?: return false
        return at >= since + JOB_LEASE
    }

    private fun dueAction(state: FleetState, phase: JobPhase.Running, now: MonotonicTime): JobAction? {
        val leaving = state.vms.getValue(phase.vm).phase !is VmPhase.Active
        val current = phase.action
        if (current != JobAction.CHECKPOINT) {
            return if (leaving) maxOf(JobAction.CHECKPOINT, current ?: JobAction.CHECKPOINT) else current
        }
        val since = checkpointRequestedAt.getOrPut(phase.lease) { now }
        return if (now - since >= CHECKPOINT_TIMEOUT) JobAction.STOP else current
    }

    private fun planOverloads(state: FleetState, plan: PlanBuilder) {
        for (vm in state.vms.values) {
            val jobs = state.jobsOn(vm.id)
            val report = usage.reportOf(vm.id)
            if (jobs.isEmpty() || report == null || report.sequence < nextActionSequence(vm.id)) continue
            val (victim, action) = overloadAction(vm.size.resources, report.used, jobs) ?: continue
            // The effect shows only in a later report; acting on a second job before that would be excessive.
            lastActionSequence[vm.id] = report.sequence
            plan.commands += JobCommand.ApplyJobAction(victim.spec.id, victim.leaseOrNull ?: continue, action)
        }
    }

    private fun nextActionSequence(vm: VmId): Long = lastActionSequence[vm]?.let { it + REPORTS_BETWEEN_ACTIONS } ?: 0

    private fun overloadAction(capacity: Resources, used: Resources, jobs: List<Job>): TargetedAction? {
        val checkpoint by lazy { leastUrgent(jobs, JobAction.CHECKPOINT) }
        return when {
            used.memoryMegabytes > capacity.memoryMegabytes * MAX_MEMORY_SHARE -> checkpoint
            used.millicores > capacity.millicores * MAX_PROCESSOR_SHARE ->
                leastUrgent(jobs, JobAction.THROTTLE) ?: checkpoint
            else -> null
        }
    }

    private fun planPlacements(workers: WorkerTable, state: FleetState, plan: PlanBuilder) {
        val used = hashMapOf<TeamId, Resources>()
        var placed = 0
        for (job in state.queuedJobs().take(MAX_JOBS_CONSIDERED)) {
            val team = job.spec.team
            val quota = state.quotas[team] ?: continue
            val after = (used[team] ?: state.declaredBy(team)) + job.spec.declared
            if (!after.fitsIn(quota.limit)) continue
            val worker = workers.bestFor(job)
            if (worker == null) {
                if (job.spec.urgency == Urgency.URGENT) preempt(workers, state, job, plan)
                continue
            }
            workers.reserve(worker, job)
            used[team] = after
            plan.commands += JobCommand.PlaceJob(job.spec.id, worker.vm.id)
            if (++placed >= MAX_JOBS_PLACED) return
        }
    }

    /** Checkpoints less urgent jobs to make room for [job], on the worker where the fewest jobs have to leave. */
    private fun preempt(workers: WorkerTable, state: FleetState, job: Job, plan: PlanBuilder) {
        val needed = usage.estimateOf(job)
        val victims =
            workers
                .candidatesFor(job)
                .mapNotNull { victimsFor(state, it, needed, job.spec.urgency) }
                .minByOrNull { it.size } ?: return
        for (victim in victims) {
            val lease = victim.leaseOrNull ?: continue
            plan.commands += JobCommand.ApplyJobAction(victim.spec.id, lease, JobAction.CHECKPOINT)
        }
    }

    private fun victimsFor(state: FleetState, worker: Worker, needed: Resources, urgency: Urgency): List<Job>? {
        var free = worker.free
        val victims = mutableListOf<Job>()
        val lessUrgent = state.jobsOn(worker.vm.id).filter { it.spec.urgency < urgency }
        for (job in lessUrgent.sortedBy { it.spec.urgency }) {
            if (needed.fitsIn(free)) break
            val action = (job.phase as JobPhase.Running).action
            free += usage.estimateOf(job)
            // A job that is already leaving frees its resources without another action.
            if (action == null || action == JobAction.THROTTLE) victims += job
        }
        return victims.takeIf { needed.fitsIn(free) }
    }

    private fun leastUrgent(jobs: List<Job>, action: JobAction): TargetedAction? = jobs
        .filter { job -> (job.phase as JobPhase.Running).action.let { it == null || it < action } }
        .minWithOrNull(compareBy({ it.spec.urgency }, { -it.spec.declared.memoryMegabytes }))
        ?.let { TargetedAction(it, action) }

    private data class TargetedAction(val job: Job, val action: JobAction)

    private companion object {
        val CHECKPOINT_TIMEOUT = 20.seconds
        const val REPORTS_BETWEEN_ACTIONS = 2
        const val MAX_MEMORY_SHARE = 0.95
        const val MAX_PROCESSOR_SHARE = 0.98
        const val MAX_JOBS_CONSIDERED = 512
        const val MAX_JOBS_PLACED = 64
    }
}

/** Candidate VM for jobs; [free] is the capacity that is still available for placement. */
internal class Worker(val vm: Vm, var free: Resources, var jobs: Int, val trust: WorkerTrust)

/** Free capacity of the workers by pool; it is updated as placements are added to one plan. */
internal class WorkerTable(private val state: FleetState, private val usage: UsageEstimator, private val at: Instant) {
    private val byPool = hashMapOf<PoolId, List<Worker>>()

    fun bestFor(job: Job): Worker? {
        val needed = usage.estimateOf(job)
        return candidatesFor(job).filter { needed.fitsIn(it.free) }.maxByOrNull { it.free.millicores }
    }

    /** Returns the workers that may run [job], regardless of their free capacity. */
    fun candidatesFor(job: Job): List<Worker> = inPool(job.spec.pool).filter { it.mayRun(job) }

    fun reserve(worker: Worker, job: Job) {
        worker.free -= usage.estimateOf(job)
        worker.jobs++
    }

    private fun Worker.mayRun(job: Job): Boolean = when (trust) {
        WorkerTrust.QUARANTINED -> false
        WorkerTrust.PROBATION -> jobs == 0 && isProbeDue() && vm.id !in job.failedOn
        WorkerTrust.FULL -> vm.id !in job.failedOn
    }

    private fun Worker.isProbeDue(): Boolean = state.nextProbeAt(vm.id)?.let { at >= it } ?: true

    private fun inPool(pool: PoolId): List<Worker> = byPool.getOrPut(pool) {
        state.membersOf(pool).map(state.vms::getValue).filter { it.phase is VmPhase.Active }.map(::workerOf)
    }

    private fun workerOf(vm: Vm): Worker {
        val capacity = vm.size.resources
        val usable =
            capacity.copy(
                millicores = capacity.millicores * USABLE_PERCENT / 100,
                memoryMegabytes = capacity.memoryMegabytes * USABLE_PERCENT / 100,
            )
        val jobs = state.jobsOn(vm.id)
        val accelerators = Resources(accelerators = jobs.sumOf { it.spec.declared.accelerators })
        val used = usage.estimateOf(vm, state).copy(accelerators = 0) + accelerators
        return Worker(vm, usable - used, jobs.size, state.trustOf(vm.id))
    }

    private companion object {
        const val USABLE_PERCENT = 85
    }
}
