package org.auburnstream.scheduling

/**
 * Records for a [SchedulerState] which crashes of workers count against which tasks, and which tasks are suspects.
 *
 * A crash shows as another worker that reports from the VM, as a restart under the same id, or as a lease that expires
 * in silence. It counts against all tasks that ran there, because nothing tells which of them was the cause. If the
 * worker had announced its end or was ordered to end, its loss counts against none.
 */
internal class CrashRecords(private val state: SchedulerState) {
    private val lost = ArrayList<LostRun>()
    private val suspectTable = LinkedHashSet<TaskId>()

    /** Runs that the latest batch claimed, whose start orders are not sent yet. */
    private val unsent = HashSet<RunId>()

    /** Runs whose worker was lost in the latest batch. */
    val lostRuns: List<LostRun>
        get() = lost

    /** Tasks of active jobs that may crash their workers, see [isSuspect]. */
    val suspects: Set<TaskId>
        get() = suspectTable

    /** Begins [batch], and records the losses of the workers whose runs it releases, before the first is released. */
    fun beginBatch(batch: RecordBatch) {
        lost.clear()
        unsent.clear()
        val released = batch.records.filterIsInstance<Record.RunReleased>().filter { it.loss != null }
        for ((incarnation, records) in released.groupBy { it.incarnation }) {
            val worker = state.worker(incarnation) ?: continue
            recordLoss(worker, records.firstNotNullOf { it.loss }, records.map { it.run }.toSet())
        }
    }

    /** Handles the claim of [run]. */
    fun claimed(run: RunId) {
        unsent.add(run)
    }

    /**
     * Records the loss of [worker] with the runs claimed there, or those in [only].
     *
     * Runs that were claimed in the same batch have not been ordered there.
     *
     * @param unplanned how the worker was lost, unless it had announced its end or was ordered to end.
     */
    fun recordLoss(worker: Worker, unplanned: WorkerLoss, only: Set<RunId>? = null) {
        val incarnation = worker.profile.incarnation
        val claims = claimsAt(incarnation)
        if (claims.isEmpty()) return
        val loss = lossOf(worker, unplanned)
        // Orders that were sent to a worker that was lost already hide what had started there last.
        val last = startedLast(claims.filterKeys { it !in worker.unconfirmed })
        val repeated = last.filter { state.task(it.task)?.hasCrashedAtStart == true }
        val lostMs = worker.leaseClosedMs ?: state.latestMs
        for ((run, claim) in claims) {
            val task = state.task(run.task) ?: continue
            // The crash counted when the claim moved to the later incarnation.
            val isCounted = task.crashes.any { it.number == run.number }
            if (isCounted || (only != null && run !in only)) continue
            val suspicion = when {
                run !in last -> Suspicion.BYSTANDER
                loss == WorkerLoss.SILENT || lostMs - claim.claimedMs > AT_START_MS -> Suspicion.STARTED_LAST
                repeated.singleOrNull() == run -> Suspicion.AT_START_ALONE
                else -> Suspicion.AT_START
            }
            if (loss.isCrash) recordCrash(run, task, suspicion, ageMs = state.latestMs - claim.claimedMs)
            val startedLast = if (run in last) last.size else 0
            lost.add(LostRun(run, incarnation, loss, claims.size, startedLast, task.crashes.size))
        }
    }

    /** Handles the end of [run] of [task]: the run did not end with its worker. */
    fun runEnded(run: RunId, task: Task) {
        if (task.crashes.none { it.number == run.number }) return
        task.crashes = task.crashes.filter { it.number != run.number }
        update(run.task, task)
    }

    /** Handles that tasks of [step] are done. */
    fun tasksDone(step: StepId) {
        suspectTable.removeAll { it.step == step && state.task(it)?.isSuspect != true }
    }

    /** Handles the end of [job]. */
    fun jobEnded(job: Job) {
        suspectTable.removeAll { it.step.job == job.id }
    }

    /** Forgets the suspects, before a snapshot is read. */
    fun clear() {
        lost.clear()
        suspectTable.clear()
    }

    /** Adds [task] to the suspects if it is one, or removes it. */
    fun update(id: TaskId, task: Task) {
        val isActive = id.step.job in state.active
        if (isActive && task.isSuspect) suspectTable.add(id) else suspectTable.remove(id)
    }

    private fun claimsAt(incarnation: WorkerIncarnation): Map<RunId, Claim> {
        val claims = LinkedHashMap<RunId, Claim>()
        for (run in state.claimsAt(incarnation).keys) {
            if (run in unsent) continue
            val claim = state.task(run.task)?.claims?.find { it.number == run.number && it.incarnation == incarnation }
            if (claim != null) claims[run] = claim
        }
        return claims
    }

    private fun lossOf(worker: Worker, unplanned: WorkerLoss): WorkerLoss {
        val startedMs = worker.profile.incarnation.startedMs
        val vm = worker.profile.vm
        val isOrdered = vm != null &&
            (state.moves[vm]?.workerStartedMs == startedMs || state.waves.values.any { it.begun[vm] == startedMs })
        return when {
            worker.isLeaving -> WorkerLoss.ANNOUNCED
            isOrdered -> WorkerLoss.ORDERED
            else -> unplanned
        }
    }

    private fun recordCrash(run: RunId, task: Task, suspicion: Suspicion, ageMs: Long) {
        if (run.task.step.job !in state.active || task.isDone) return
        val isLasting = state.stepOf(run.task)?.lasting == true
        task.crashes = if (isLasting && ageMs >= SOUND_RUN_MS) {
            emptyList()
        } else {
            task.crashes + Crash(run.number, suspicion)
        }
        update(run.task, task)
    }

    private companion object {
        /** Longest time from the claim of a run to the record of its worker's silence if the start was the cause. */
        const val AT_START_MS = 250L

        /** Time after which a lasting run that is lost with its worker did not crash it, with the time to notice. */
        const val SOUND_RUN_MS = 10_000L
    }
}

/**
 * Run that was claimed at [incarnation] when this was lost.
 *
 * @property loss how the incarnation was lost.
 * @property runs number of runs that were claimed there, this one included.
 * @property startedLast how many of them had started last, or 0 if this one had not.
 * @property crashes number of crashes that count against the task since, see [Task.crashes].
 */
internal class LostRun(
    val run: RunId,
    val incarnation: WorkerIncarnation,
    val loss: WorkerLoss,
    val runs: Int,
    val startedLast: Int,
    val crashes: Int,
)

/**
 * Returns those of [claims] that were decided last, one of which rather than an earlier one has crashed the worker.
 *
 * Claims that were decided within [START_SPREAD_MS] may have reached the worker in any order.
 */
private fun startedLast(claims: Map<RunId, Claim>): Set<RunId> {
    val latestMs = claims.values.maxOfOrNull { it.claimedMs } ?: return emptySet()
    return claims.filterValues { it.claimedMs >= latestMs - START_SPREAD_MS }.keys
}

/** A few commits. */
private const val START_SPREAD_MS = 100L
