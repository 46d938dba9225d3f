package org.auburnstream.bench.consensus

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.ConcurrentHistogram
import org.auburnstream.bench.Table
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import java.nio.file.Files
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Measures proposals on the machine's disk, by the number of callers that propose at the same time. */
public object ProposalLoad {
    /** Loads a group of three voters; every entry is synced by a quorum before it is answered. */
    public fun run(seed: Long): List<Table> = listOf(table(CALLERS.map { measure(seed, it) }))

    private fun measure(seed: Long, callers: Int): ProposalLoadRow = runBlocking(Dispatchers.Default) {
        val folder = Files.createTempDirectory("auburnstream-bench")
        val life = Job()
        val group = LoopbackGroup(CoroutineScope(coroutineContext + life), folder, seed, VOTERS)
        try {
            group.start()
            val leader = group.awaitLeader()
            load(leader, callers, WARM_UP)
            val histogram = load(leader, callers, PERIOD)
            ProposalLoadRow(
                callers = callers,
                perSecond = histogram.totalCount / PERIOD.inWholeSeconds.toDouble(),
                p50Milliseconds = histogram.milliseconds(MEDIAN),
                p99Milliseconds = histogram.milliseconds(HIGH_PERCENTILE),
            )
        } finally {
            group.stop()
            life.cancel()
            folder.toFile().deleteRecursively()
        }
    }

    private suspend fun load(group: ReplicatedGroupRunner, callers: Int, period: Duration): ConcurrentHistogram {
        val histogram = ConcurrentHistogram(SIGNIFICANT_DIGITS)
        val end = System.nanoTime() + period.inWholeNanoseconds
        val jobs = List(callers) {
            CoroutineScope(Dispatchers.Default).launch {
                while (System.nanoTime() < end) {
                    val began = System.nanoTime()
                    val result = group.propose(ByteArray(COMMAND_BYTES), TIMEOUT)
                    check(result is ProposeResult.Committed) { "proposal ended with $result" }
                    histogram.recordValue(System.nanoTime() - began)
                }
            }
        }
        jobs.forEach { it.join() }
        return histogram
    }

    private fun ConcurrentHistogram.milliseconds(percentile: Double): Double =
        getValueAtPercentile(percentile) / TimeUnit.MILLISECONDS.toNanos(1).toDouble()

    private fun table(rows: List<ProposalLoadRow>) = Table(
        name = "consensus-proposals",
        columns = listOf("callers", "proposals/s", "p50 ms", "p99 ms"),
        rows = rows.map { listOf(it.callers, it.perSecond, it.p50Milliseconds, it.p99Milliseconds) },
    )

    private const val VOTERS = 3
    private const val COMMAND_BYTES = 200
    private const val SIGNIFICANT_DIGITS = 3
    private const val MEDIAN = 50.0
    private const val HIGH_PERCENTILE = 99.0
    private val CALLERS = listOf(1, 4, 16, 64, 256)
    private val WARM_UP = 1.seconds
    private val PERIOD = 3.seconds
    private val TIMEOUT = 10.seconds
}

/** Rate and latency with [callers] proposals in progress. */
public data class ProposalLoadRow(
    val callers: Int,
    val perSecond: Double,
    val p50Milliseconds: Double,
    val p99Milliseconds: Double,
)
