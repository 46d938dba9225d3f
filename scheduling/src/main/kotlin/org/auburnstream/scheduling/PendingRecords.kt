package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import kotlin.time.Duration.Companion.seconds

/**
 * Queues records for the next batch, and replies to calls once their records are committed.
 *
 * @property wouldBeLate whether a new job of a queue would wait so long that it misses its objective.
 */
internal class PendingRecords(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val wouldBeLate: (Queue, JobDescription) -> Boolean = { _, _ -> false },
    private val emit: (Action) -> Unit,
) {
    private val rates = TenantRates()
    private var records = ArrayList<Record>()
    private var calls = ArrayList<WaitingCall>()

    /** Callers' calls whose own records are in no batch yet. */
    val unproposedCalls: Set<CallId>
        get() = unproposed
    private val unproposed = HashSet<CallId>()
    private val pendingJobs = HashMap<JobId, Record.JobAccepted>()
    private val pendingCancels = HashSet<JobId>()

    /** Latest record of each worker that waits to be committed. */
    private val pendingWorkers = HashMap<WorkerIncarnation, Record.WorkerRegistered>()
    private var pendingCatalog: Long? = null
    private val pendingWaves = HashSet<Long>()
    private var batchCalls = ArrayList<CallId>()
    private var batchRecords: List<Record> = emptyList()
    private var retries: List<Record> = emptyList()
    private var retryBatchSize = 0

    /** Whether claims are queued, so that the state does not show all reserved capacity. */
    val hasClaims: Boolean
        get() = records.any { it is Record.RunClaimed }

    /** Whether a queued record takes [vm] out of its pool. */
    fun isLeaving(vm: VmId?): Boolean = vm != null && records.any {
        (it is Record.MoveBegun && it.vm == vm) || (it is Record.UpkeepBegun && it.vm == vm)
    }

    /** Catalogs that are queued. */
    val catalogs: List<Catalog>
        get() = records.mapNotNull { (it as? Record.CatalogReplaced)?.catalog }

    /** Whether a cancellation of the job is queued or being committed. */
    fun isBeingCancelled(id: JobId): Boolean = id in pendingCancels

    fun record(record: Record) {
        records.add(record)
    }

    /** Queues [record] for [call], or replies that it never fits into a batch; returns whether it is queued. */
    private fun add(record: Record, call: CallId): Boolean {
        val bytes = record.maxSize()
        if (bytes > settings.maxBatchBytes) {
            emit(Action.Answer(call, Reply.TooLarge(bytes, settings.maxBatchBytes)))
            return false
        }
        records.add(record)
        return true
    }

    fun submit(event: Event.JobSubmitted, now: MonotonicTime) {
        val known = state.jobs[event.id]
        val pending = pendingJobs[event.id]
        val isForeign = when {
            known != null -> isForeign(event, known.queue.name, known.owner)
            pending != null -> isForeign(event, pending.queue.name, pending.owner)
            else -> false
        }
        if (isForeign) return emit(Action.Answer(event.call, Reply.NotPermitted))
        if (known != null) return replyAccepted(event.call)
        if (pending == null && !accept(event, now)) return
        val isProposed = pending != null && batchRecords.any { it === pending }
        if (!isProposed) unproposed.add(event.call)
        await(event.call, isProposed)
    }

    /** Queues the record of a new job, or refuses it. */
    private fun accept(event: Event.JobSubmitted, now: MonotonicTime): Boolean {
        val tenant = event.tenant?.let { state.catalog?.tenant(it) }
        val isExcess = tenant != null && !rates.take(tenant, now)
        val refusal = when {
            isExcess && wouldBeLate(event.queue, event.description) ->
                Reply.NotAccepted(RefusalReason.BEYOND_WEIGHT, rates.pause(tenant, now))
            isStoreFull(event.description) -> Reply.NotAccepted(RefusalReason.STORE_FULL, OVERLOAD_PAUSE)
            isOverloaded(event.queue, isExcess) -> Reply.NotAccepted(RefusalReason.OVERLOADED, OVERLOAD_PAUSE)
            else -> null
        }
        if (refusal != null) {
            if (tenant != null && !isExcess) rates.giveBack(tenant.name)
            emit(Action.Answer(event.call, refusal))
            return false
        }
        val owner = event.tenant?.let { JobOwner(it, isExcess) }
        val record = Record.JobAccepted(event.id, event.queue, event.description, owner)
        if (!add(record, event.call)) {
            if (tenant != null && !isExcess) rates.giveBack(tenant.name)
            return false
        }
        pendingJobs[event.id] = record
        return true
    }

    fun submit(event: Event.CancelRequested) {
        val job = state.jobs[event.id]
        val pending = pendingJobs[event.id]
        val isDenied = when {
            job != null -> !event.mayCancel(job.queue.name, job.owner)
            pending != null -> !event.mayCancel(pending.queue.name, pending.owner)
            else -> false
        }
        when {
            isDenied -> return emit(Action.Answer(event.call, Reply.NotPermitted))
            job == null && pending == null -> return emit(Action.Answer(event.call, Reply.NoSuchJob))
            job != null && !job.isActive -> return replyAccepted(event.call)
            pendingCancels.add(event.id) -> {
                records.add(Record.JobCancelled(event.id))
                unproposed.add(event.call)
            }
        }
        await(event.call, batchRecords.any { it is Record.JobCancelled && it.id == event.id })
    }

    fun submit(event: Event.CatalogSubmitted) {
        val stored = state.catalog?.version ?: Long.MIN_VALUE
        val newest = maxOf(stored, pendingCatalog ?: Long.MIN_VALUE)
        if (event.catalog.version <= stored) return replyAccepted(event.call)
        if (event.catalog.version > newest) {
            val document = CatalogDocument.of(event.document)
            if (!add(Record.CatalogReplaced(event.catalog.version, document, event.catalog), event.call)) return
            pendingCatalog = event.catalog.version
        }
        await(event.call, catalogs.none { it.version >= event.catalog.version })
    }

    fun submit(event: Event.WaveSubmitted, nowMs: Long) {
        if (event.wave in state.waves) return replyAccepted(event.call)
        if (event.wave !in pendingWaves) {
            val dueMs = nowMs + event.duration.inWholeMilliseconds
            if (!add(Record.WaveAccepted(event.wave, event.vms, dueMs, maxOf(1, event.cap)), event.call)) return
            pendingWaves.add(event.wave)
        }
        await(event.call, batchRecords.any { it is Record.WaveAccepted && it.wave == event.wave })
    }

    fun submit(event: Event.WorkerReported) {
        val profile = event.profile
        val incarnation = profile.incarnation
        val known = state.workers[incarnation.worker]
        val isSuperseded = state.workers.values.any {
            it.profile.incarnation.startedMs > incarnation.startedMs &&
                (
                    it.profile.incarnation.worker == incarnation.worker ||
                        (profile.vm != null && it.profile.vm == profile.vm)
                    )
        }
        if (isSuperseded) return replyAccepted(event.call)
        val pending = pendingWorkers[incarnation]
        val newest = pending?.profile ?: known?.profile
        val isLeaving =
            pending?.leaving == true || (known?.isLeaving == true && known.profile.incarnation == incarnation)
        if (newest != profile || (event.isLeaving && !isLeaving)) {
            val record = Record.WorkerRegistered(profile, event.isLeaving || isLeaving, event.sequence)
            if (!add(record, event.call)) return
            pendingWorkers[incarnation] = record
        } else if (pending == null) {
            return replyAccepted(event.call)
        }
        val isQueued = records.any { it is Record.WorkerRegistered && it.profile.incarnation == incarnation }
        await(event.call, isProposed = !isQueued)
    }

    /** Replies to [call] with the batch that has its record: the one that is being committed, or else the next one. */
    private fun await(call: CallId, isProposed: Boolean) {
        if (isProposed) batchCalls.add(call) else calls.add(WaitingCall(call, records.size))
    }

    /** Records that [incarnation] has ended, and answers its deregistrations once that is committed. */
    fun recordDeregistration(incarnation: WorkerIncarnation, deregistrations: List<CallId>) {
        records.add(Record.WorkerEnded(incarnation))
        deregistrations.mapTo(calls) { WaitingCall(it, records.size) }
    }

    /** Returns the records of the next batch, and remembers the calls to reply to when it is committed. */
    fun takeBatch(): List<Record> {
        if (records.isEmpty()) return emptyList()
        val taken = records.take(fittingRecords())
        records = ArrayList(records.drop(taken.size))
        val (answered, waiting) = calls.partition { it.records <= taken.size }
        batchCalls = answered.mapTo(ArrayList()) { it.call }
        calls = waiting.mapTo(ArrayList()) { WaitingCall(it.call, it.records - taken.size) }
        unproposed.removeAll(batchCalls.toSet())
        batchRecords = taken
        return taken
    }

    /** Returns the number of queued records, from the first one, that fit into one batch. */
    private fun fittingRecords(): Int {
        var bytes = 0L
        for ((count, record) in records.withIndex()) {
            bytes += record.maxSize()
            if (bytes > settings.maxBatchBytes && count > 0) return count
        }
        return records.size
    }

    /** Returns observations from rejected batches for the next batch, which contains no calls. */
    fun takeRetries(): List<Record> {
        batchRecords = retries.take(retryBatchSize)
        retries = retries.drop(retryBatchSize)
        return batchRecords
    }

    fun batchCommitted() {
        batchCalls.forEach(::replyAccepted)
        finishBatch()
    }

    /**
     * Replies to the calls of the rejected batch that they are not accepted, and keeps its observations for a retry.
     *
     * Not every observation can be repeated. Decisions are dropped, because they are made again from the state.
     */
    fun batchRejected() {
        val reply = Reply.NotAccepted(RefusalReason.NO_LEADER, LEADER_PAUSE)
        batchCalls.forEach { emit(Action.Answer(it, reply)) }
        for (record in batchRecords) {
            val owner = (record as? Record.JobAccepted)?.owner ?: continue
            if (!owner.isExcess) rates.giveBack(owner.tenant)
        }
        val kept = batchRecords.filter(::isObserved)
        retries = kept + retries
        // The batch may have been too large.
        retryBatchSize = maxOf(1, kept.size / 2)
        finishBatch()
    }

    private fun isObserved(record: Record): Boolean = when (record) {
        is Record.RunEnded, is Record.RunReleased, is Record.EndsRecorded -> true
        is Record.LeaseClosed, is Record.LeaseReopened, is Record.WorkerFenced -> true
        is Record.UpkeepConfirmed, is Record.UpkeepRefused, is Record.MoveConfirmed, is Record.MoveRefused -> true
        // Callers and workers retry these requests, because the reply was that nothing was accepted.
        is Record.CatalogAccepted, is Record.CatalogReplaced, is Record.JobAccepted -> false
        is Record.JobCancelled, is Record.WaveAccepted -> false
        is Record.WorkerRegistered, is Record.WorkerEnded -> false
        // The next status query shows it again.
        is Record.JobStarted -> false
        // These are decided again from the state.
        is Record.RunClaimed, is Record.UpkeepBegun, is Record.UpkeepEnded -> false
        is Record.MoveBegun, is Record.MoveEnded -> false
    }

    private fun finishBatch() {
        for (record in batchRecords) {
            when (record) {
                is Record.JobAccepted -> pendingJobs.remove(record.id)
                is Record.JobCancelled -> pendingCancels.remove(record.id)
                is Record.WorkerRegistered -> pendingWorkers.remove(record.profile.incarnation, record)
                is Record.WaveAccepted -> pendingWaves.remove(record.wave)
                is Record.CatalogReplaced -> if (pendingCatalog == record.version) pendingCatalog = null
                else -> Unit
            }
        }
        batchCalls = ArrayList()
        batchRecords = emptyList()
    }

    /** Whether a known job with the event's id, of [queue] and [owner], is not the job that the event resends. */
    private fun isForeign(event: Event.JobSubmitted, queue: QueueName, owner: JobOwner?): Boolean =
        owner != null && owner.tenant != event.tenant && !(event.queue.isPublic && event.queue.name == queue)

    /** Whether the queue is full; the jobs beyond a tenant's weight do not count for one that is within. */
    private fun isOverloaded(queue: Queue, isExcess: Boolean): Boolean =
        state.waitingJobs(queue.name) { isExcess || it.owner?.isExcess != true } >= settings.maxWaitingJobs

    /** Whether the state of a job with [description] would exceed the limit, beside those known and pending. */
    private fun isStoreFull(description: JobDescription): Boolean {
        val pending = pendingJobs.values.sumOf { it.description.size() }
        return state.storedBytes + pending + description.size() > settings.maxStoredBytes
    }

    private fun replyAccepted(call: CallId) = emit(Action.Answer(call, Reply.Accepted))

    /** Call that is answered once the first [records] of the queued ones are committed. */
    private class WaitingCall(val call: CallId, val records: Int)

    private companion object {
        // A full queue has work for several seconds, and an election takes one or two seconds.
        val OVERLOAD_PAUSE = 5.seconds
        val LEADER_PAUSE = 1.seconds
    }
}
