package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/** Sends the orders that set the processor shares of fill tasks, as decided by the [PaceControl] of each worker. */
internal class PaceOrders(private val state: SchedulerState, private val emit: (Action) -> Unit) {
    private val controls = HashMap<WorkerIncarnation, PaceControl>()

    /** Whether the tail latency of a serving task of [incarnation] exceeded its target at the latest status answer. */
    fun isOverTarget(incarnation: WorkerIncarnation): Boolean = controls[incarnation]?.isOverTarget == true

    fun decide(contact: WorkerContact, answer: StatusAnswer, now: MonotonicTime) {
        val claims = state.claimsAt(contact.incarnation)
        if (claims.values.none { it.fillsUnused }) return
        val worker = state.worker(contact.incarnation) ?: return
        val control = controls.getOrPut(contact.incarnation) { PaceControl(contact.incarnation) }
        control.decide(answer.running, claims, now).forEach { (run, percent) ->
            control.applied(run, percent)
            emit(Action.Note("run_paced", listOf("run" to run, "worker" to contact.incarnation, "percent" to percent)))
            emit(Action.Pace(worker.profile, contact.epoch, run, percent))
        }
    }
}
