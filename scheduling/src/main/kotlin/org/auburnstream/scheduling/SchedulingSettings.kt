package org.auburnstream.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits and other limits of a [Coordinator].
 *
 * Unless a property gives another reason, the default times suit a group whose members are a millisecond apart.
 *
 * @property maxLease longest lease that a worker grants.
 * @property briefLease lease of a worker whose runs are all brief, at most [maxLease]: several renewals, each up to
 *   [lookWait] after the other, and an election of the control group.
 * @property clockSlowness fraction by which a worker's clock may run slow.
 * @property reportInterval time between two reports of a worker.
 * @property stopTime longest time from the order to stop a run to the end of the run.
 * @property earlyStart time by which an occurrence may start before it is due; the scheduler uses half of it.
 * @property predecessorOrderTime time for which orders of an earlier leader for a VM may still arrive.
 * @property maxClockSkew maximum difference between the clocks of two leaders.
 * @property predecessorTime time from the start of a leadership until every lease that an earlier leader granted has
 *   expired: the longest lease on a slow clock and a margin. A leader grants leases only while a quorum has confirmed
 *   it within the shortest election timeout, so none is granted after the next leader is elected.
 * @property lookWait time for which a worker delays the answer to a status query while no run ends. Each answer renews
 *   the lease, so a worker that falls silent keeps its runs for [maxLease] less this time.
 * @property servingLookWait the same as [lookWait] for a worker whose tasks' progress or tail latencies are needed more
 *   often.
 * @property orderTimeout longest time after which the outcome of an unanswered order counts as unknown.
 * @property shortestOrderTimeout shortest such time, for workers that answer fast; the default is longer than the
 *   retransmission of one lost packet.
 * @property orderDelay time after which an unanswered order is certainly not executed any more.
 * @property retryInterval time between two attempts of an unanswered order or status query.
 * @property unavailabilityGrace time for which a lasting task may be down before it counts as unavailable.
 * @property upkeepTime duration of the maintenance of a VM.
 * @property maxWaitingJobs maximum number of accepted jobs of one queue that have not started.
 * @property remoteDataFactor factor by which a task takes longer on another rack than its data.
 * @property paceTime time from the order to change the processor share of a run until the share is in force.
 */
public data class SchedulingSettings(
    val maxLease: Duration = 6.seconds,
    val briefLease: Duration = minOf(maxLease, 6.seconds),
    val clockSlowness: Double = 0.02,
    val reportInterval: Duration = 1500.milliseconds,
    val stopTime: Duration = 900.milliseconds,
    val earlyStart: Duration = 250.milliseconds,
    val predecessorOrderTime: Duration = 3.seconds,
    val maxClockSkew: Duration = 5.seconds,
    val predecessorTime: Duration = maxLease * (1 + 2 * clockSlowness) + 500.milliseconds,
    val lookWait: Duration = 1.seconds,
    val servingLookWait: Duration = 1.seconds,
    val orderTimeout: Duration = 1.seconds,
    val shortestOrderTimeout: Duration = 250.milliseconds,
    val orderDelay: Duration = 12.seconds,
    val retryInterval: Duration = 300.milliseconds,
    val unavailabilityGrace: Duration = 4500.milliseconds,
    val upkeepTime: Duration = 2.seconds,
    val maxWaitingJobs: Int = 2_000,
    val remoteDataFactor: Double = 2.0,
    val paceTime: Duration = 100.milliseconds,
) {
    /** Longest time for which orders sent to an earlier worker incarnation can keep a run active on a later one. */
    internal val lateOrderLifetime: Duration
        get() = orderDelay + maxLease * (1 + 2 * clockSlowness)
}
