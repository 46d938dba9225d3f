package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Raises the fence of a worker that has restarted under its id, and releases the runs that ended with its earlier
 * incarnation.
 *
 * Orders name the worker and not its incarnation, so the later incarnation may carry out the earlier one's orders until
 * it has answered a status query with a raised fence. The claims of the earlier incarnation move to the later one. A
 * run that the earlier one has listed is released at once, any other when the answer to that query does not list it.
 */
internal class RestartedWorkers(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val release: (RunId, WorkerIncarnation) -> Unit,
    private val runLost: (RunId, MonotonicTime) -> Unit,
    private val record: (Record) -> Unit,
    private val emit: (Action) -> Unit,
) {
    /** Raises the fences of workers whose later incarnations have registered, and records the raised ones. */
    fun tick(now: MonotonicTime) {
        for (contact in contacts.all.toList()) {
            val current = state.workers[contact.incarnation.worker] ?: continue
            val later = current.profile.incarnation
            when {
                later.startedMs > contact.incarnation.startedMs -> replace(contact, contacts.of(later, now))
                later == contact.incarnation -> recordFence(contact, current, now)
            }
        }
    }

    /**
     * Handles an [answer] that a later incarnation gave to a status query to [contact].
     *
     * @param unsentClaims runs whose start orders are not sent yet.
     */
    fun laterIncarnationAnswered(
        contact: WorkerContact,
        answer: StatusAnswer,
        unsentClaims: Set<RunId>,
        now: MonotonicTime,
    ) {
        val startedMs = checkNotNull(answer.startedMs) { "an answer without a start names no later incarnation" }
        contact.failedQueries = 0
        contact.nextQueryAt = now + settings.retryInterval
        val claims = state.claimsAt(contact.incarnation).keys.filter { it !in unsentClaims }
        val known = contact.successor
        if (known?.startedMs != startedMs) {
            contact.successor = Successor(startedMs, seenAt = now)
            contacts.raiseFence(contact)
            contact.nextQueryAt = now
            log(
                "later_life_answered",
                "worker" to contact.incarnation,
                "born_ms" to startedMs,
                "epoch" to contact.epoch,
                "claims" to claims.size,
            )
            return claims.filter { contact.orders[it]?.isListed == true }
                .forEach { release(it, contact.incarnation) }
        }
        if (known.fencedAt == null) known.fencedAt = now
        if (!answer.hasAllEnds) return
        val present = answer.running.map { it.run }.toSet() + answer.ended.map { it.run }
        claims.filter { it !in present }.forEach { release(it, contact.incarnation) }
    }

    /** Handles the first [answer] of the incarnation of [contact], which has raised its fence. */
    fun fenceRaised(contact: WorkerContact, answer: StatusAnswer, now: MonotonicTime) {
        contact.fencedAt = now
        val earlier = state.worker(contact.incarnation)?.earlier ?: return
        log(
            "worker_fenced",
            "worker" to contact.incarnation,
            "earlier" to earlier,
            "epoch" to contact.epoch,
            "running" to answer.running.size,
            "ended" to answer.ended.size,
        )
    }

    private fun replace(earlier: WorkerContact, later: WorkerContact) {
        contacts.remove(earlier.incarnation)
        contacts.raiseFence(later)
        if (state.worker(later.incarnation)?.earlier != earlier.incarnation) return
        val claims = state.claimsAt(later.incarnation).keys.toList()
        claims.forEach { runLost(it, earlier.runsKnownAt) }
        val (ended, unclear) = claims.partition { earlier.orders[it]?.isListed == true }
        log(
            "worker_replaced",
            "worker" to later.incarnation,
            "earlier" to earlier.incarnation,
            "epoch" to later.epoch,
            "ended" to ended.size,
            "unclear" to unclear.size,
        )
        ended.forEach { release(it, later.incarnation) }
    }

    /**
     * Records that no order for an earlier incarnation can be carried out, so that later leaders need not wait for one.
     *
     * A lease that such an order granted before the fence was raised may last longer than one that a leader grants.
     */
    private fun recordFence(contact: WorkerContact, worker: Worker, now: MonotonicTime) {
        val fencedAt = contact.fencedAt ?: return
        val isDue = worker.earlier != null && !contact.isFenceRecorded && now - fencedAt >= settings.lateLeaseExcess
        if (!isDue) return
        contact.isFenceRecorded = true
        record(Record.WorkerFenced(contact.incarnation))
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) = emit(Action.Note(event, fields.toList()))
}
