package org.auburnstream.daemon.observability

import java.io.IOException
import java.lang.management.ManagementFactory
import java.lang.management.MemoryType
import java.nio.file.Files
import java.nio.file.Path

/** Registers metrics of the process: CPU time, memory and threads. */
internal fun registerProcessMetrics(metrics: DaemonMetrics) {
    with(DaemonMetricDefinitions) {
        metrics.counter(CpuSeconds) { cpuTimeNanoseconds() / NANOSECONDS_PER_SECOND }
        metrics.gauge(ResidentMemory) { residentBytes() }
        metrics.gauge(HeapUsed) { ManagementFactory.getMemoryMXBean().heapMemoryUsage.used }
        metrics.gauge(HeapLive) { liveHeapBytes() }
        metrics.gauge(Threads) { ManagementFactory.getThreadMXBean().threadCount }
    }
}

private const val NANOSECONDS_PER_SECOND = 1e9
private const val BYTES_PER_KIBIBYTE = 1024L

private val statusFile = Path.of("/proc/self/status")

private fun cpuTimeNanoseconds(): Long {
    val bean = ManagementFactory.getOperatingSystemMXBean()
    return (bean as? com.sun.management.OperatingSystemMXBean)?.processCpuTime ?: 0
}

private fun liveHeapBytes(): Long = ManagementFactory.getMemoryPoolMXBeans()
    .filter { it.type == MemoryType.HEAP }
    .sumOf { it.collectionUsage?.used ?: 0 }

/** Returns the resident memory that the kernel reports, or 0 if it is not available. */
private fun residentBytes(): Long = try {
    Files.readAllLines(statusFile)
        .firstOrNull { it.startsWith("VmRSS:") }
        ?.filter { it.isDigit() }
        ?.toLongOrNull()
        ?.times(BYTES_PER_KIBIBYTE)
        ?: 0
} catch (_: IOException) {
    0
}
