package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Holds the farewells of workers until nothing may run there any more.
 *
 * A worker that has said farewell ends when it has the answer, or seconds later without one, and is at work until
 * then. Its runs are stopped first, which keeps their saved state, and the life is recorded as gone once it has no
 * claims. A worker that ends meanwhile is settled by its lease, as any silent worker.
 */
internal class Farewells(
    private val state: SchedulerState,
    private val contacts: Contacts,
    private val intake: Intake,
    private val runs: RunControl,
    private val act: (Action) -> Unit,
) {
    private val calls = LinkedHashMap<WorkerLife, ArrayList<CallId>>()

    fun offer(event: Event.WorkerLeft, now: MonotonicTime) {
        val life = state.workers[event.worker]?.profile?.life
        if (life == null || (event.bornMs != null && event.bornMs != life.bornMs)) return accept(event.call)
        if (life !in calls) {
            val claims = state.claimsAt(life).size
            act(Action.Note("farewell_received", listOf("worker" to life, "claims" to claims)))
        }
        contacts.of(life, now).hasLeft = true
        calls.getOrPut(life) { ArrayList() }.add(event.call)
    }

    /** Stops what runs at the workers that leave; to be called between two batches, when the state shows all claims. */
    fun decide(now: MonotonicTime) {
        val pending = calls.entries.iterator()
        for ((life, waiting) in pending) {
            val worker = state.worker(life)
            val claims = state.claimsAt(life).keys
            when {
                worker == null -> waiting.forEach(::accept)
                claims.isEmpty() -> intake.leave(life, waiting)
                else -> {
                    // A later leader must not place tasks there either.
                    if (!worker.isLeaving) intake.record(Record.WorkerSeen(worker.profile, leaving = true))
                    claims.forEach { runs.evacuate(it, life, cause = "farewell", now) }
                    continue
                }
            }
            pending.remove()
        }
    }

    private fun accept(call: CallId) = act(Action.Answer(call, Reply.Accepted))
}
