package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId

/**
 * Withholds a new leader's orders for VMs for which an earlier leader's order may still arrive at the platform.
 *
 * Each order is sent after its record is committed, so the log contains every VM that an earlier leader can have
 * ordered. Orders for all other VMs are sent without delay.
 */
internal class StaleOrderGuard(
    state: SchedulerState,
    private val settings: SchedulingSettings,
    private val startedAt: MonotonicTime,
) {
    private val withheld =
        state.recentlyOrdered((settings.predecessorOrderTime + settings.maxClockSkew).inWholeMilliseconds)

    /** Whether an order for [vm] can be sent. */
    fun isOrderAllowed(vm: VmId, now: MonotonicTime): Boolean =
        vm !in withheld || now - startedAt >= settings.predecessorOrderTime
}
