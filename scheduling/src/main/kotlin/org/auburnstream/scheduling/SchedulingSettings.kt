package org.auburnstream.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits and other limits of a [Coordinator].
 *
 * Unless a property gives another reason, the default times suit a group whose members are a millisecond apart.
 *
 * @property maxLease longest lease that a worker grants. Leaders ask for [lease] only, but an order for an earlier
 *   incarnation that is carried out late may get all of it, as the clock of the worker has begun anew.
 * @property maxDownTime time from the loss of a worker until its lasting tasks have to run elsewhere, also when the
 *   leader is lost with it.
 * @property lease length of the leases that are granted, at most [maxLease]. It holds for every run of a worker and
 *   never shortens, so what a lasting task can bear ([maxDownTime]) limits it for all. It covers several renewals, each
 *   up to [lookWait] after the other, and an election of the control group.
 * @property clockSlowness fraction by which a worker's clock may run slow.
 * @property reportInterval time between two reports of a worker.
 * @property stopTime longest time from the order to stop a run to the end of the run.
 * @property earlyStart time by which an occurrence may start before it is due; the scheduler uses half of it.
 * @property searchDelay silence of a worker from which on room for its lasting tasks is sought elsewhere.
 * @property moveTime time from the order of a move until the VM accepts tasks, including its report and first status
 *   query.
 * @property predecessorOrderTime time for which orders of an earlier leader for a VM may still arrive.
 * @property maxClockSkew maximum difference between the clocks of two leaders.
 * @property electionTime longest time from the loss of a leader until the next one leads, if no vote is repeated.
 * @property predecessorTime time from the start of a leadership until every lease that an earlier leader granted has
 *   expired: a lease on a slow clock and a margin. A leader grants leases only while a quorum has confirmed
 *   it within the shortest election timeout, so none is granted after the next leader is elected.
 * @property lookWait time for which a worker delays the answer to a status query while no run ends. Each answer renews
 *   the lease, so a worker that falls silent keeps its runs for [lease] less this time.
 * @property servingLookWait the same as [lookWait] for a worker whose tasks' progress or tail latencies are needed more
 *   often.
 * @property orderTimeout longest time after which the outcome of an unanswered order counts as unknown.
 * @property shortestOrderTimeout shortest such time, for workers that answer fast; the default is longer than the
 *   retransmission of one lost packet.
 * @property orderDelay time after which an unanswered order is certainly not executed any more.
 * @property retryInterval time between two attempts of an unanswered order or status query.
 * @property probation time for which a worker gets no further task after the start of one that may crash its workers.
 * @property unavailabilityGrace time for which a lasting task may be down before it counts as unavailable.
 * @property upkeepTime duration of the maintenance of a VM.
 * @property maxWaitingJobs maximum number of accepted jobs of one queue that have not started.
 * @property maxStoredBytes maximum estimated size of the state of all jobs; further ones are refused meanwhile.
 * @property maxBatchBytes maximum size of the records that are committed together, and of each.
 * @property remoteDataFactor factor by which a task takes longer on another rack than its data.
 * @property paceTime time from the order to change the processor share of a run until the share is in force.
 */
public data class SchedulingSettings(
    val maxLease: Duration = 6.seconds,
    val maxDownTime: Duration = 9.seconds,
    val lease: Duration = minOf(maxLease, 6.seconds),
    val clockSlowness: Double = 0.02,
    val reportInterval: Duration = 1500.milliseconds,
    val stopTime: Duration = 900.milliseconds,
    val earlyStart: Duration = 250.milliseconds,
    val searchDelay: Duration = 2.seconds,
    val moveTime: Duration = 2.seconds,
    val predecessorOrderTime: Duration = 3.seconds,
    val maxClockSkew: Duration = 5.seconds,
    val electionTime: Duration = 1_300.milliseconds,
    val predecessorTime: Duration = lease * (1 + 2 * clockSlowness) + 500.milliseconds,
    val lookWait: Duration = 1.seconds,
    val servingLookWait: Duration = 1.seconds,
    val orderTimeout: Duration = 1.seconds,
    val shortestOrderTimeout: Duration = 250.milliseconds,
    val orderDelay: Duration = 12.seconds,
    val retryInterval: Duration = 300.milliseconds,
    val probation: Duration = 300.milliseconds,
    val unavailabilityGrace: Duration = 4500.milliseconds,
    val upkeepTime: Duration = 2.seconds,
    val maxWaitingJobs: Int = 2_000,
    val maxStoredBytes: Long = DEFAULT_STORED_BYTES,
    val maxBatchBytes: Int = DEFAULT_BATCH_BYTES,
    val remoteDataFactor: Double = 2.0,
    val paceTime: Duration = 100.milliseconds,
) {
    /** Longest time until a lease that a worker grants has expired. */
    internal val longestLease: Duration
        get() = maxLease * (1 + 2 * clockSlowness)

    /** Longest time for which orders sent to an earlier worker incarnation can keep a run active on a later one. */
    internal val lateOrderLifetime: Duration
        get() = orderDelay + longestLease

    /** Time after which a lease granted by a late order is over before one that is granted now. */
    internal val lateLeaseExcess: Duration
        get() = (maxLease - lease) * (1 + 2 * clockSlowness)

    init {
        require(lease <= maxLease) { "lease is $lease; grant at most maxLease, $maxLease, as workers shorten it" }
        require(predecessorTime > lease * (1 + 2 * clockSlowness)) {
            "predecessorTime is $predecessorTime; a lease, $lease, takes longer on a slow clock"
        }
        // A loss beside an election waits longest: the next leader counts the whole lease from its own start.
        val wait = electionTime + predecessorTime + RESTART_TIME
        require(wait <= maxDownTime) {
            "a lost lasting task may start after $wait, later than maxDownTime, $maxDownTime; shorten lease, $lease"
        }
        // A move for the task runs while the lease does, and begins later if a new leader holds back its orders.
        val move = electionTime + maxOf(searchDelay, predecessorOrderTime) + moveTime + RESTART_TIME
        require(move <= maxDownTime) {
            "a VM for a lost lasting task may come after $move, later than maxDownTime, $maxDownTime; shorten " +
                "searchDelay, $searchDelay"
        }
    }

    private companion object {
        /** Time from the end of the last lease until the task runs elsewhere: a tick, two commits and an order. */
        val RESTART_TIME = 500.milliseconds
        const val DEFAULT_STORED_BYTES = 8L * 1024 * 1024
        const val DEFAULT_BATCH_BYTES = 1024 * 1024
    }
}
