package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Replicated state of jobs, workers, waves, VM moves and the catalog.
 *
 * Every replica applies the same batches in the same order and therefore holds the same state. Not thread-safe.
 *
 * @property retentionMs time for which the state of an ended job can be read.
 * @property decodeCatalog decodes the text of a catalog that was accepted.
 */
public class SchedulerState(
    private val retentionMs: Long,
    private val decodeCatalog: (String) -> Catalog = { error("there is no decoder for catalogs") },
) {
    /** Current catalog, or null before the first one is accepted. */
    public var catalog: Catalog? = null
        private set

    /** Text of [catalog] as sent by the operator. */
    public val document: String
        get() = storedDocument.text()
    private var storedDocument = CatalogDocument.of("")
    private val jobTable = LinkedHashMap<JobId, Job>()
    private val workerTable = LinkedHashMap<WorkerId, Worker>()
    private val waveTable = LinkedHashMap<Long, Wave>()
    private val moveTable = LinkedHashMap<VmId, Move>()
    private val homeTable = LinkedHashMap<VmId, ServiceId>()
    private val orderTable = LinkedHashMap<VmId, Long>()

    /** Latest ended incarnation of each worker, kept while a report of that incarnation may still arrive. */
    private val endedTable = LinkedHashMap<WorkerId, EndedIncarnation>()

    /** Latest time of day of all applied batches, in Unix milliseconds. */
    internal var latestMs = 0L
        private set
    private val activeJobs = LinkedHashMap<JobId, Job>()
    private val claimTable = HashMap<WorkerIncarnation, LinkedHashMap<RunId, StepDescription>>()
    private val finishedJobs = ArrayDeque<Job>()

    /** Crashes of workers that count against tasks. */
    internal val crashes = CrashRecords(this)

    /** Estimated size of the state of [jobs], in bytes. */
    public var storedBytes: Long = 0
        private set

    /** Accepted jobs whose retention has not expired. */
    public val jobs: Map<JobId, Job>
        get() = jobTable

    /** Jobs that have not ended, oldest first. */
    public val active: Map<JobId, Job>
        get() = activeJobs

    /** Current incarnation of each worker. */
    public val workers: Map<WorkerId, Worker>
        get() = workerTable

    /** Maintenance waves by number. */
    public val waves: Map<Long, Wave>
        get() = waveTable

    /** Moves of VMs between pools that are in progress. */
    public val moves: Map<VmId, Move>
        get() = moveTable

    /** Owning service of each VM that is on loan to another pool. */
    public val homes: Map<VmId, ServiceId>
        get() = homeTable

    /** Incarnations that have claimed runs. */
    public val claimedIncarnations: Set<WorkerIncarnation>
        get() = claimTable.keys

    /** Runs that may be in progress at [incarnation], with the description of their step. */
    public fun claimsAt(incarnation: WorkerIncarnation): Map<RunId, StepDescription> = claimTable[incarnation].orEmpty()

    /** Whether [incarnation] has certainly ended; remembered for one minute. */
    public fun hasEnded(incarnation: WorkerIncarnation): Boolean =
        endedTable[incarnation.worker]?.let { it.startedMs >= incarnation.startedMs } ?: false

    /** Returns the worker whose current incarnation is [incarnation], or null. */
    public fun worker(incarnation: WorkerIncarnation): Worker? =
        workerTable[incarnation.worker]?.takeIf { it.profile.incarnation == incarnation }

    /** Returns the progress of [id], or null if its job was removed or its occurrence has not begun or is done. */
    public fun task(id: TaskId): Task? =
        jobTable[id.step.job]?.open?.get(id.step.occurrence)?.steps?.getOrNull(id.step.step)?.tasks?.getOrNull(id.index)

    /** Returns the description of the step of [id], or null if its job was removed or has no such task. */
    internal fun stepOf(id: TaskId): StepDescription? = jobTable[id.step.job]?.stepOf(id)

    /** Whether [id] is done, or its job was removed. */
    public fun isTaskDone(id: TaskId): Boolean {
        val job = jobTable[id.step.job] ?: return true
        return job.isDone(id.step.occurrence) || task(id)?.isDone == true
    }

    /**
     * Returns the number of active jobs of [queue] that have started no task, without jobs that have a schedule and
     * those that [isCounted] excludes.
     */
    public fun waitingJobs(queue: QueueName, isCounted: (Job) -> Boolean = { true }): Int = activeJobs.values.count {
        it.queue.name == queue && !it.hasStarted && it.description.schedule == null && isCounted(it)
    }

    /**
     * Returns the VMs for which an order may have been sent within [withinMs] before the latest batch, and the VMs
     * whose order is not confirmed.
     */
    public fun recentlyOrdered(withinMs: Long): Set<VmId> {
        val unconfirmed = moveTable.filterValues { !it.isConfirmed }.keys +
            waveTable.values.flatMap { it.begun.keys - it.confirmed - it.ended }
        return unconfirmed + orderTable.filterValues { it >= latestMs - withinMs }.keys
    }

    /**
     * Applies [batch].
     *
     * @param now reading of this process's monotonic clock; it does not enter the replicated state.
     */
    public fun apply(batch: RecordBatch, now: MonotonicTime) {
        latestMs = maxOf(latestMs, batch.atMs)
        crashes.beginBatch(batch)
        batch.records.forEach { apply(it, batch.atMs, now) }
        batch.records.forEach { record -> orderedVm(record)?.let { orderTable[it] = batch.atMs } }
        removeExpired(batch.atMs)
    }

    /** Returns the state for a snapshot. */
    public fun image(): StateImage = StateImage(
        catalogDocument = storedDocument,
        decodedCatalog = catalog,
        jobs = jobTable.values.toList(),
        workers = workerTable.values.toList(),
        waves = waveTable.values.toList(),
        moves = HashMap(moveTable),
        homes = HashMap(homeTable),
        orders = HashMap(orderTable),
        ended = LinkedHashMap(endedTable),
        latestMs = latestMs,
        obsolete = obsoleteClaims(),
    )

    /** Claims whose occurrence is done: runs that still have to be stopped, such as the slower copy of a task. */
    private fun obsoleteClaims(): List<ObsoleteClaim> = claimTable.flatMap { (incarnation, claims) ->
        claims.filterKeys { task(it.task) == null }.map { (run, step) -> ObsoleteClaim(run, incarnation, step) }
    }

    /**
     * Replaces the state by [image].
     *
     * @param now reading of this process's monotonic clock; the records in [image] count as applied then.
     */
    public fun restore(image: StateImage, now: MonotonicTime) {
        listOf(jobTable, workerTable, waveTable, moveTable, homeTable, orderTable, endedTable, activeJobs, claimTable)
            .forEach { it.clear() }
        finishedJobs.clear()
        crashes.clear()
        storedDocument = image.catalogDocument ?: CatalogDocument.of(image.document)
        catalog = image.decodedCatalog ?: image.catalog ?: storedDocument.text().ifEmpty { null }?.let(decodeCatalog)
        for (worker in image.workers) {
            worker.registeredAt = now
            worker.leaseClosedAt = now
            workerTable[worker.profile.incarnation.worker] = worker
        }
        image.waves.forEach { waveTable[it.number] = it }
        moveTable.putAll(image.moves)
        homeTable.putAll(image.homes)
        orderTable.putAll(image.orders)
        endedTable.putAll(image.ended)
        latestMs = image.latestMs
        storedBytes = image.jobs.sumOf { it.storedBytes.toLong() }
        for (job in image.jobs) {
            jobTable[job.id] = job
            if (job.isActive) activeJobs[job.id] = job
            job.open.forEach { (number, occurrence) -> indexClaims(job, number, occurrence) }
        }
        image.obsolete.forEach { claimsOf(it.incarnation)[it.run] = it.step }
        image.jobs.filterNot { it.isActive }.sortedBy { it.endedMs }.forEach(finishedJobs::addLast)
    }

    private fun indexClaims(job: Job, number: Int, occurrence: Occurrence) {
        occurrence.steps.forEachIndexed { step, progress ->
            progress.tasks.forEachIndexed { index, task ->
                val id = TaskId(StepId(job.id, number, step), index)
                task.claims.forEach { claimsOf(it.incarnation)[RunId(id, it.number)] = job.description.steps[step] }
                crashes.update(id, task)
            }
        }
    }

    private fun apply(record: Record, atMs: Long, now: MonotonicTime) {
        when (record) {
            is Record.CatalogAccepted -> accept(record.catalog.version, CatalogDocument.of(record.document)) {
                record.catalog
            }
            is Record.CatalogReplaced -> accept(record.version, record.document) {
                record.catalog ?: decodeCatalog(record.document.text())
            }
            is Record.JobAccepted -> accept(record, atMs)
            is Record.JobStarted -> jobTable[record.id]?.hasStarted = true
            is Record.JobCancelled -> activeJobs[record.id]?.let { end(it, JobPhase.CANCELLED, atMs) }
            is Record.WorkerRegistered -> registerWorker(record, atMs, now)
            is Record.WorkerEnded -> if (worker(record.incarnation) != null) remove(record.incarnation, atMs)
            is Record.RunClaimed -> claim(record)
            is Record.RunReleased -> {
                release(record.run, record.incarnation)
                failIfExhausted(record.run.task, atMs)
            }
            is Record.RunEnded -> end(record, atMs)
            is Record.EndsRecorded -> worker(record.incarnation)?.let {
                it.lastRecordedEnd = maxOf(it.lastRecordedEnd, record.number)
            }
            is Record.LeaseClosed -> worker(record.incarnation)?.let {
                it.leaseLeftMs = record.leftMs
                it.leaseClosedMs = latestMs
                it.unconfirmed = record.unconfirmed
                it.leaseClosedAt = now
            }
            is Record.LeaseReopened -> worker(record.incarnation)?.let {
                it.leaseLeftMs = null
                it.leaseClosedMs = null
                it.unconfirmed = emptySet()
            }
            is Record.WorkerFenced -> worker(record.incarnation)?.earlier = null
            is Record.WaveAccepted -> waveTable.getOrPut(record.wave) {
                Wave(record.wave, record.vms.distinct(), record.dueMs, record.cap)
            }
            is Record.UpkeepBegun -> waveTable[record.wave]?.begun?.set(record.vm, record.workerStartedMs)
            is Record.UpkeepConfirmed -> waveTable[record.wave]?.confirm(record.vm)
            is Record.UpkeepEnded -> waveTable[record.wave]?.end(record.vm, record.cause)
            is Record.MoveBegun -> moveTable[record.vm] = Move(record.from, record.to, record.workerStartedMs)
            is Record.MoveConfirmed -> moveTable[record.vm]?.isConfirmed = true
            is Record.MoveEnded -> moveTable.remove(record.vm)?.let { finishMove(record.vm, it) }
            is Record.MoveRefused -> moveTable.remove(record.vm)
            is Record.UpkeepRefused -> waveTable[record.wave]?.refuse(record.vm)
        }
    }

    /** Returns the VM whose order the record belongs to, or null. */
    private fun orderedVm(record: Record): VmId? = when (record) {
        is Record.MoveBegun -> record.vm
        is Record.MoveConfirmed -> record.vm
        is Record.MoveRefused -> record.vm
        is Record.UpkeepBegun -> record.vm
        is Record.UpkeepConfirmed -> record.vm
        is Record.UpkeepRefused -> record.vm
        else -> null
    }

    private fun accept(version: Long, document: CatalogDocument, decode: () -> Catalog) {
        val current = catalog
        if (current != null && version <= current.version) return
        catalog = decode()
        storedDocument = document
    }

    private fun accept(record: Record.JobAccepted, atMs: Long) {
        if (record.id in jobTable) return
        // Most jobs share the settings of the queue in the catalog.
        val queue = catalog?.queue(record.queue.name)?.takeIf { it == record.queue } ?: record.queue
        val job = Job(record.id, queue, record.description, atMs, record.owner)
        jobTable[job.id] = job
        activeJobs[job.id] = job
        storedBytes += job.storedBytes
    }

    private fun registerWorker(record: Record.WorkerRegistered, atMs: Long, now: MonotonicTime) {
        val incarnation = record.profile.incarnation
        val known = workerTable[incarnation.worker]
        if (known?.profile?.incarnation == incarnation) {
            // A record of an earlier build has no number.
            if (record.sequence == 0L || record.sequence >= known.sequence) {
                known.profile = record.profile
                known.sequence = maxOf(known.sequence, record.sequence)
            }
            known.isLeaving = known.isLeaving || record.leaving
            return
        }
        // A VM and a worker id each have one incarnation at a time, so the report of an earlier incarnation is late.
        val vm = record.profile.vm
        val others = workerTable.values.filter {
            it.profile.incarnation.worker == incarnation.worker || (vm != null && it.profile.vm == vm)
        }
        if (hasEnded(incarnation) || others.any { it.profile.incarnation.startedMs > incarnation.startedMs }) return
        others.filter { it !== known }.forEach { remove(it.profile.incarnation, atMs) }
        val ended = endedTable[incarnation.worker]?.let { WorkerIncarnation(incarnation.worker, it.startedMs) }
        val earlier = known?.profile?.incarnation ?: ended
        known?.let { crashes.recordLoss(it, WorkerLoss.RESTARTED) }
        workerTable[incarnation.worker] =
            Worker(record.profile, record.leaving, earlier = earlier, sequence = record.sequence)
                .also { it.registeredAt = now }
        if (earlier != null) moveClaims(earlier, incarnation)
    }

    /** Moves the claims of an incarnation to a later one of the same worker, which may carry out the orders of both. */
    private fun moveClaims(from: WorkerIncarnation, to: WorkerIncarnation) {
        val claims = claimTable.remove(from) ?: return
        claimsOf(to).putAll(claims)
        for (run in claims.keys) {
            task(run.task)?.claims?.replaceAll {
                if (it.number == run.number && it.incarnation == from) it.copy(incarnation = to) else it
            }
        }
    }

    private fun remove(incarnation: WorkerIncarnation, atMs: Long) {
        worker(incarnation)?.let { crashes.recordLoss(it, WorkerLoss.CRASHED) }
        workerTable.remove(incarnation.worker)
        endedTable.remove(incarnation.worker)
        endedTable[incarnation.worker] = EndedIncarnation(incarnation.startedMs, atMs)
        for (run in claimTable[incarnation]?.keys?.toList().orEmpty()) {
            release(run, incarnation)
            failIfExhausted(run.task, atMs)
        }
    }

    private fun finishMove(vm: VmId, move: Move) {
        val home = homeTable.getOrPut(vm) { move.from }
        if (home == move.to) homeTable.remove(vm)
    }

    private fun claim(record: Record.RunClaimed) {
        val id = record.run.task
        val job = activeJobs[id.step.job] ?: return
        val isObsolete = job.isDone(id.step.occurrence) || worker(record.incarnation) == null
        if (isObsolete) return
        val task = job.step(id.step).tasks[id.index]
        // After this claim was decided, the end of an earlier run or another leader's claim may have been committed.
        if (!task.accepts(record, job.description.steps[id.step.step], job.queue.attempts)) return
        task.claims.add(Claim(record.run.number, record.incarnation, latestMs))
        crashes.claimed(record.run)
        task.lastRun = maxOf(task.lastRun, record.run.number)
        claimsOf(record.incarnation)[record.run] = job.description.steps[id.step.step]
    }

    private fun release(run: RunId, incarnation: WorkerIncarnation) {
        val claims = claimTable[incarnation] ?: return
        claims.remove(run)
        if (claims.isEmpty()) claimTable.remove(incarnation)
        task(run.task)?.claims?.removeAll { it.number == run.number && it.incarnation == incarnation }
    }

    private fun end(record: Record.RunEnded, atMs: Long) {
        release(record.run, record.incarnation)
        val id = record.run.task
        val job = jobTable[id.step.job] ?: return
        job.hasStarted = true
        val task = task(id) ?: return
        val step = job.step(id.step)
        val description = job.description.steps[id.step.step]
        crashes.runEnded(record.run, task)
        if (record.saved.isNotEmpty()) {
            task.saved = record.saved
            step.saved = record.saved
        }
        when (record.end) {
            // Counts also without a claim, because the end of the worker may have removed it just before.
            RunEnd.DONE -> if (!description.lasting) finish(job, id, description, atMs)
            RunEnd.FAILED -> if (description.gang) step.failedRuns.add(record.run.number) else task.failures += 1
            RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE -> Unit
        }
        failIfExhausted(id, atMs)
    }

    private fun finish(job: Job, id: TaskId, description: StepDescription, atMs: Long) {
        val step = job.step(id.step)
        // A gang is done as soon as one member is done.
        val tasks = if (description.gang) step.tasks else listOf(step.tasks[id.index])
        tasks.filterNot { it.isDone }.forEach {
            it.isDone = true
            step.undone -= 1
        }
        crashes.tasksDone(id.step)
        val occurrence = job.open[id.step.occurrence] ?: return
        if (!occurrence.isDone) return
        job.finish(id.step.occurrence)
        if (job.isActive && job.isWholeDone) end(job, JobPhase.COMPLETE, atMs)
    }

    /** Ends the job as failed if no run of [id] is in progress and no attempt is left. */
    private fun failIfExhausted(id: TaskId, atMs: Long) {
        val job = activeJobs[id.step.job] ?: return
        val task = task(id) ?: return
        val description = job.description.steps[id.step.step]
        if (task.isDone || task.claims.isNotEmpty()) return
        val failures = if (description.gang) job.step(id.step).failedRuns.size else task.failures
        val isExhausted = failures >= job.queue.attempts && !description.lasting
        if (isExhausted || task.isGivenUp(description.lasting)) end(job, JobPhase.FAILED, atMs)
    }

    private fun end(job: Job, phase: JobPhase, atMs: Long) {
        storedBytes -= job.storedBytes
        job.phase = phase
        job.endedMs = atMs
        job.forgetWork()
        storedBytes += job.storedBytes
        activeJobs.remove(job.id)
        crashes.jobEnded(job)
        finishedJobs.addLast(job)
    }

    private fun removeExpired(atMs: Long) {
        while (finishedJobs.isNotEmpty() && finishedJobs.first().endedMs + retentionMs < atMs) {
            val job = finishedJobs.removeFirst()
            jobTable.remove(job.id)
            storedBytes -= job.storedBytes
        }
        endedTable.values.removeAll { it.atMs + ENDED_INCARNATION_RETENTION_MS < atMs }
    }

    private fun claimsOf(incarnation: WorkerIncarnation): LinkedHashMap<RunId, StepDescription> =
        claimTable.getOrPut(incarnation) { LinkedHashMap() }

    private companion object {
        /** Longest delay of a worker's report, with a margin. */
        const val ENDED_INCARNATION_RETENTION_MS = 60_000L
    }
}

