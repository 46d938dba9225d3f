package org.auburnstream.bench.routing

import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Deployment and load of the flood experiment.
 *
 * @property workers targets of each service.
 * @property meanUse mean load of a service as a share of what its pool can do.
 * @property burst load in a burst as a multiple of the mean, followed by a twentieth of the mean.
 * @property deadline time that a caller gives its request.
 */
internal data class FloodLoad(
    val workers: List<Int> = DefaultWorkers,
    val daemons: Int = 6,
    val slots: Int = 8,
    val runTime: Duration = 200.milliseconds,
    val meanUse: Double = 0.3,
    val burst: Double = 5.0,
    val quiet: Double = 0.05,
    val burstLength: Duration = 6.seconds,
    val deadline: Duration = 4.seconds,
) {
    val services: List<ServiceId> = workers.indices.map { ServiceId("service-${it + 1}") }

    /** Requests per second that the pool of service [index] can do. */
    fun capacity(index: Int): Double = workers[index] * slots / (runTime / 1.seconds)

    /** Run time of one request: exponential around the mean, bounded so that declared times would be far off. */
    fun runTime(random: Random): Duration = exponential(random, runTime).coerceIn(10.milliseconds, runTime * MOST)

    /** Time to the next arrival at [rate] requests per second. */
    fun pause(random: Random, rate: Double): Duration = exponential(random, 1.seconds / rate)

    private fun exponential(random: Random, mean: Duration): Duration =
        mean * -kotlin.math.ln(1.0 - random.nextDouble())

    private companion object {
        const val MOST = 5
    }
}

/** One arrival of the load; equal for every policy that is compared. */
internal class FloodRequest(
    val service: Int,
    val urgency: Urgency,
    val team: TeamId,
    val runTime: Duration,
    val daemon: Int,
)

/** What the callers of one service got in the measured time. */
internal class FloodResult {
    var offered: Int = 0
    var answered: Int = 0
    var refused: Int = 0
    var lost: Int = 0

    /** Run time of the answered requests, which is the use that was made of the pool. */
    var usefulTime: Duration = Duration.ZERO
    val urgentStarts: MutableList<Duration> = mutableListOf()
}

private val DefaultWorkers = listOf(6, 6, 8, 9, 6)
