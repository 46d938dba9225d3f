package org.auburnstream.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times and bounds of a [Coordinator].
 *
 * The defaults of times without another reason are those of a group whose members are a millisecond apart.
 *
 * @property maxLease longest lease that a worker grants.
 * @property clockSlowness share by which a worker's clock may be slow.
 * @property reportInterval time between two reports of a worker.
 * @property stopTime longest time from the order to stop a run to its end.
 * @property earlyStart time by which an occurrence may start before it is due; half of it is used.
 * @property predecessorOrderTime time for which another leader's orders for a VM may still arrive.
 * @property maxClockSkew most by which the clocks of two leaders differ.
 * @property predecessorTime time after which nothing that an earlier leader granted is in force any more: its
 *   election timeout, the longest lease on a slow clock and a margin.
 * @property lookWait time that a worker holds a look back while nothing ends.
 * @property servingLookWait the same for a worker whose tasks' progress, or the tails of whose serving tasks, matter.
 * @property orderTimeout time after which an order without an answer is uncertain.
 * @property orderDelay time after which an order without an answer is certainly not carried out any more.
 * @property retryInterval time between two tries of an order or look that was not answered.
 * @property unavailabilityGrace time for which a lasting task may be away before it counts as unavailable.
 * @property upkeepTime time that the maintenance of a VM takes.
 * @property maxWaitingJobs bound of the accepted jobs of one queue that have not started.
 * @property remoteDataFactor factor by which a task takes longer away from its data.
 * @property paceTime time from an order to pace a run until it is in force.
 */
public data class SchedulingSettings(
    val maxLease: Duration = 6.seconds,
    val clockSlowness: Double = 0.02,
    val reportInterval: Duration = 1500.milliseconds,
    val stopTime: Duration = 900.milliseconds,
    val earlyStart: Duration = 250.milliseconds,
    val predecessorOrderTime: Duration = 3.seconds,
    val maxClockSkew: Duration = 5.seconds,
    val predecessorTime: Duration = maxLease * (1 + 2 * clockSlowness) + 3500.milliseconds,
    val lookWait: Duration = 2.seconds,
    val servingLookWait: Duration = 1.seconds,
    val orderTimeout: Duration = 1.seconds,
    val orderDelay: Duration = 12.seconds,
    val retryInterval: Duration = 300.milliseconds,
    val unavailabilityGrace: Duration = 4500.milliseconds,
    val upkeepTime: Duration = 2.seconds,
    val maxWaitingJobs: Int = 2_000,
    val remoteDataFactor: Double = 2.0,
    val paceTime: Duration = 100.milliseconds,
) {
    /** Time after which nothing that was ordered for an earlier life of a worker keeps a run at work at a later one. */
    internal val lateOrderLifetime: Duration
        get() = orderDelay + maxLease * (1 + 2 * clockSlowness)
}