/** Whether the job of [id] is known and has no such task, as after its id was used again for a smaller job. */
internal fun SchedulerState.isUnknown(id: TaskId): Boolean = jobs[id.step.job]?.let { it.stepOf(id) == null } == true

/** Whether no run of [id] is needed: its job is not active or has no such task, or the task is done. */
internal fun SchedulerState.isOver(id: TaskId): Boolean = active[id.step.job] == null || isUnknown(id) || isTaskDone(id)

/**
 * Worker incarnation that has certainly ended.
 *
 * @property startedMs start of the incarnation in Unix milliseconds.
 * @property atMs time of day of the batch that recorded the end, in Unix milliseconds.
 */
@Serializable
public data class EndedIncarnation(@SerialName("bornMs") val startedMs: Long, val atMs: Long)

/**
 * State of one worker incarnation.
 *
 * @property profile latest profile reported by the worker.
 * @property isLeaving whether the worker has announced that it shuts down.
 * @property lastRecordedEnd number of the last run end that is recorded.
 * @property earlier latest earlier incarnation of the same worker whose orders this one may carry out, or null if none.
 * @property sequence number of the report that [profile] is from.
 */
@Serializable
public class Worker internal constructor(
    public var profile: WorkerProfile,
    public var isLeaving: Boolean,
    @SerialName("endsNoted") public var lastRecordedEnd: Long = 0,
    public var earlier: WorkerIncarnation? = null,
    internal var sequence: Long = 0,
) {

    /** Time after [leaseClosedAt] within which every lease of the worker expires, in ms; null while it gets leases. */
    internal var leaseLeftMs: Long? = null

    /** Time of day at which the worker's silence was recorded, in Unix milliseconds; null while it gets leases. */
    internal var leaseClosedMs: Long? = null

    /** Claimed runs that were not known to have started when the silence was recorded. */
    internal var unconfirmed: Set<RunId> = emptySet()

    /** When this process applied the record that set [leaseLeftMs]; never before the record was decided. */
    @Transient
    internal var leaseClosedAt: MonotonicTime = MonotonicTime.Zero

    /** When this process applied the registration; never before the last order was sent for an earlier incarnation. */
    @Transient
    internal var registeredAt: MonotonicTime = MonotonicTime.Zero

    /** Whether the worker gets no leases, see [Record.LeaseClosed]. */
    internal val isLeaseClosed: Boolean
        get() = leaseLeftMs != null

    /** Whether no lease is in force at [now] that was granted before [leaseClosedAt]. */
    internal fun hasClosedLeaseExpired(now: MonotonicTime): Boolean =
        timeUntilClosedLeaseExpires(now)?.let { it < Duration.ZERO } ?: false

    /** Returns the time until no such lease is in force, or null if the worker gets leases. */
    internal fun timeUntilClosedLeaseExpires(now: MonotonicTime): Duration? =
        leaseLeftMs?.let { it.milliseconds - (now - leaseClosedAt) }
}

