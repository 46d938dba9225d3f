package org.auburnstream.scheduling

import org.auburnstream.model.JobId

/** Logs committed batches, a line for each record that matters to operators. */
internal class BatchLog(
    private val state: SchedulerState,
    private val log: (String, Array<out Pair<String, Any?>>) -> Unit,
) {
    /** Logs what [batch] has changed, after it was applied. */
    fun committed(batch: RecordBatch) {
        val endedJobs = HashSet<JobId>()
        state.crashes.lostRuns.forEach { logLost(it, batch.atMs, endedJobs) }
        for (record in batch.records) {
            when (record) {
                is Record.JobAccepted -> logAccepted(record)
                is Record.JobCancelled -> log("job_cancelled", "job" to record.id)
                is Record.CatalogAccepted -> log("catalog_accepted", "version" to record.catalog.version)
                is Record.CatalogReplaced -> log(
                    "catalog_accepted",
                    "version" to record.version,
                    "queues" to state.catalog?.queues?.size,
                    "log_bytes" to record.maxSize(),
                )
                is Record.WorkerRegistered -> log(
                    "worker_seen",
                    "worker" to record.profile.incarnation,
                    "service" to record.profile.service,
                    "leaving" to record.leaving,
                )
                is Record.WorkerEnded -> log("worker_gone", "worker" to record.incarnation)
                is Record.RunReleased -> log("run_released", "run" to record.run, "worker" to record.incarnation)
                is Record.RunEnded -> logEnd(record, batch.atMs, endedJobs)
                is Record.LeaseClosed ->
                    log("lease_closed", "worker" to record.incarnation, "left_ms" to record.leftMs)
                is Record.LeaseReopened -> log("lease_reopened", "worker" to record.incarnation)
                is Record.WaveAccepted -> log("wave_accepted", "wave" to record.wave, "vms" to record.vms.size)
                is Record.UpkeepBegun -> log("upkeep_begun", "wave" to record.wave, "vm" to record.vm)
                is Record.UpkeepEnded -> log(
                    "upkeep_ended",
                    "wave" to record.wave,
                    "vm" to record.vm,
                    "cause" to record.cause?.name?.lowercase(),
                )
                is Record.UpkeepRefused -> log("upkeep_refused", "wave" to record.wave, "vm" to record.vm)
                is Record.MoveBegun -> log("move_begun", "vm" to record.vm, "from" to record.from, "to" to record.to)
                is Record.MoveEnded -> log("move_ended", "vm" to record.vm)
                is Record.MoveRefused -> log("move_refused", "vm" to record.vm)
                // Logged as run_claimed when its start order is sent, just after the commit.
                is Record.RunClaimed -> Unit
                is Record.MoveConfirmed, is Record.UpkeepConfirmed, is Record.EndsRecorded, is Record.JobStarted -> Unit
                // Logged as worker_fenced when the worker answers.
                is Record.WorkerFenced -> Unit
            }
        }
    }

    private fun logAccepted(record: Record.JobAccepted) {
        val lasting = record.description.steps.filter { it.lasting }.sumOf { it.count }
        log("job_accepted", "job" to record.id, "queue" to record.queue.name, "lasting_tasks" to lasting)
    }

    private fun logLost(lost: LostRun, atMs: Long, endedJobs: MutableSet<JobId>) {
        log(
            "run_lost",
            "run" to lost.run,
            "worker" to lost.incarnation,
            "cause" to lost.loss.name.lowercase(),
            "runs" to lost.runs,
            "started_last" to lost.startedLast,
            "crashes" to lost.crashes,
        )
        logOver(lost.run.task.step.job, atMs, endedJobs)
    }

    /** Logs the end of a run, and the end of its job once; [endedJobs] contains the jobs whose end is logged. */
    private fun logEnd(record: Record.RunEnded, atMs: Long, endedJobs: MutableSet<JobId>) {
        log("run_ended", "run" to record.run, "worker" to record.incarnation, "end" to record.end)
        logOver(record.run.task.step.job, atMs, endedJobs)
    }

    private fun logOver(id: JobId, atMs: Long, endedJobs: MutableSet<JobId>) {
        val job = state.jobs[id] ?: return
        if (!job.isActive && job.endedMs == atMs && endedJobs.add(job.id)) {
            log("job_over", "job" to job.id, "phase" to job.phase, "age_ms" to atMs - job.acceptedMs)
        }
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = log.invoke(event, fields)
}
