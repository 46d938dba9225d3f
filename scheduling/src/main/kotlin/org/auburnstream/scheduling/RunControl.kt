package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Manages claimed runs: sends start and stop orders, queries workers, renews their leases, and records ended runs.
 *
 * A worker may execute an unanswered start order later, so the run is stopped first. A worker that has answered the
 * stop refuses a start that arrives after it, so the next status query shows the state of the run. The first status
 * query that a worker answers decides the claims of earlier leaders, because the query raises the worker's fence.
 *
 * Orders name a worker and not its incarnation. When a worker restarts, its fence is raised, see [OrderFence], and a
 * run ordered for the earlier incarnation is released once it cannot run at the later one.
 */
internal class RunControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val durations: DurationEstimator,
    private val slowWorkers: SlowWorkerDetector,
    private val record: (Record) -> Unit,
    private val emit: (Action) -> Unit,
) {
    /** Runs whose end or release is waiting to be committed, also as [ending]. */
    private val pendingEnds = HashSet<Pair<RunId, WorkerIncarnation>>()
    val ending: Set<Pair<RunId, WorkerIncarnation>>
        get() = pendingEnds
    private val paces = PaceOrders(state, emit)
    private val startedJobs = StartedJobs(state, record)
    private val heldLastingTasks = HeldLastingTasks(state, settings, contacts, emit)
    val closedLeases = ClosedLeases(state, settings, contacts, record)

    val restartedWorkers = RestartedWorkers(
        state = state,
        settings = settings,
        contacts = contacts,
        release = { run, worker -> release(run, worker, "worker restarted", loss = WorkerLoss.RESTARTED) },
        runLost = heldLastingTasks::runLost,
        record = record,
        emit = emit,
    )

    /**
     * Runs whose claims are in the batch being committed.
     *
     * The state may contain these claims before their start orders are sent, so a worker that does not list such a run
     * proves nothing.
     */
    private var unsentClaims: Set<RunId> = emptySet()

    /** Runs whose claims are committed and whose start orders follow. */
    private val dueStarts = HashSet<RunId>()

    /** Remembers the claims of [batch], which is about to be committed. */
    fun batchSubmitted(batch: RecordBatch) {
        unsentClaims = batch.records.filterIsInstance<Record.RunClaimed>().map { it.run }.toSet()
        batch.records.filterIsInstance<Record.WorkerEnded>().forEach { heldLastingTasks.workerEnds(it.incarnation) }
    }

    /** Forgets the claims of the last batch, whose start orders are sent now or which was rejected. */
    fun batchSettled() {
        dueStarts.clear()
        dueStarts.addAll(unsentClaims)
        unsentClaims = emptySet()
        startedJobs.batchSettled()
    }

    /** Sends the start order for a committed claim, or releases the run if it can no longer start there. */
    fun start(claim: Record.RunClaimed, ticket: String?, now: MonotonicTime) {
        dueStarts.remove(claim.run)
        val worker = state.worker(claim.incarnation)
        val job = state.active[claim.run.task.step.job]
        val isClaimed = claim.run in state.claimsAt(claim.incarnation)
        if (!isClaimed) {
            log("run_not_claimed", "run" to claim.run, "worker" to claim.incarnation)
            // The other members of a gang cannot run without this one.
            return stopRelatedRuns(claim.run, now)
        }
        val contact = contacts.of(claim.incarnation, now)
        val isUnavailable = worker == null || worker.isLeaving || !contact.isOpen
        if (job == null || worker == null || isUnavailable) {
            return release(claim.run, claim.incarnation, "worker or job gone")
        }
        if (contact.failedQueries > 0 || contacts.isLeaseClosed(worker, contact)) {
            return release(claim.run, claim.incarnation, "worker silent")
        }
        val description = job.description.steps[claim.run.task.step.step]
        // The other run of the task may have completed it in the same batch.
        if (description.mayHaveCopies && state.isTaskDone(claim.run.task)) {
            return release(claim.run, claim.incarnation, "task done")
        }
        // A stop was requested before the start was sent, because another member of the gang did not start.
        if (isStopping(claim.run, claim.incarnation)) return release(claim.run, claim.incarnation, "gang not whole")
        // The claim was decided with a capacity that may have shrunk since.
        val reserved = state.reservedAt(contact.incarnation, dueStarts, pendingEnds)
        if (!reserved.fitsIn(contact.latestProfile(worker).capacity)) {
            return release(claim.run, claim.incarnation, "worker shrank")
        }
        contact.orders[claim.run] = Order(now).apply { isStarting = true }
        val progress = job.step(claim.run.task.step)
        val saved = if (description.gang) progress.saved else progress.tasks[claim.run.task.index].saved
        // Status queries renew the lease in time. If each start extended it, unanswered starts would delay its expiry.
        val until = contact.clock.reuseOrGrant(now, settings.lease, minimum = settings.lease / 2)
        log(
            "run_claimed",
            "run" to claim.run,
            "worker" to claim.incarnation,
            "lease_end_ms" to until,
            "clock_age_ms" to contact.clock.readingAge(now)?.inWholeMilliseconds,
            *heldLastingTasks.downFields(claim.run.task, now),
        )
        emit(
            Action.Start(
                worker.profile,
                contact.epoch,
                claim.run,
                job.description.payload,
                until,
                saved,
                ticket,
                contacts.answerTimeout.after(0),
            ),
        )
    }

    /** Whether a stop of [run] was requested at [incarnation]. */
    fun isStopping(run: RunId, incarnation: WorkerIncarnation): Boolean =
        contacts.find(incarnation)?.orders?.get(run)?.isStopRequested ?: false

    /** Stops every run that [isObsolete], such as those of a job that has ended. */
    fun stopAll(now: MonotonicTime, isObsolete: (RunId) -> Boolean) {
        for (incarnation in state.claimedIncarnations) {
            state.claimsAt(incarnation).keys.filter { isObsolete(it) && it !in unsentClaims }
                .forEach { stop(it, incarnation, now) }
        }
    }

    /** Stops [run] at [incarnation] so that its task can start at another worker; [cause] goes to the log. */
    fun evacuate(run: RunId, incarnation: WorkerIncarnation, cause: String, now: MonotonicTime) {
        if (run in unsentClaims || isStopping(run, incarnation)) return
        log("run_evacuated", "run" to run, "worker" to incarnation, "cause" to cause)
        stop(run, incarnation, now)
    }

    /** Handles a worker's answer to a start order. */
    fun startAnswered(event: Event.StartAnswered, now: MonotonicTime) {
        val contact = contacts.find(event.incarnation) ?: return
        val order = contact.orders[event.run] ?: return
        order.isStarting = false
        val answer = event.answer
        if (answer != null && answer.result != OrderResult.UNSENT) {
            contact.recordContact(now, answer.clockMs)
            contacts.answerTimeout.observe(now - order.sentAt)
        }
        if (answer == null) contact.lostAnswerAt = now
        if (answer?.result != OrderResult.DONE) {
            log("start_failed", "run" to event.run, "worker" to event.incarnation, "answer" to answer?.result)
        }
        when (answer?.result) {
            null -> stop(event.run, event.incarnation, now)
            OrderResult.DONE -> {
                order.startedAt = order.startedAt ?: now
                startedJobs.recordStart(event.run)
                heldLastingTasks.runStarted(event.run)
                if (order.isStopRequested) sendStop(event.run, event.incarnation, order, now)
                queryNow(contact, now)
            }
            OrderResult.OTHER_LIFE -> {
                release(event.run, event.incarnation, "other life")
                recordWorkerEnd(event.incarnation)
            }
            OrderResult.UNSENT -> {
                contact.isUnreachable = true
                release(event.run, event.incarnation, "order not sent")
            }
            OrderResult.NO_ROOM -> {
                contact.atCapacityUntil = now + NO_ROOM_PAUSE
                release(event.run, event.incarnation, "no room")
            }
            OrderResult.UNHEALTHY -> {
                if (contact.health.recordUnhealthyAnswer(now)) {
                    log("worker_set_aside", "worker" to event.incarnation, "cause" to "refused")
                }
                release(event.run, event.incarnation, "unhealthy")
            }
            OrderResult.FENCED, OrderResult.OUTDATED, OrderResult.LATE, OrderResult.NO_TICKET, OrderResult.REFUSED ->
                release(event.run, event.incarnation, answer.result.name.lowercase())
        }
    }

    /** Handles a worker's answer to a stop order. */
    fun stopAnswered(event: Event.StopAnswered, now: MonotonicTime) {
        val contact = contacts.find(event.incarnation) ?: return
        val answer = event.answer?.takeIf { it.result != OrderResult.UNSENT } ?: return
        contact.recordContact(now, answer.clockMs)
        if (answer.result == OrderResult.OTHER_LIFE) return recordWorkerEnd(event.incarnation)
        val order = contact.orders[event.run] ?: return
        if (answer.result == OrderResult.DONE && order.stoppedAt == null) order.stoppedAt = now
        // The worker does not answer a query in progress because of a stop of a run that it does not have.
        if (order.startedAt == null) contact.pendingQueryAt = null
        queryNow(contact, now)
    }

    /** Handles a worker's answer to a status query. */
    fun statusAnswered(event: Event.StatusAnswered, now: MonotonicTime) {
        val contact = contacts.find(event.incarnation) ?: return
        val sentAt = contact.pendingQueryAt ?: return
        if (event.query != contact.queryNumber) return
        contact.pendingQueryAt = null
        val answer = event.answer
        if (answer == null) {
            contact.lostAnswerAt = now
            contact.queryFailed(now, settings, isIdle = state.claimsAt(event.incarnation).isEmpty())
            if (contact.failedQueries == 1) {
                log("worker_silent", "worker" to event.incarnation, *contact.leaseFields(now))
            }
            return closedLeases.close(contact, now)
        }
        if (answer.otherIncarnation) return recordWorkerEnd(event.incarnation)
        if (answer.startedMs != null && answer.startedMs != event.incarnation.startedMs) {
            return restartedWorkers.laterIncarnationAnswered(contact, answer, unsentClaims, now)
        }
        if (contact.failedQueries > 0) {
            log("worker_answers", "worker" to event.incarnation, "failed_looks" to contact.failedQueries)
        }
        contact.failedQueries = 0
        contact.isRenewalUnanswered = false
        contact.isUnreachable = false
        contact.recordContact(now, answer.clockMs)
        if (answer.isFenced) {
            contact.nextQueryAt = now + settings.retryInterval
            return
        }
        if (contact.answeredQueryAt == null) {
            val mayHaveLateLease = contacts.mayHaveLateLease(event.incarnation, now)
            contact.assumeEarlierLeases(answer.clockMs, sentAt, mayHaveLateLease, settings)
        }
        if (contact.answeredQueryAt == null) restartedWorkers.fenceRaised(contact, answer, now)
        contact.answeredQueryAt = sentAt
        contact.running = answer.running
        contact.listedAt = now
        answer.ended.filter { it.end == RunEnd.DONE }.forEach { slowWorkers.recordCompletion(contact, it.run, now) }
        slowWorkers.recordProgress(contact, answer.running, now)
        recordEnds(contact, answer)
        reconcile(contact, answer, sentAt, now)
        paces.decide(contact, answer, now)
        contact.runsKnownAt = now
        contact.nextQueryAt = now
        closedLeases.reopen(contact)
    }

    /** Handles a worker's answer to a pace order. */
    fun paceAnswered(event: Event.PaceAnswered) {
        if (event.answer?.result == OrderResult.OTHER_LIFE) recordWorkerEnd(event.incarnation)
    }

    /** Handles the committed end of a run. */
    fun runEnded(end: Record.RunEnded, now: MonotonicTime) {
        pendingEnds.remove(end.run to end.incarnation)
        val contact = contacts.find(end.incarnation)
        heldLastingTasks.runLost(end.run, now)
        val startedAt = contact?.orders?.remove(end.run)?.startedAt
        val job = end.run.task.step.job
        if (end.end == RunEnd.DONE && startedAt != null) recordDuration(end.run, now - startedAt)
        val isLasting = state.stepOf(end.run.task)?.lasting == true
        val workedFor = if (isLasting && startedAt != null) now - startedAt else Duration.ZERO
        when (end.end) {
            RunEnd.DONE -> contact?.health?.recordSuccess()
            RunEnd.FAILED -> if (contact?.health?.recordFailure(job, now, workedFor) == true) {
                log("worker_set_aside", "worker" to end.incarnation, "cause" to "failed runs")
            }
            else -> Unit
        }
        if (state.jobs[job]?.isActive == false) stopAll(now) { it.task.step.job == job }
        stopRelatedRuns(end.run, now)
    }

    /** Adds the duration of a first run to the estimates. */
    private fun recordDuration(run: RunId, elapsed: Duration) {
        val job = state.jobs[run.task.step.job] ?: return
        val step = job.stepOf(run.task) ?: return
        if (step.lasting || run.number > 1) return
        durations.recordDuration(job.queue.name, step.estimateMs, elapsed.inWholeMilliseconds)
    }

    /** Handles the committed release of a run. */
    fun runReleased(release: Record.RunReleased, now: MonotonicTime) {
        pendingEnds.remove(release.run to release.incarnation)
        contacts.find(release.incarnation)?.orders?.remove(release.run)
        stopRelatedRuns(release.run, now)
    }

    /** Sends the status queries that were waiting for a commit. */
    fun sendDueQueries(now: MonotonicTime) {
        contacts.all.forEach { if (it.nextQueryAt <= now) queryStatus(it, now) }
    }

    /** Releases runs whose leases have expired, and resends stops and status queries that are due. */
    fun tick(now: MonotonicTime) {
        restartedWorkers.tick(now)
        contacts.prune()
        contacts.all.filter { it.isReplaced }.forEach { recordWorkerEnd(it.incarnation) }
        for (incarnation in state.claimedIncarnations.toList()) {
            val contact = contacts.of(incarnation, now)
            val worker = state.worker(incarnation)
            val isSilent = contact.isSuperseded ||
                (contact.failedQueries > 0 && contact.hasLeaseExpired(worker, now, settings))
            if (worker == null || (isSilent && !contacts.mayRunLateOrders(contact, now))) {
                val inputs = contact.leaseFields(now)
                state.claimsAt(incarnation).keys.filter { it !in unsentClaims }
                    .forEach { release(it, incarnation, "lease ran out", inputs, WorkerLoss.SILENT) }
                continue
            }
            resendStops(contact, now)
            queryStatus(contact, now)
        }
        heldLastingTasks.tick(now)
        // A new leader also queries idle workers, so that it does not have to wait for their next reports.
        state.workers.values.map { it to contacts.of(it.profile.incarnation, now) }
            .filter { (worker, contact) -> needsQuery(worker, contact) }
            .forEach { (_, contact) -> queryStatus(contact, now) }
    }

    /** Records the ends in [answer] that are neither committed nor in a batch. */
    private fun recordEnds(contact: WorkerContact, answer: StatusAnswer) {
        val incarnation = contact.incarnation
        val lastKnownEnd = maxOf(contact.lastEndInBatch, state.worker(incarnation)?.lastRecordedEnd ?: 0)
        val newEnds = answer.ended.filter { it.number > lastKnownEnd }
        if (newEnds.isEmpty()) return
        for (ended in newEnds) {
            if (state.isUnknown(ended.run.task)) emit(state.unknownRunNote(ended.run, incarnation))
            pendingEnds.add(ended.run to incarnation)
            record(Record.RunEnded(ended.run, incarnation, ended.end, ended.saved))
        }
        contact.lastEndInBatch = newEnds.maxOf { it.number }
        record(Record.EndsRecorded(incarnation, contact.lastEndInBatch))
    }

    /** Compares the runs in [answer] to a status query sent at [sentAt] with the worker's claims. */
    private fun reconcile(contact: WorkerContact, answer: StatusAnswer, sentAt: MonotonicTime, now: MonotonicTime) {
        val incarnation = contact.incarnation
        val running = answer.running.associateBy { it.run }
        val listed = answer.ended.map { it.run }.toSet()
        val claims = state.claimsAt(incarnation)
        for (run in claims.keys.toList()) {
            if (run in unsentClaims) continue
            val isRunning = run in running
            if (isRunning) confirmStart(contact, run, sentAt, now)
            val isOpen = isRunning || run in listed || (run to incarnation) in pendingEnds
            val order = contact.orders[run]
            if (!isOpen && order.isAbsenceConclusive(sentAt, answer)) {
                release(run, incarnation, "not listed", order.ageFields(sentAt))
            }
            if (isRunning && state.isOver(run.task)) stop(run, incarnation, now)
        }
        running.keys.filter { it !in claims && (it to incarnation) !in pendingEnds }.forEach { run ->
            emit(state.unknownRunNote(run, incarnation))
            state.worker(incarnation)?.let {
                emit(Action.Stop(it.profile, contact.epoch, run, contacts.answerTimeout.after(0)))
            }
        }
    }

    /** Marks [run] as started by the time [sentAt] of the status query that listed it. */
    private fun confirmStart(contact: WorkerContact, run: RunId, sentAt: MonotonicTime, now: MonotonicTime) {
        val order = contact.orders.getOrPut(run) { Order(now) }
        if (order.startedAt == null) order.startedAt = sentAt
        order.isListed = true
        startedJobs.recordStart(run)
        heldLastingTasks.runStarted(run)
    }

    /** Stops the runs that [run]'s end makes obsolete: copies of a task that is done, and the other gang members. */
    private fun stopRelatedRuns(run: RunId, now: MonotonicTime) {
        val id = run.task.step
        val job = state.jobs[id.job] ?: return
        val step = job.stepOf(run.task) ?: return
        val isGang = step.gang
        // Only the workers' claims still show the runs of an occurrence that is done.
        if (step.mayHaveCopies && job.isDone(id.occurrence)) return stopAll(now) { it.task == run.task }
        val tasks = job.occurrences[id.occurrence]?.steps?.get(id.step)?.tasks ?: return
        tasks.forEachIndexed { index, task ->
            val isObsolete = isGang || (index == run.task.index && task.isDone)
            if (isObsolete) task.claims.forEach { stop(RunId(TaskId(id, index), it.number), it.incarnation, now) }
        }
    }

    private fun stop(run: RunId, incarnation: WorkerIncarnation, now: MonotonicTime) {
        val contact = contacts.of(incarnation, now)
        val order = contact.orders.getOrPut(run) { Order(now) }
        order.isStopRequested = true
        sendStop(run, incarnation, order, now)
    }

    private fun sendStop(run: RunId, incarnation: WorkerIncarnation, order: Order, now: MonotonicTime) {
        val worker = state.worker(incarnation) ?: return
        val epoch = contacts.find(incarnation)?.epoch ?: return
        val timeout = contacts.answerTimeout.after(maxOf(0, order.stopsSent - 1))
        val isRecent = order.stopSentAt?.let { now - it < timeout } ?: false
        if (isRecent) return
        order.stopSentAt = now
        order.stopsSent += 1
        emit(Action.Stop(worker.profile, epoch, run, contacts.answerTimeout.after(order.stopsSent - 1)))
    }

    private fun resendStops(contact: WorkerContact, now: MonotonicTime) {
        for ((run, order) in contact.orders) {
            if (order.isStopRequested && order.stoppedAt == null) sendStop(run, contact.incarnation, order, now)
        }
        // A job may have ended under an earlier leader that failed before it sent the stops.
        state.claimsAt(contact.incarnation).keys
            .filter {
                it !in unsentClaims &&
                    state.active[it.task.step.job] == null &&
                    contact.orders[it]?.isStopRequested != true
            }
            .forEach { stop(it, contact.incarnation, now) }
    }

    private fun needsQuery(worker: Worker, contact: WorkerContact): Boolean =
        contact.needsQuery || contacts.isUnfenced(worker) || contacts.isLeaseClosed(worker, contact)

    /** Sends a status query if one is due; the query also renews the worker's lease. */
    private fun queryStatus(contact: WorkerContact, now: MonotonicTime) {
        val worker = state.worker(contact.incarnation) ?: return
        val isDue = contact.pendingQueryAt == null && now >= contact.nextQueryAt
        val isNeeded = needsQuery(worker, contact) || state.claimsAt(contact.incarnation).isNotEmpty()
        if (!isDue || !isNeeded) return
        // The worker would answer at once, only with ends that are already waiting to be committed.
        if (pendingEnds.any { it.second == contact.incarnation }) return
        contact.pendingQueryAt = now
        // A second renewal without an answer would postpone the time at which the lease has certainly expired.
        val mayRenew = contact.clock.isKnown && !contact.isRenewalUnanswered && !contact.isSuperseded &&
            !contacts.isLeaseClosed(worker, contact)
        if (mayRenew) contact.isRenewalUnanswered = true
        val until = if (mayRenew) contact.clock.grant(now, settings.lease) else null
        // A later incarnation numbers its ends from the start, so the earlier one's number would drop unread ends.
        val lastRecordedEnd = if (contact.isCurrent(now)) worker.lastRecordedEnd else 0
        val timeout = contacts.answerTimeout.after(contact.failedQueries)
        contact.queryNumber += 1
        val wait = queryWait(contact, now)
        emit(Action.Look(worker.profile, contact.epoch, contact.queryNumber, until, lastRecordedEnd, wait, timeout))
    }

    /** Returns how long the worker may delay its answer while nothing changes. */
    private fun queryWait(contact: WorkerContact, now: MonotonicTime): Duration {
        val claims = state.claimsAt(contact.incarnation)
        val isClosed = contact.isLeaseClosed || state.worker(contact.incarnation)?.isLeaseClosed == true
        val isUncertain =
            contact.answeredQueryAt == null || contact.failedQueries > 0 || contact.isSuperseded || isClosed ||
                claims.keys.any { contact.orders[it]?.stoppedAt != null }
        if (isUncertain) return Duration.ZERO
        // While answers get lost, a long wait delays the detection of the next loss, and of the ends it would show.
        if (contact.lostAnswerAt?.let { now - it < LOSS_MEMORY } == true) return WAIT_AFTER_LOSS
        val isShared = claims.values.any { it.fillsUnused } && claims.values.any { it.tailTargetMs > 0 }
        val isOverTarget = paces.isOverTarget(contact.incarnation)
        return when {
            isShared && isOverTarget -> settings.servingLookWait / 2
            isShared || claims.values.any { !it.lasting } -> settings.servingLookWait
            else -> settings.lookWait
        }
    }

    /** Sends a status query without waiting for its interval, unless one is in progress. */
    private fun queryNow(contact: WorkerContact, now: MonotonicTime) {
        if (contact.pendingQueryAt == null) contact.nextQueryAt = minOf(contact.nextQueryAt, now)
        queryStatus(contact, now)
    }

    /**
     * Records the end of [incarnation], in whose place another incarnation has answered.
     *
     * The starts in progress are answered first, so that those that were refused do not count as lost with the worker.
     */
    private fun recordWorkerEnd(incarnation: WorkerIncarnation) {
        if (state.worker(incarnation) == null) return
        val contact = contacts.find(incarnation)
        contact?.isReplaced = true
        if (contact?.orders?.values?.any { it.isStarting } == true) return
        log("other_life_answered", "worker" to incarnation)
        record(Record.WorkerEnded(incarnation))
    }

    /**
     * Records that [run] does not run at [incarnation]; [cause] and [inputs] go to the log.
     *
     * @param loss how [incarnation] was lost under the run, or null if the run did not start there.
     */
    private fun release(
        run: RunId,
        incarnation: WorkerIncarnation,
        cause: String,
        inputs: Array<Pair<String, Any?>> = emptyArray(),
        loss: WorkerLoss? = null,
    ) {
        if (!pendingEnds.add(run to incarnation)) return
        log("run_not_there", "run" to run, "worker" to incarnation, "cause" to cause, *inputs)
        contacts.find(incarnation)?.let { heldLastingTasks.runLost(run, it.runsKnownAt) }
        record(Record.RunReleased(run, incarnation, loss))
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))

    private companion object {
        /** Time for which a worker that left an order or a query unanswered is queried more often. */
        val LOSS_MEMORY: Duration = 5.seconds
        val WAIT_AFTER_LOSS: Duration = 250.milliseconds
    }
}

private fun SchedulerState.unknownRunNote(run: RunId, incarnation: WorkerIncarnation): Action.Note = Action.Note(
    "unknown_run",
    listOf("run" to run, "worker" to incarnation, "claimed_at" to task(run.task).claimants),
)

/** Returns what the runs at [incarnation] reserve, without those of [dueStarts] and [ends]. */
private fun SchedulerState.reservedAt(
    incarnation: WorkerIncarnation,
    dueStarts: Set<RunId>,
    ends: Set<Pair<RunId, WorkerIncarnation>>,
): Resources = claimsAt(incarnation)
    .filterKeys { it !in dueStarts && (it to incarnation) !in ends }
    .values.fold(Resources.None) { sum, step -> sum + step.reserved }
