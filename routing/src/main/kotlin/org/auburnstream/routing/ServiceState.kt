package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/** State of one service on this daemon: queue, retry budget, run time estimate and number of running requests. */
internal class ServiceState(val policy: ServicePolicy) {
    val queue: ServiceQueue = ServiceQueue(policy)
    val retryBudget: RetryBudget = RetryBudget(policy.retryRatio, policy.retryBurst)
    val runTime: RunTimeEstimate = RunTimeEstimate()

    /** Number of requests of the service that targets are running. */
    var running: Int = 0

    /** Returns a copy of this state with another [policy] that keeps the queued and running requests. */
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
     * While no request runs or waits, no recent run time is available, so a request is admitted to measure one.
     */
    fun canMeetDeadline(deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (now >= deadline) return false
        if (running == 0 && queue.size == 0) return true
        return now + runTime.typical <= deadline
    }

    /**
     * Returns whether a request that starts after [wait] is almost certain to be answered by [deadline].
     *
     * Used while other requests wait for the slot: a request that misses its deadline would block one that meets it.
     */
    fun canMeetDeadlineAfter(wait: Duration, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (running == 0) return now < deadline
        return now + wait + runTime.upperEstimate <= deadline
    }

    /** Estimates the time until [requests] requests have started on [slots] slots, from the mean run time. */
    fun estimateWait(requests: Int, slots: Int): Duration = runTime.typical * requests / slots.coerceAtLeast(1)
}
