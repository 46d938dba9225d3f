package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Holds the farewells of workers until nothing may run there any more.
 *
 * A worker that has said farewell ends when it has the answer, or seconds later without one, and is at work until
 * then. Its runs are stopped first, which keeps their saved state, and the life is recorded as gone once it has no
 * claims. A worker that ends meanwhile is settled by its lease, as any silent worker.
 */
internal class Deregistrations(
    private val state: SchedulerState,
    private val contacts: WorkerContacts,
    private val pendingRecords: PendingRecords,
    private val runs: RunControl,
    private val emit: (Action) -> Unit,
) {
    private val calls = LinkedHashMap<WorkerLife, ArrayList<CallId>>()

    fun add(event: Event.WorkerDeregistered, now: MonotonicTime) {
        val life = state.workers[event.worker]?.profile?.life
        if (life == null || (event.startedMs != null && event.startedMs != life.startedMs)) return replyAccepted(event.call)
        if (life !in calls) {
            val claims = state.claimsAt(life).size
            emit(Action.Note("farewell_received", listOf("worker" to life, "claims" to claims)))
        }
        contacts.of(life, now).isDeregistering = true
        calls.getOrPut(life) { ArrayList() }.add(event.call)
    }

    /** Stops what runs at the workers that leave; to be called between two batches, when the state shows all claims. */
    fun decide(now: MonotonicTime) {
        val entries = calls.entries.iterator()
        for ((life, waiting) in entries) {
            val worker = state.worker(life)
            val claims = state.claimsAt(life).keys
            when {
                worker == null -> waiting.forEach(::replyAccepted)
                claims.isEmpty() -> pendingRecords.recordDeregistration(life, waiting)
                else -> {
                    // A later leader must not place tasks there either.
                    if (!worker.isLeaving) pendingRecords.record(Record.WorkerRegistered(worker.profile, leaving = true))
                    claims.forEach { runs.evacuate(it, life, cause = "farewell", now) }
                    continue
                }
            }
            entries.remove()
        }
    }

    private fun replyAccepted(call: CallId) = emit(Action.Answer(call, Reply.Accepted))
}
