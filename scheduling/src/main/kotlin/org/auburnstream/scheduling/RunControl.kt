package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Carries claims to their end: orders the starts and stops, renews leases, and records what ended or cannot run.
 *
 * An order that was not answered may be carried out later. The run is then stopped first: a worker that has
 * answered the stop refuses a start that arrives after it, so the next look shows what became of the run. Claims
 * of earlier leaders are settled by the first look that a worker answers, because the look raises the fence.
 *
 * Orders name a worker and not its life. What was ordered for a life is stopped at the later life that replaces it,
 * and the run is released only once that one has refused it.
 */
internal class RunControl(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: Contacts,
    private val durations: DurationBook,
    private val progress: ProgressWatch,
    private val record: (Record) -> Unit,
    private val act: (Action) -> Unit,
) {
    private val recorded = HashSet<Pair<RunId, WorkerLife>>()
    private val paces = PaceOrders(state, act)
    private val begunJobs = BegunJobs(state, record)

    /** Has later lives of a worker refuse what was ordered for earlier ones. */
    val takeOver = TakeOver(state, settings, contacts, ::stop, act)

    /**
     * Claims whose batch is being committed.
     *
     * The state may show them before this side has sent their orders, so nothing may be concluded from their absence.
     */
    private var unsent: Set<RunId> = emptySet()

    /** Notes the claims of a batch that is about to be committed. */
    fun committing(batch: RecordBatch) {
        unsent = batch.records.filterIsInstance<Record.RunClaimed>().map { it.run }.toSet()
    }

    /** Notes that the orders of the batch's claims go out now, or that it was rejected. */
    fun settled() {
        unsent = emptySet()
        begunJobs.settled()
    }

    /** Sends the order for a claim that was committed. */
    fun begin(claim: Record.RunClaimed, ticket: String?, now: MonotonicTime) {
        val worker = state.worker(claim.life)
        val job = state.active[claim.run.task.step.job]
        val isClaimed = claim.run in state.claimsAt(claim.life)
        if (!isClaimed) {
            note("run_not_claimed", "run" to claim.run, "worker" to claim.life)
            // Without one member the others of a gang would wait in vain.
            return stopRest(claim.run, now)
        }
        val contact = contacts.of(claim.life, now)
        val isGone = worker == null || worker.isLeaving || contact.isRetired || !contact.clock.isKnown
        if (job == null || worker == null || isGone) {
            return release(claim.run, claim.life, "worker or job gone")
        }
        // The stop of a gang that is not whole has gone ahead of its order.
        if (isStopping(claim.run, claim.life)) return release(claim.run, claim.life, "gang not whole")
        val order = Order(now)
        contact.orders[claim.run] = order
        contacts.lateStarts.sent(claim.run, claim.life, now)
        val description = job.description.steps[claim.run.task.step.step]
        val progress = job.step(claim.run.task.step)
        val saved = if (description.gang) progress.saved else progress.tasks[claim.run.task.index].saved
        val until = contact.clock.grant(now, settings.maxLease)
        note(
            "run_claimed",
            "run" to claim.run,
            "worker" to claim.life,
            "lease_end_ms" to until,
            "clock_age_ms" to contact.clock.readingAge(now)?.inWholeMilliseconds,
        )
        act(Action.Start(worker.profile, claim.run, job.description.payload, until, saved, ticket))
    }

    /** Whether the run is being stopped. */
    fun isStopping(run: RunId, life: WorkerLife): Boolean = contacts.find(life)?.orders?.get(run)?.wantsStop ?: false

    /** Orders the end of every run of a job that is over. */
    fun stopJob(id: JobId, now: MonotonicTime) {
        for (life in state.claimedLives) {
            state.claimsAt(life).keys.filter { it.task.step.job == id && it !in unsent }.forEach { stop(it, life, now) }
        }
    }

    /** Stops a run so that it starts at another worker. */
    fun evacuate(run: RunId, life: WorkerLife, cause: String, now: MonotonicTime) {
        if (run in unsent || isStopping(run, life)) return
        note("run_evacuated", "run" to run, "worker" to life, "cause" to cause)
        stop(run, life, now)
    }

    fun startAnswered(event: Event.StartAnswered, now: MonotonicTime) {
        if (event.answer != null) contacts.lateStarts.settled(event.run, event.life.worker)
        val contact = contacts.find(event.life) ?: return
        val order = contact.orders[event.run] ?: return
        val answer = event.answer
        if (answer != null && answer.result != OrderResult.UNSENT) contact.heard(now, answer.clockMs)
        if (answer?.result != OrderResult.DONE) {
            note("start_failed", "run" to event.run, "worker" to event.life, "answer" to answer?.result)
        }
        when (answer?.result) {
            null -> stop(event.run, event.life, now)
            OrderResult.DONE -> {
                order.startedAt = order.startedAt ?: now
                begunJobs.started(event.run)
                if (order.wantsStop) sendStop(event.run, event.life, order, now)
                scheduleLook(contact, now)
            }
            OrderResult.OTHER_LIFE -> gone(event.life)
            OrderResult.UNSENT -> {
                contact.isUnreachable = true
                release(event.run, event.life, "order not sent")
            }
            OrderResult.NO_ROOM -> {
                contact.fullUntil = now + FULL_PAUSE
                release(event.run, event.life, "no room")
            }
            OrderResult.UNHEALTHY -> {
                if (contact.health.refused(now)) note("worker_set_aside", "worker" to event.life, "cause" to "refused")
                release(event.run, event.life, "unhealthy")
            }
            OrderResult.FENCED, OrderResult.OUTDATED, OrderResult.LATE, OrderResult.NO_TICKET, OrderResult.REFUSED ->
                release(event.run, event.life, answer.result.name.lowercase())
        }
    }

    fun stopAnswered(event: Event.StopAnswered, now: MonotonicTime) {
        val contact = contacts.find(event.life) ?: return
        val answer = event.answer?.takeIf { it.result != OrderResult.UNSENT } ?: return
        contact.heard(now, answer.clockMs)
        if (answer.result == OrderResult.OTHER_LIFE) return gone(event.life)
        if (answer.result == OrderResult.DONE) contacts.lateStarts.refused(event.run, event.life)
        val order = contact.orders[event.run] ?: return
        if (answer.result == OrderResult.DONE && order.stoppedAt == null) order.stoppedAt = now
        scheduleLook(contact, now)
    }

    fun lookAnswered(event: Event.LookAnswered, now: MonotonicTime) {
        val contact = contacts.find(event.life) ?: return
        val sentAt = contact.lookingSince ?: return
        contact.lookingSince = null
        val answer = event.answer
        if (answer == null) {
            contact.lookFailed(now, settings, isIdle = state.claimsAt(event.life).isEmpty())
            if (contact.failedLooks == 1) note("worker_silent", "worker" to event.life, *contact.leaseFields(now))
            return
        }
        if (answer.otherLife) return gone(event.life)
        if (answer.bornMs != null && answer.bornMs != event.life.bornMs) {
            return takeOver.answered(contact, answer.bornMs, unsent, now)
        }
        if (contact.failedLooks >
            0
        ) {
            note("worker_answers", "worker" to event.life, "failed_looks" to contact.failedLooks)
        }
        contact.failedLooks = 0
        contact.isUnreachable = false
        contact.heard(now, answer.clockMs)
        if (answer.isFenced) {
            contact.nextLook = now + settings.retryInterval
            return
        }
        if (contact.lookedAt == null) contact.clock.assumeGranted(answer.clockMs, settings.maxLease)
        contact.lookedAt = sentAt
        contact.running = answer.running
        answer.ended.filter { it.end == RunEnd.DONE }.forEach { progress.done(contact, it.run, now) }
        progress.looked(contact, answer.running, now)
        takeEnds(contact, answer)
        reconcile(contact, answer, sentAt, now)
        paces.decide(contact, answer, now)
        contact.nextLook = now
    }

    fun paceAnswered(event: Event.PaceAnswered) {
        if (event.answer?.result == OrderResult.OTHER_LIFE) gone(event.life)
    }

    fun ended(end: Record.RunEnded, now: MonotonicTime) {
        contacts.lateStarts.settled(end.run, end.life.worker)
        recorded.remove(end.run to end.life)
        val contact = contacts.find(end.life)
        val startedAt = contact?.orders?.remove(end.run)?.startedAt
        val job = end.run.task.step.job
        if (end.end == RunEnd.DONE && startedAt != null) learn(end.run, now - startedAt)
        when (end.end) {
            RunEnd.DONE -> contact?.health?.succeeded()
            RunEnd.FAILED -> if (contact?.health?.failed(job, now) == true) {
                note("worker_set_aside", "worker" to end.life, "cause" to "failed runs")
            }
            else -> Unit
        }
        if (state.jobs[job]?.isActive == false) stopJob(job, now)
        stopRest(end.run, now)
    }

    private fun learn(run: RunId, elapsed: Duration) {
        val job = state.jobs[run.task.step.job] ?: return
        val step = job.description.steps[run.task.step.step]
        if (step.lasting || run.number > 1) return
        durations.ended(job.queue.name, step.estimateMs, elapsed.inWholeMilliseconds)
    }

    fun released(release: Record.RunReleased, now: MonotonicTime) {
        recorded.remove(release.run to release.life)
        contacts.find(release.life)?.orders?.remove(release.run)
        stopRest(release.run, now)
    }

    /** Sends the looks that waited for a commit. */
    fun afterCommit(now: MonotonicTime) {
        contacts.all.forEach { if (it.nextLook <= now) look(it, now) }
    }

    fun tick(now: MonotonicTime) {
        takeOver.tick(now)
        contacts.prune(now)
        for (life in state.claimedLives.toList()) {
            val contact = contacts.of(life, now)
            val isSilent = contact.isReplaced || (contact.failedLooks > 0 && contact.hasLapsed(now, settings))
            if (state.worker(life) == null || (isSilent && !contacts.isHeldByLateOrders(contact, now))) {
                val inputs = contact.leaseFields(now)
                state.claimsAt(life).keys.filter {
                    it !in unsent
                }.forEach { release(it, life, "lease ran out", inputs) }
                continue
            }
            repeatStops(contact, now)
            look(contact, now)
        }
        // A new leader asks idle workers as well, so that it need not wait for their next reports.
        state.workers.values.map { it to contacts.of(it.profile.life, now) }
            .filter { (worker, contact) -> contact.isInDoubt || contacts.isUnfenced(worker) }
            .forEach { (_, contact) -> look(contact, now) }
    }

    private fun takeEnds(contact: WorkerContact, answer: LookAnswer) {
        val life = contact.life
        val noted = maxOf(contact.endsTaken, state.worker(life)?.endsNoted ?: 0)
        val fresh = answer.ended.filter { it.number > noted }
        if (fresh.isEmpty()) return
        for (row in fresh) {
            recorded.add(row.run to life)
            record(Record.RunEnded(row.run, life, row.end, row.saved))
        }
        contact.endsTaken = fresh.maxOf { it.number }
        record(Record.EndsNoted(life, contact.endsTaken))
    }

    /** Compares what the worker runs with what it should, as of a look sent at [sentAt]. */
    private fun reconcile(contact: WorkerContact, answer: LookAnswer, sentAt: MonotonicTime, now: MonotonicTime) {
        val life = contact.life
        val running = answer.running.associateBy { it.run }
        val listed = answer.ended.map { it.run }.toSet()
        val claims = state.claimsAt(life)
        for (run in claims.keys.toList()) {
            if (run in unsent) continue
            val isHere = run in running
            if (isHere) noteStarted(contact, run, sentAt, now)
            val isOpen = isHere || run in listed || (run to life) in recorded
            val order = contact.orders[run]
            if (!isOpen && order.isSettledBy(sentAt, answer)) release(run, life, "not listed", order.ageFields(sentAt))
            val isOver = state.active[run.task.step.job] == null || state.isTaskDone(run.task)
            if (isHere && isOver) stop(run, life, now)
        }
        running.keys.filter { it !in claims && (it to life) !in recorded }.forEach { run ->
            val elsewhere = state.task(run.task).claimants
            note("unknown_run", "run" to run, "worker" to life, "claimed_at" to elsewhere)
            state.worker(life)?.let { act(Action.Stop(it.profile, run)) }
        }
    }

    private fun noteStarted(contact: WorkerContact, run: RunId, sentAt: MonotonicTime, now: MonotonicTime) {
        val order = contact.orders.getOrPut(run) { Order(now) }
        if (order.startedAt == null) order.startedAt = sentAt
        begunJobs.started(run)
        contacts.lateStarts.settled(run, contact.life.worker)
    }

    /** Stops what has no use once [run] is over: copies of a task that is done, and the other members of a gang. */
    private fun stopRest(run: RunId, now: MonotonicTime) {
        val id = run.task.step
        val job = state.jobs[id.job] ?: return
        val tasks = job.occurrences[id.occurrence]?.steps?.get(id.step)?.tasks ?: return
        val isGang = job.description.steps[id.step].gang
        tasks.forEachIndexed { index, task ->
            val isUseless = isGang || (index == run.task.index && task.isDone)
            if (isUseless) task.claims.forEach { stop(RunId(TaskId(id, index), it.number), it.life, now) }
        }
    }

    private fun stop(run: RunId, life: WorkerLife, now: MonotonicTime) {
        val contact = contacts.of(life, now)
        val order = contact.orders.getOrPut(run) { Order(now) }
        order.wantsStop = true
        sendStop(run, life, order, now)
    }

    private fun sendStop(run: RunId, life: WorkerLife, order: Order, now: MonotonicTime) {
        val worker = state.worker(life) ?: return
        val isRecent = order.stopSentAt?.let { now - it < settings.orderTimeout } ?: false
        if (isRecent) return
        order.stopSentAt = now
        act(Action.Stop(worker.profile, run))
    }

    private fun repeatStops(contact: WorkerContact, now: MonotonicTime) {
        for ((run, order) in contact.orders) {
            if (order.wantsStop && order.stoppedAt == null) sendStop(run, contact.life, order, now)
        }
        // A job may be over by a record whose stops were lost with an earlier leader.
        state.claimsAt(contact.life).keys
            .filter { it !in unsent && state.active[it.task.step.job] == null && contact.orders[it]?.wantsStop != true }
            .forEach { stop(it, contact.life, now) }
    }

    private fun look(contact: WorkerContact, now: MonotonicTime) {
        val worker = state.worker(contact.life) ?: return
        val isDue = contact.lookingSince == null && now >= contact.nextLook
        val isOfInterest = contact.isInDoubt || contacts.isUnfenced(worker) ||
            state.claimsAt(contact.life).isNotEmpty()
        if (!isDue || !isOfInterest) return
        // Ends that wait to be recorded would make the worker answer at once, with nothing new.
        if (recorded.any { it.second == contact.life }) return
        contact.lookingSince = now
        // Renewing again and again without an answer would put off the time when the lease has certainly run out.
        val mayRenew = contact.clock.isKnown && contact.failedLooks < LOOKS_THAT_RENEW && !contact.isReplaced
        val until = if (mayRenew) contact.clock.grant(now, settings.maxLease) else null
        // A later life numbers its ends anew, and would forget those that no one has read.
        val endsNoted = if (contact.isReplaced) 0 else worker.endsNoted
        act(Action.Look(worker.profile, until, endsNoted, waitFor(contact)))
    }

    private fun waitFor(contact: WorkerContact): Duration {
        val claims = state.claimsAt(contact.life)
        val isUnsettled = contact.lookedAt == null || contact.failedLooks > 0 || contact.isReplaced ||
            claims.keys.any { contact.orders[it]?.stoppedAt != null }
        if (isUnsettled) return Duration.ZERO
        val isShared = claims.values.any { it.fillsUnused } && claims.values.any { it.tailTargetMs > 0 }
        val isOver = paces.isOver(contact.life)
        return when {
            isShared && isOver -> settings.servingLookWait / 2
            isShared || claims.values.any { !it.lasting } -> settings.servingLookWait
            else -> settings.lookWait
        }
    }

    private fun scheduleLook(contact: WorkerContact, now: MonotonicTime) {
        if (contact.lookingSince == null) contact.nextLook = minOf(contact.nextLook, now)
        look(contact, now)
    }

    private fun gone(life: WorkerLife) {
        if (state.worker(life) == null) return
        note("other_life_answered", "worker" to life)
        record(Record.WorkerGone(life))
    }

    private fun release(
        run: RunId,
        life: WorkerLife,
        cause: String,
        inputs: Array<Pair<String, Any?>> = emptyArray(),
    ) {
        if (!recorded.add(run to life)) return
        note("run_not_there", "run" to run, "worker" to life, "cause" to cause, *inputs)
        record(Record.RunReleased(run, life))
    }

    private fun note(event: String, vararg fields: Pair<String, Any?>) = act(Action.Note(event, fields.toList()))

    private companion object {
        /** One repeat bridges a lost answer; a worker that is cut off keeps what it was granted by then. */
        const val LOOKS_THAT_RENEW = 2
    }
}
