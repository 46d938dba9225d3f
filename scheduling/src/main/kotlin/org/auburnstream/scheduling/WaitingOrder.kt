package org.auburnstream.scheduling

import org.auburnstream.model.ServiceId

/**
 * Order in which waiting steps are placed at [nowMs].
 *
 * The order suits queues that in turn demand several times the capacity of their pool. Lasting tasks come first, then
 * the queues with the lower [Queue.priority]. Within a priority, jobs that can still meet their objective are sorted by
 * least remaining work, so that as many as possible meet it; late jobs come last, oldest first. Smaller tasks may
 * bypass a gang or a large task that does not fit only for [MAX_BYPASS_MS]. After that it precedes them.
 *
 * Where tenants have weights, the jobs within a weight precede all beyond one of the same priority, also when they are
 * late: late work still counts for its caller, and work beyond the weight is not owed. Among the jobs that can meet
 * their objective at a service whose free capacity is less than is waited for, those of tenants [aboveShare] come after
 * the others; the order by size holds within both.
 *
 * @property aboveShare tenants that use far more than their weighted share.
 */
internal class WaitingOrder(
    private val reservations: Reservations,
    private val capacities: CapacityTracker,
    private val nowMs: Long,
    private val aboveShare: Set<TenantName> = emptySet(),
) {
    /** Returns [waiting] in the order in which the steps are placed. */
    fun sort(waiting: List<WaitingStep>): List<WaitingStep> {
        val starved = waiting.filter(::isStarved).toSet()
        val full = if (aboveShare.isEmpty()) emptySet() else fullServices(waiting)
        return waiting.sortedWith(
            compareBy<WaitingStep> { !it.description.lasting }
                .thenBy { it.queue.priority }
                .thenBy { it.job.owner?.isExcess == true }
                .thenBy { it !in starved }
                .thenBy { isLate(it) }
                .thenBy { !isLate(it) && it.queue.service in full && it.job.owner?.tenant in aboveShare }
                // The first late occurrence of each job precedes the second of any, however many are overdue.
                .thenBy { if (isLate(it)) it.rank else 0 }
                .thenBy { if (isLate(it)) it.dueMs else it.workMs }
                .thenBy { it.job.acceptedMs },
        )
    }

    /** Returns the services whose waiting tasks need more processor time than is free. */
    private fun fullServices(waiting: List<WaitingStep>): Set<ServiceId> = waiting.groupBy { it.queue.service }
        .filter { (service, steps) ->
            val needed = steps.sumOf { it.tasks.size.toDouble() * it.description.reserved.millicores }
            needed > capacities.of(service).sumOf { it.free.millicores }
        }.keys

    private fun isLate(step: WaitingStep): Boolean = nowMs + step.remainingMs > step.dueMs

    /** Whether the step has waited longer than [MAX_BYPASS_MS] and is not late. */
    fun hasWaited(step: WaitingStep): Boolean = nowMs - step.job.acceptedMs > MAX_BYPASS_MS && step.dueMs > nowMs

    /** Whether smaller steps keep the step from starting: a gang, or tasks that need more than half a worker. */
    private fun isStarved(step: WaitingStep): Boolean {
        if (!hasWaited(step)) return false
        val isLarge = step.description.gang || reservations.isLarge(step)
        return isLarge && reservations.isUseful(step)
    }

    private companion object {
        /** Time for which smaller steps may start before one that does not fit; a few times a usual task's duration. */
        const val MAX_BYPASS_MS = 3_000L
    }
}
