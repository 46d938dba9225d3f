package org.auburnstream.dispatch.operators

import org.auburnstream.api.schedule.AmountView
import org.auburnstream.api.schedule.CrashView
import org.auburnstream.api.schedule.JobSubmission
import org.auburnstream.api.schedule.QueueView
import org.auburnstream.api.schedule.RunView
import org.auburnstream.api.schedule.ScheduledJobView
import org.auburnstream.api.schedule.StepSubmission
import org.auburnstream.api.schedule.TenantView
import org.auburnstream.api.schedule.UpkeepView
import org.auburnstream.api.schedule.WorkerView
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.scheduling.Job
import org.auburnstream.scheduling.JobDescription
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.RunId
import org.auburnstream.scheduling.Schedule
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.StepDescription
import org.auburnstream.scheduling.StepId
import org.auburnstream.scheduling.Task
import org.auburnstream.scheduling.TaskId
import org.auburnstream.scheduling.TenantName
import org.auburnstream.scheduling.TenantUsage
import org.auburnstream.scheduling.tenantUsage

/** Converts the scheduling state at [nowMs] to the views of the operators' interface. */
internal class ScheduleViews(
    private val nowMs: Long,
    private val usage: (SchedulerState) -> Map<TenantName, TenantUsage> = { it.tenantUsage() },
) {
    /**
     * Returns the jobs of [queue], or of all queues if it is null, up to [MAX_JOBS].
     *
     * Active jobs come first, the oldest one at the head, then finished jobs, the latest one at the head.
     */
    fun jobs(state: SchedulerState, queue: QueueName?): List<ScheduledJobView> {
        val selected = state.jobs.values.filter { queue == null || it.queue.name == queue }
        val (active, finished) = selected.partition { it.isActive }
        return (active + finished.sortedByDescending { it.endedMs }).take(MAX_JOBS).map(::job)
    }

    fun job(job: Job): ScheduledJobView {
        val tasks = job.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }
        return ScheduledJobView(
            id = job.id.value,
            queue = job.queue.name.value,
            phase = job.phase.name.lowercase(),
            ageMillis = nowMs - job.acceptedMs,
            tasks = job.description.steps.sumOf { it.count },
            tasksDone = tasks.count { it.isDone },
            runs = runs(job),
            tenant = job.owner?.tenant?.value,
            crashes = crashes(job),
        )
    }

    private fun runs(job: Job): List<RunView> = tasks(job).flatMap { (id, task) ->
        task.claims.map { RunView(RunId(id, it.number).toString(), it.incarnation.toString()) }
    }

    private fun crashes(job: Job): List<CrashView> = tasks(job).flatMap { (id, task) ->
        task.crashes.map { CrashView(RunId(id, it.number).toString(), it.suspicion.name.lowercase()) }
    }

    /** Returns the tasks of the occurrences in progress. */
    private fun tasks(job: Job): List<Pair<TaskId, Task>> = job.occurrences.flatMap { (number, occurrence) ->
        occurrence.steps.flatMapIndexed { step, progress ->
            progress.tasks.mapIndexed { index, task -> TaskId(StepId(job.id, number, step), index) to task }
        }
    }

    fun queues(state: SchedulerState): List<QueueView> = state.catalog?.queues.orEmpty().map { queue ->
        QueueView(
            name = queue.name.value,
            service = queue.service.value,
            priority = queue.priority,
            attempts = queue.attempts,
            waiting = state.waitingJobs(queue.name),
            active = state.active.values.count { it.queue.name == queue.name },
        )
    }

    fun tenants(state: SchedulerState): List<TenantView> = usage(state).map { (name, usage) ->
        val tenant = state.catalog?.tenant(name)
        TenantView(
            name = name.value,
            weight = tenant?.weight,
            cap = tenant?.cap?.let(::amount),
            running = amount(usage.running),
            runs = usage.runs,
            waiting = usage.waiting,
            active = usage.active,
            excess = usage.excess,
        )
    }

    private fun amount(resources: Resources) =
        AmountView(resources.millicores, resources.memoryMegabytes, resources.accelerators)

    fun workers(state: SchedulerState): List<WorkerView> = state.workers.values.map { worker ->
        val profile = worker.profile
        val claims = state.claimsAt(profile.incarnation)
        WorkerView(
            worker = profile.incarnation.toString(),
            service = profile.service.value,
            address = profile.address,
            dataCentre = profile.dataCentre.value,
            vm = profile.vm?.value,
            leaving = worker.isLeaving,
            millicores = profile.capacity.millicores,
            millicoresUsed = claims.values.sumOf { it.reserved.millicores },
            runs = claims.size,
        )
    }

    fun waves(state: SchedulerState): List<UpkeepView> = state.waves.values.map { wave ->
        UpkeepView(
            wave = wave.number,
            vms = wave.vms.size,
            begun = wave.begun.size,
            ended = wave.ended.size,
            cap = wave.cap,
            dueInMillis = wave.dueMs - nowMs,
            complete = wave.isComplete,
            unknown = wave.unknown.size,
            refused = wave.refused.size,
        )
    }

    private companion object {
        /** Limits the size of an answer to several hundred kilobytes. */
        const val MAX_JOBS = 500
    }
}

/** Converts the submission to a job description; [org.auburnstream.scheduling.problem] checks its validity. */
internal fun JobSubmission.toDescription(): JobDescription = JobDescription(
    payload = payload,
    steps = steps.map { it.toDescription() },
    schedule = schedule?.let { Schedule(it.occurrences, it.firstMillis, it.intervalMillis) },
)

private fun StepSubmission.toDescription(): StepDescription = StepDescription(
    count = count,
    demand = Resources(millicores, memoryMegabytes, accelerators),
    estimateMs = estimateMillis,
    dependsOn = dependsOn,
    savesProgress = savesProgress,
    gang = gang,
    prefersOneRack = prefersOneRack,
    requiredLabel = requiredLabel,
    dataRack = dataRack?.let(::RackId),
    maxPerWorker = maxPerWorker,
    allowsCopies = allowsCopies,
    lasting = lasting,
    image = image,
    tailTargetMs = tailTargetMillis,
    fillsUnused = fillsUnused,
    mayMiss = mayMiss,
)