/**
 * A maintenance wave.
 *
 * @property dueMs deadline of the wave, in Unix milliseconds.
 * @property cap maximum number of VMs in maintenance at a time.
 * @property begun VMs whose maintenance was ordered, with the start of the worker incarnation that ran there, or 0.
 * @property confirmed VMs whose maintenance has begun, as confirmed by the platform.
 * @property ended VMs whose maintenance has ended, and those in [unknown].
 * @property unknown VMs that the platform does not know, or not as part of the wave, see [UpkeepEnd].
 * @property refused VMs whose maintenance has not begun because the platform refused the latest order.
 */
@Serializable
public class Wave internal constructor(
    public val number: Long,
    public val vms: List<VmId>,
    public val dueMs: Long,
    public val cap: Int,
    public val begun: MutableMap<VmId, Long> = LinkedHashMap(),
    public val confirmed: MutableSet<VmId> = LinkedHashSet(),
    public val ended: MutableSet<VmId> = LinkedHashSet(),
    public val unknown: MutableSet<VmId> = LinkedHashSet(),
    public val refused: MutableSet<VmId> = LinkedHashSet(),
) {
    /** Whether the maintenance of every VM has ended. */
    public val isComplete: Boolean
        get() = ended.size == vms.size

    internal fun confirm(vm: VmId) {
        confirmed.add(vm)
        refused.remove(vm)
    }

    internal fun refuse(vm: VmId) {
        begun.remove(vm)
        refused.add(vm)
    }

    /** Ends the maintenance of [vm]; one that has not begun cannot be done. */
    internal fun end(vm: VmId, cause: UpkeepEnd?) {
        if (cause?.isDone == true && vm !in confirmed) return
        if (!ended.add(vm)) return
        refused.remove(vm)
        if (cause?.isDone == false) unknown.add(vm)
    }
}

