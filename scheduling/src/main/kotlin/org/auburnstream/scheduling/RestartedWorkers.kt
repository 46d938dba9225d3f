package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Makes a restarted worker refuse the orders that were sent for its earlier life.
 *
 * Orders name the worker and not its life, so the later life may carry them out. The claims of the earlier life move
 * to the later one and are released only once it has refused their runs. Refusal is ordered by a stop.
 */
internal class RestartedWorkers(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val stop: (RunId, WorkerLife, MonotonicTime) -> Unit,
    private val emit: (Action) -> Unit,
) {
    /** Sends the stops that the later lives of restarted workers have to answer. */
    fun tick(now: MonotonicTime) {
        for (earlier in contacts.all.toList()) {
            val later = state.workers[earlier.life.worker]?.profile?.life ?: continue
            if (later.startedMs > earlier.life.startedMs) stopEarlierRuns(earlier, contacts.of(later, now), now)
        }
        for (worker in contacts.unansweredStarts.workers) {
            state.workers[worker]?.let { refuseLateStarts(it.profile, now) }
        }
    }

    /**
     * Handles a status query to [contact] that was answered by a later life, started at [startedMs].
     *
     * The runs of the earlier life are stopped; the claims move once the later life has reported.
     *
     * @param unsentClaims runs whose start orders are not sent yet.
     */
    fun laterLifeAnswered(contact: WorkerContact, startedMs: Long, unsentClaims: Set<RunId>, now: MonotonicTime) {
        contact.nextQueryAt = now + settings.retryInterval
        if (contact.isSuperseded) return
        contact.isSuperseded = true
        contact.earlierOrdersUntil = now + settings.lateOrderLifetime
        log("later_life_answered", "worker" to contact.life, "born_ms" to startedMs)
        state.claimsAt(contact.life).keys.filter { it !in unsentClaims }.forEach { stop(it, contact.life, now) }
    }

    private fun stopEarlierRuns(earlier: WorkerContact, later: WorkerContact, now: MonotonicTime) {
        contacts.remove(earlier.life)
        if (state.worker(later.life)?.earlier != earlier.life) return
        later.earlierOrdersUntil = now + settings.lateOrderLifetime
        val claims = state.claimsAt(later.life).keys
        // Claims without an order are those of earlier leaders; the fence of the first status query excludes them.
        val ordered = earlier.orders.keys.filter { it in claims && it !in later.orders }
        log("worker_replaced", "worker" to later.life, "earlier" to earlier.life, "runs" to ordered.size)
        ordered.forEach { stop(it, later.life, now) }
    }

    private fun refuseLateStarts(worker: WorkerProfile, now: MonotonicTime) {
        val claims = state.claimsAt(worker.life).keys
        for (start in contacts.unansweredStarts.notRefusedBy(worker.life)) {
            // Claimed runs are stopped through their own orders.
            val isRecent = start.stopSentAt?.let { now - it < settings.orderTimeout } ?: false
            if (start.run in claims || isRecent) continue
            start.stopSentAt = now
            log("late_start_refused", "run" to start.run, "worker" to worker.life, "sent_for" to start.life)
            emit(Action.Stop(worker, start.run))
        }
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))
}
