package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Has a later life of a worker refuse what was ordered for an earlier one.
 *
 * Orders name the worker and not its life, so the later life may carry them out. Claims of the earlier life move to
 * it, and are released only once it has refused their runs.
 */
internal class RestartedWorkers(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val stop: (RunId, WorkerLife, MonotonicTime) -> Unit,
    private val emit: (Action) -> Unit,
) {
    /** Orders the stops that lives which have replaced others have to answer. */
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
     * Notes that the life born at [startedMs] has answered a look at [contact], and waits for its report.
     *
     * @param unsentClaims claims whose orders have not gone out.
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
        contacts.forget(earlier.life)
        if (state.worker(later.life)?.earlier != earlier.life) return
        later.earlierOrdersUntil = now + settings.lateOrderLifetime
        val claims = state.claimsAt(later.life).keys
        // Claims without an order here are those of earlier leaders, which the fence of the first look settles.
        val ordered = earlier.orders.keys.filter { it in claims && it !in later.orders }
        log("worker_replaced", "worker" to later.life, "earlier" to earlier.life, "runs" to ordered.size)
        ordered.forEach { stop(it, later.life, now) }
    }

    private fun refuseLateStarts(worker: WorkerProfile, now: MonotonicTime) {
        val claims = state.claimsAt(worker.life).keys
        for (start in contacts.unansweredStarts.notRefusedBy(worker.life)) {
            // What is claimed here is stopped by its order.
            val isRecent = start.stopSentAt?.let { now - it < settings.orderTimeout } ?: false
            if (start.run in claims || isRecent) continue
            start.stopSentAt = now
            log("late_start_refused", "run" to start.run, "worker" to worker.life, "sent_for" to start.life)
            emit(Action.Stop(worker, start.run))
        }
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))
}
