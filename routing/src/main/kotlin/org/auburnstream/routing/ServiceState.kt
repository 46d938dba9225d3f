package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/** Queue, budget and observed run times of one service on this daemon. */
internal class ServiceState(val policy: ServicePolicy) {
    val queue: ServiceQueue = ServiceQueue(policy)
    val retryBudget: RetryBudget = RetryBudget(policy.retryRatio, policy.retryBurst)
    val runTime: RunTimeEstimate = RunTimeEstimate()

    /** Requests of the service that are running. */
    var running: Int = 0

    /** Returns this service under another [policy], with its waiting and running requests. */
    fun withPolicy(policy: ServicePolicy): ServiceState {
        val next = ServiceState(policy)
        next.running = running
        queue.all().toList().asReversed().forEach(next.queue::requeue)
        if (runTime.hasSamples) next.runTime.observe(runTime.typical)
        return next
    }

    /**
     * Returns whether a request that starts at [now] is likely to be answered by [deadline].
     *
     * While nothing runs there is no fresh run time to judge by, so a request is let through to observe one.
     */
    fun canMeetDeadline(deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (now >= deadline) return false
        if (running == 0 && queue.size == 0) return true
        return now + runTime.typical <= deadline
    }

    /**
     * Returns whether a request that starts after [wait] is almost certain to be answered by [deadline].
     *
     * Asked while others wait for the slot: a request that fails its deadline would take it from one that keeps it.
     */
    fun canMeetDeadlineAfter(wait: Duration, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (running == 0) return now < deadline
        return now + wait + runTime.upperEstimate <= deadline
    }

    /** Time in which [requests] are started on [slots] slots, by observed run times. */
    fun estimateWait(requests: Int, slots: Int): Duration = runTime.typical * requests / slots.coerceAtLeast(1)
}
