package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Finds the workers on which a suspect has just started, see [Task.isSuspect].
 *
 * They get no further task for [SchedulingSettings.probation]. So a suspect that crashes its worker at its start takes
 * few others along, and none that could be blamed for it.
 */
internal class Probation(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
) {
    /** Returns the workers on probation at [now]. */
    fun workers(now: MonotonicTime): Set<WorkerIncarnation> {
        val workers = HashSet<WorkerIncarnation>()
        for (id in state.crashes.suspects) {
            state.task(id)?.claims?.filter { hasJustStarted(RunId(id, it.number), it.incarnation, now) }
                ?.mapTo(workers) { it.incarnation }
        }
        return workers
    }

    private fun hasJustStarted(run: RunId, incarnation: WorkerIncarnation, now: MonotonicTime): Boolean {
        val contact = contacts.find(incarnation) ?: return true
        val since = contact.orders[run]?.sentAt ?: contact.since
        return now - since < settings.probation
    }
}
