package org.auburnstream.scheduling

import org.auburnstream.model.ServiceId

/**
 * Workers reserved, within one plan, for steps that smaller steps have bypassed for too long.
 *
 * Handles gangs and large tasks amid many small tasks, which would otherwise take each bit of capacity as it becomes
 * free. A reservation is made only for a step that fits once the runs that end by themselves have ended, and takes only
 * as many workers as the step needs, those with the most free capacity first.
 *
 * A reservation keeps capacity idle while it drains, possibly for as long as the longest run there. So that no small
 * job waits for that, reservations are in force only while the service is mostly in use, and otherwise for
 * [PERIOD_MS] of each [CYCLE_MS], in the same period for all steps.
 */
internal class Reservations(
    private val state: SchedulerState,
    private val capacities: CapacityTracker,
    private val nowMs: Long,
) {
    private val reserved = HashSet<WorkerCapacity>()
    private val mostlyUsed = HashMap<ServiceId, Boolean>()

    /** Whether [worker] accepts only lasting tasks for the rest of the plan. */
    fun isReserved(worker: WorkerCapacity): Boolean = worker in reserved

    /** Keeps [worker] for lasting tasks for the rest of the plan, because runs are stopped there for one. */
    fun keepForLasting(worker: WorkerCapacity) {
        reserved.add(worker)
    }

    /** Whether a task of the step takes more than half of every worker. */
    fun isLarge(step: WaitingStep): Boolean {
        val largest = capacities.of(step.queue.service).maxOfOrNull { it.worker.capacity.millicores } ?: 0
        return step.description.reserved.millicores > largest / 2
    }

    /** Whether the step can start, a gang as a whole, once the runs that end by themselves have ended. */
    fun isUseful(step: WaitingStep): Boolean {
        val needed = if (step.description.gang) step.tasks.size else 1
        var slots = 0
        return capacities.of(step.queue.service).any { worker ->
            slots += worker.slotsWhenDrained(step.id, step.description, limit = needed - slots)
            slots >= needed
        }
    }

    /** Reserves workers for the step if it can start there and if reservations of its service are in force. */
    fun reserve(step: WaitingStep) {
        if (!isInForce(step.queue.service)) return
        val needed = step.tasks.size
        val chosen = ArrayList<WorkerCapacity>()
        var slots = 0
        val open = capacities.of(step.queue.service).filterNot(::isReserved)
        for (worker in open.sortedByDescending { it.free.millicores }) {
            if (slots >= needed) break
            val own = worker.slotsWhenDrained(step.id, step.description, limit = needed - slots)
            if (own == 0) continue
            slots += own
            chosen.add(worker)
        }
        if (slots >= needed || !step.description.gang) reserved.addAll(chosen)
    }

    private fun isInForce(service: ServiceId): Boolean =
        nowMs.mod(CYCLE_MS) < PERIOD_MS || mostlyUsed.getOrPut(service) { isMostlyUsed(service) }

    /** Whether runs reserve most of the service's processor time, counting workers that cannot be used as well. */
    private fun isMostlyUsed(service: ServiceId): Boolean {
        val workers = state.workers.values.filter { it.profile.service == service }
        val capacity = workers.sumOf { it.profile.capacity.millicores.toDouble() }
        return workers.sumOf { state.loadOf(it).toDouble() } >= capacity * MOSTLY_USED
    }

    private companion object {
        /** Time for which small jobs may wait for a reservation; a job may wait for 3 s beside idle capacity. */
        const val PERIOD_MS = 2_000L

        /** Leaves twice the time of a reservation to the small jobs that waited for it. */
        const val CYCLE_MS = 6_000L

        /** Above the half from which jobs may wait, as some of the runs counted may have ended unnoticed. */
        const val MOSTLY_USED = 0.6
    }
}