/**
 * Content of a snapshot of [SchedulerState].
 *
 * @property catalog catalog in a snapshot of an earlier build, with its text in [document].
 * @property catalogDocument text of the catalog, or null in a snapshot of an earlier build.
 * @property decodedCatalog catalog of an image that was not read from a snapshot.
 */
@Serializable
public class StateImage(
    public val catalog: Catalog? = null,
    public val document: String = "",
    public val catalogDocument: CatalogDocument? = null,
    @Transient internal val decodedCatalog: Catalog? = null,
    public val jobs: List<Job>,
    public val workers: List<Worker>,
    public val waves: List<Wave>,
    public val moves: Map<VmId, Move> = emptyMap(),
    public val homes: Map<VmId, ServiceId> = emptyMap(),
    public val orders: Map<VmId, Long> = emptyMap(),
    public val latestMs: Long = 0,
    public val ended: Map<WorkerId, EndedIncarnation> = emptyMap(),
    public val obsolete: List<ObsoleteClaim> = emptyList(),
)

/** Claim of a run whose occurrence is done, with the description of its step. */
@Serializable
public data class ObsoleteClaim(
    @SerialName("r") val run: RunId,
    @SerialName("l") val incarnation: WorkerIncarnation,
    @SerialName("d") val step: StepDescription,
)

/**
 * Move of a VM from one service's pool to another.
 *
 * @property workerStartedMs start of the worker incarnation that ran on the VM when the move began, or 0.
 * @property isConfirmed whether the platform has confirmed the move.
 */
@Serializable
public class Move internal constructor(
    public val from: ServiceId,
    public val to: ServiceId,
    @SerialName("bornMs") public val workerStartedMs: Long,
    public var isConfirmed: Boolean = false,
)
