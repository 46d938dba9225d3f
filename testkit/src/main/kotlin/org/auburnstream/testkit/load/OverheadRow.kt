package org.auburnstream.testkit.load

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Figures of one phase of an overhead measurement.
 *
 * @property way `direct` or `through`.
 * @property target processor time that the target spent for each request.
 * @property daemon processor time that the daemon spent for each request, zero for the direct way.
 * @property daemonLiveHeapBytes the daemon's heap after its last collection.
 */
public data class OverheadRow(
    val way: String,
    val connections: Int,
    val result: LoadResult,
    val target: Duration,
    val daemon: Duration,
    val daemonLiveHeapBytes: Long,
    val daemonResidentBytes: Long,
) {
    /** Requests that a core can carry on the busiest process of this way. */
    public val ratePerCore: Double
        get() = 1 / maxOf(target, daemon).toDouble(DurationUnit.SECONDS)

    /** This row as comma-separated values in the order of [HEADER]. */
    public fun toCsv(): String = listOf(
        way,
        connections,
        result.answered,
        result.failed,
        result.rate.toLong(),
        result.percentile(P50).microseconds(),
        result.percentile(P99).microseconds(),
        result.percentile(P999).microseconds(),
        target.microseconds(),
        daemon.microseconds(),
        ratePerCore.toLong(),
        daemonLiveHeapBytes / BYTES_PER_KIBIBYTE,
        daemonResidentBytes / BYTES_PER_KIBIBYTE,
    ).joinToString(",")

    public companion object {
        /** Names of the values of [toCsv]. */
        public const val HEADER: String =
            "way,connections,answered,failed,requests_per_s,p50_us,p99_us,p99.9_us," +
                "target_cpu_us_per_request,daemon_cpu_us_per_request,requests_per_core_s," +
                "daemon_live_heap_kib,daemon_rss_kib"

        private const val P50 = 50.0
        private const val P99 = 99.0
        private const val P999 = 99.9
        private const val BYTES_PER_KIBIBYTE = 1024
    }
}

private fun Duration.microseconds(): String = "%.1f".format(toDouble(DurationUnit.MICROSECONDS))
