package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Holds the deregistration calls of workers until the worker has no claimed runs.
 *
 * A deregistering worker shuts down when it gets the reply, or seconds later without one, and runs its tasks until
 * then. Its runs are stopped first, which preserves their saved state, and the end of the incarnation is recorded once
 * it has no claims. If the worker terminates earlier, its runs are released when its lease expires, as for any silent
 * worker.
 */
internal class Deregistrations(
    private val state: SchedulerState,
    private val contacts: WorkerContacts,
    private val pendingRecords: PendingRecords,
    private val runs: RunControl,
    private val emit: (Action) -> Unit,
) {
    private val calls = LinkedHashMap<WorkerIncarnation, ArrayList<CallId>>()

    /** Adds a deregistration call; the worker gets no new runs from now on. */
    fun add(event: Event.WorkerDeregistered, now: MonotonicTime) {
        val incarnation = state.workers[event.worker]?.profile?.incarnation
        if (incarnation == null || (event.startedMs != null && event.startedMs != incarnation.startedMs)) {
            return replyAccepted(event.call)
        }
        if (incarnation !in calls) {
            val claims = state.claimsAt(incarnation).size
            emit(Action.Note("farewell_received", listOf("worker" to incarnation, "claims" to claims)))
        }
        contacts.of(incarnation, now).isDeregistering = true
        calls.getOrPut(incarnation) { ArrayList() }.add(event.call)
    }

    /** Stops the runs of deregistering workers; called between two batches, when the state contains all claims. */
    fun decide(now: MonotonicTime) {
        val entries = calls.entries.iterator()
        for ((incarnation, waiting) in entries) {
            val worker = state.worker(incarnation)
            val claims = state.claimsAt(incarnation).keys
            when {
                worker == null -> waiting.forEach(::replyAccepted)
                claims.isEmpty() -> pendingRecords.recordDeregistration(incarnation, waiting)
                else -> {
                    // Tells later leaders not to place tasks there.
                    if (!worker.isLeaving) {
                        pendingRecords.record(Record.WorkerRegistered(worker.profile, leaving = true, worker.sequence))
                    }
                    claims.forEach { runs.evacuate(it, incarnation, cause = "farewell", now) }
                    continue
                }
            }
            entries.remove()
        }
    }

    private fun replyAccepted(call: CallId) = emit(Action.Answer(call, Reply.Accepted))
}
