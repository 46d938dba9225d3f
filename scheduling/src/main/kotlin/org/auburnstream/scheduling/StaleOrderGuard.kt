package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId

/**
 * Keeps a new leader from ordering a VM for which an earlier leader's order may still arrive.
 *
 * Each order goes out after its record is committed, so the log names every VM that an earlier leader can have ordered.
 * Orders for all others need not wait.
 */
internal class StaleOrderGuard(
    state: SchedulerState,
    private val settings: SchedulingSettings,
    private val startedAt: MonotonicTime,
) {
    private val withheld = state.recentlyOrdered((settings.predecessorOrderTime + settings.maxClockSkew).inWholeMilliseconds)

    /** Whether an order for [vm] may go out. */
    fun isOrderAllowed(vm: VmId, now: MonotonicTime): Boolean = vm !in withheld || now - startedAt >= settings.predecessorOrderTime
}
