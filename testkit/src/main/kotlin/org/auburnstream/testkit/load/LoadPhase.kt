package org.auburnstream.testkit.load

import org.HdrHistogram.Histogram
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.TimeSource

/** Latencies and counts of one phase; latencies are in nanoseconds. */
public class LoadResult(
    public val latencies: Histogram,
    public val answered: Long,
    public val failed: Long,
    public val elapsed: Duration,
) {
    /** Answered requests for each second. */
    public val rate: Double
        get() = answered / (elapsed.inWholeNanoseconds / NANOSECONDS_PER_SECOND)

    /** Latency that [percent] of the answered requests did not exceed. */
    public fun percentile(percent: Double): Duration = latencies.getValueAtPercentile(percent).nanoseconds
}

/**
 * Sends requests over [connections] connections, the next one of a connection as soon as the last is answered.
 *
 * A request counts as answered if its status is 200; a connection that fails is opened again.
 *
 * @property duration time after which no request is sent.
 * @property requestsPerConnection number of requests after which a connection sends no more.
 */
public class LoadPhase(
    private val target: LoadTarget,
    private val connections: Int,
    private val duration: Duration,
    private val requestsPerConnection: Long = Long.MAX_VALUE,
) {
    /** Runs the phase to its end on a thread for each connection. */
    public fun run(): LoadResult {
        val pool = Executors.newFixedThreadPool(connections)
        try {
            val start = TimeSource.Monotonic.markNow()
            val workers = List(connections) { LoadWorker(target, start + duration, requestsPerConnection) }
            pool.invokeAll(workers).forEach { it.get() }
            return resultOf(workers, start.elapsedNow())
        } finally {
            pool.shutdownNow()
        }
    }

    private fun resultOf(workers: List<LoadWorker>, elapsed: Duration): LoadResult {
        val latencies = newHistogram()
        workers.forEach { latencies.add(it.latencies) }
        return LoadResult(
            latencies = latencies,
            answered = latencies.totalCount,
            failed = workers.sumOf { it.failed },
            elapsed = elapsed,
        )
    }
}

private const val HIGHEST_NANOSECONDS = 60_000_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val NANOSECONDS_PER_SECOND = 1e9
private const val STATUS_OK = 200
private const val MAX_CONNECTION_FAILURES = 100

private fun newHistogram(): Histogram = Histogram(HIGHEST_NANOSECONDS, SIGNIFICANT_DIGITS)

private class LoadWorker(
    private val target: LoadTarget,
    private val end: TimeSource.Monotonic.ValueTimeMark,
    private val requests: Long,
) : Callable<Unit> {
    val latencies = newHistogram()
    var failed = 0L
    private var connectionFailures = 0

    private val isDone: Boolean
        get() = end.hasPassedNow() || latencies.totalCount + failed >= requests

    override fun call() {
        while (!isDone && connectionFailures < MAX_CONNECTION_FAILURES) {
            try {
                LoadConnection(target).use { exchangeAll(it) }
            } catch (_: IOException) {
                failed++
                connectionFailures++
            }
        }
    }

    private fun exchangeAll(connection: LoadConnection) {
        while (!isDone) {
            val sent = TimeSource.Monotonic.markNow()
            val status = connection.exchange()
            if (status == STATUS_OK) {
                latencies.recordValue(sent.elapsedNow().inWholeNanoseconds.coerceAtMost(HIGHEST_NANOSECONDS))
            } else {
                failed++
            }
        }
    }
}
