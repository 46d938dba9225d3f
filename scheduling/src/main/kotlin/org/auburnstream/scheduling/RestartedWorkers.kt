package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Makes a restarted worker refuse the orders that were sent for its earlier incarnation.
 *
 * Orders name the worker and not its incarnation, so the later incarnation may carry them out. The claims of the
 * earlier incarnation move to the later one and are released only once it has refused their runs. A stop order makes it
 * refuse a run.
 */
internal class RestartedWorkers(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val stop: (RunId, WorkerIncarnation, MonotonicTime) -> Unit,
    private val runLost: (RunId, MonotonicTime) -> Unit,
    private val emit: (Action) -> Unit,
) {
    /** Sends the stops that the later incarnations of restarted workers have to answer. */
    fun tick(now: MonotonicTime) {
        for (earlier in contacts.all.toList()) {
            val later = state.workers[earlier.incarnation.worker]?.profile?.incarnation ?: continue
            if (later.startedMs > earlier.incarnation.startedMs) stopEarlierRuns(earlier, contacts.of(later, now), now)
        }
        for (worker in contacts.unansweredStarts.workers) {
            state.workers[worker]?.let { refuseLateStarts(it.profile, now) }
        }
    }

    /**
     * Handles a status query to [contact] that was answered by a later incarnation, started at [startedMs].
     *
     * The runs of the earlier incarnation are stopped; the claims move once the later incarnation has reported.
     *
     * @param unsentClaims runs whose start orders are not sent yet.
     */
    fun laterIncarnationAnswered(
        contact: WorkerContact,
        startedMs: Long,
        unsentClaims: Set<RunId>,
        now: MonotonicTime,
    ) {
        contact.nextQueryAt = now + settings.retryInterval
        if (contact.isSuperseded) return
        contact.isSuperseded = true
        contact.earlierOrdersUntil = now + settings.lateOrderLifetime
        log("later_life_answered", "worker" to contact.incarnation, "born_ms" to startedMs)
        state.claimsAt(contact.incarnation).keys
            .filter { it !in unsentClaims }
            .forEach { stop(it, contact.incarnation, now) }
    }

    private fun stopEarlierRuns(earlier: WorkerContact, later: WorkerContact, now: MonotonicTime) {
        contacts.remove(earlier.incarnation)
        if (state.worker(later.incarnation)?.earlier != earlier.incarnation) return
        later.earlierOrdersUntil = now + settings.lateOrderLifetime
        val claims = state.claimsAt(later.incarnation).keys
        claims.forEach { runLost(it, earlier.runsKnownAt) }
        // Claims without an order are those of earlier leaders; the fence of the first status query excludes them.
        val ordered = earlier.orders.keys.filter { it in claims && it !in later.orders }
        log("worker_replaced", "worker" to later.incarnation, "earlier" to earlier.incarnation, "runs" to ordered.size)
        ordered.forEach { stop(it, later.incarnation, now) }
    }

    private fun refuseLateStarts(worker: WorkerProfile, now: MonotonicTime) {
        val claims = state.claimsAt(worker.incarnation).keys
        for (start in contacts.unansweredStarts.notRefusedBy(worker.incarnation)) {
            // Claimed runs are stopped through their own orders.
            val timeout = contacts.answerTimeout.after(0)
            val isRecent = start.stopSentAt?.let { now - it < timeout } ?: false
            if (start.run in claims || isRecent) continue
            start.stopSentAt = now
            log(
                "late_start_refused",
                "run" to start.run,
                "worker" to worker.incarnation,
                "sent_for" to start.incarnation,
            )
            emit(Action.Stop(worker, start.run, timeout))
        }
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))
}
