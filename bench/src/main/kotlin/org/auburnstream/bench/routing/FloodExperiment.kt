package org.auburnstream.bench.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a service gets while one floods, by policy.
 *
 * @property policy `routing`, the same with static shares of slots or with a daemon that dies in the burst, and the
 * baselines `fifo` and `static-limits`.
 * @property burstUse load in the burst as a share of what the pool can do.
 * @property flood urgency of the flood.
 * @property flooded number of the service that floods, 1 to 5.
 * @property floodedShareOfPool useful run time of the flooded service as a share of what its pool can do.
 * @property othersKeptShare least share of its offered requests that another service got answered.
 * @property urgentStartMaxSeconds longest wait of an urgent request of the flooded service until it started.
 */
public data class FloodRow(
    val policy: String,
    val burstUse: Double,
    val burstSeconds: Double,
    val deadlineSeconds: Double,
    val flood: String,
    val flooded: Int,
    val floodedShareOfPool: Double,
    val floodedOffered: Int,
    val floodedAnswered: Int,
    val floodedLost: Int,
    val othersKeptShare: Double,
    val urgentStartMaxSeconds: Double,
)

/** Each service in turn asks five times its mean for some seconds while the others ask their mean. */
public object FloodExperiment {
    private val loads =
        listOf(
            FloodLoad(),
            FloodLoad(meanUse = 0.4, burstLength = 10.seconds, deadline = 2.seconds),
        )
    private val policies = listOf("routing", "routing-daemon-dies", "routing-static-shares", "fifo", "static-limits")

    /** Runs every policy against the same arrivals; virtual time. */
    public fun run(seed: Long): List<FloodRow> = loads.flatMap { load ->
        policies.flatMap { policy ->
            listOf(Urgency.BATCH, Urgency.URGENT).flatMap { flood ->
                load.workers.indices.map { measure(load, policy, flood, it, seed) }
            }
        }
    }

    private fun measure(load: FloodLoad, policy: String, flood: Urgency, flooded: Int, seed: Long): FloodRow {
        val time = VirtualTime()
        val run = FloodRun(load, time, flood, flooded, Random(seed), policy(policy, load, time, seed))
        return run.measure(policy)
    }

    private fun policy(name: String, load: FloodLoad, time: VirtualTime, seed: Long): FloodPolicy = when (name) {
        "fifo" -> SharedFifo(load, time)
        "static-limits" -> StaticLimits(load, time)
        "routing-daemon-dies" -> Routers(load, time, Random(seed), leasing = true, deathAt = FloodRun.WARM_UP)
        else -> Routers(load, time, Random(seed), leasing = name == "routing")
    }
}

/** One run: a warm-up at the mean, a burst of one service, and its end. */
private class FloodRun(
    private val load: FloodLoad,
    private val time: VirtualTime,
    private val flood: Urgency,
    private val flooded: Int,
    private val random: Random,
    private val policy: FloodPolicy,
) {
    private val results = load.workers.map { FloodResult() }
    private val begin = MonotonicTime.Zero + WARM_UP
    private val end = begin + load.burstLength

    fun measure(name: String): FloodRow {
        load.workers.indices.forEach { arrivals(it) }
        time.runUntil(end + load.deadline * 2)
        val own = results[flooded]
        val others = results.filterIndexed { index, _ -> index != flooded }
        val poolTime = load.burstLength * (load.workers[flooded] * load.slots)
        return FloodRow(
            policy = name,
            burstUse = load.meanUse * load.burst,
            burstSeconds = load.burstLength / 1.seconds,
            deadlineSeconds = load.deadline / 1.seconds,
            flood = flood.name.lowercase(),
            flooded = flooded + 1,
            floodedShareOfPool = own.usefulTime / poolTime,
            floodedOffered = own.offered,
            floodedAnswered = own.answered,
            floodedLost = own.lost,
            othersKeptShare = others.minOf { it.answered.toDouble() / it.offered },
            urgentStartMaxSeconds = (own.urgentStarts.maxOrNull() ?: Duration.ZERO) / 1.seconds,
        )
    }

    private fun arrivals(service: Int) {
        time.after(load.pause(random, rate(service))) {
            if (time.now < end) {
                arrive(service)
                arrivals(service)
            }
        }
    }

    private fun rate(service: Int): Double {
        val mean = load.capacity(service) * load.meanUse
        return if (service == flooded && time.now >= begin) mean * load.burst else mean
    }

    private fun arrive(service: Int) {
        val floods = service == flooded && random.nextInt(ONE_IN) != 0
        val ordinary = if (random.nextInt(ONE_IN) == 0) Urgency.URGENT else Urgency.NORMAL
        val request =
            FloodRequest(
                service = service,
                urgency = if (floods) flood else ordinary,
                team = TeamId(if (floods) "flooding" else "team-${random.nextInt(TEAMS)}"),
                runTime = load.runTime(random),
                daemon = random.nextInt(load.daemons),
            )
        val arrived = time.now
        val result = results[service].takeIf { arrived >= begin } ?: FloodResult()
        result.offered++
        var started = arrived
        policy.arrive(
            request,
            onStart = {
                started = time.now
                if (request.urgency == Urgency.URGENT && !floods) result.urgentStarts += started - arrived
            },
            onEnd = { count(request, result, started, it) },
        )
    }

    /** Only the part of a run inside the burst counts as use of the pool in the burst. */
    private fun count(request: FloodRequest, result: FloodResult, started: MonotonicTime, how: FloodEnd) {
        when (how) {
            FloodEnd.REFUSED -> result.refused++
            FloodEnd.LOST -> result.lost++
            FloodEnd.ANSWERED -> {
                result.answered++
                val inBurst = minOf(started + request.runTime, end) - minOf(started, end)
                result.usefulTime += inBurst
            }
        }
    }

    companion object {
        val WARM_UP = 8.seconds
        private const val ONE_IN = 10
        private const val TEAMS = 4
    }
}
