package org.auburnstream.bench.capacity

import org.auburnstream.testkit.load.ProcessUsage
import org.auburnstream.testkit.process.DaemonProcess
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Readings of one daemon's counters at one moment.
 *
 * @property messages messages sent and received on the links between daemons.
 * @property bytes bytes of their frames.
 */
internal data class DaemonSample(val usage: ProcessUsage, val messages: Double, val bytes: Double) {
    /** Returns the rates between [earlier] and this sample, taken [elapsed] apart. */
    fun since(earlier: DaemonSample, elapsed: Duration): DaemonRates {
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        return DaemonRates(
            processorPercent = (usage.processorTime - earlier.usage.processorTime) / elapsed * PERCENT,
            messagesPerSecond = (messages - earlier.messages) / seconds,
            bytesPerSecond = (bytes - earlier.bytes) / seconds,
        )
    }

    companion object {
        private const val PERCENT = 100.0

        /** Reads the counters of [daemon]. */
        suspend fun of(daemon: DaemonProcess): DaemonSample = DaemonSample(
            usage = ProcessUsage.read(daemon.child.pid),
            messages = daemon.metric("auburnstream_peer_messages_total") ?: 0.0,
            bytes = daemon.metric("auburnstream_peer_bytes_total") ?: 0.0,
        )
    }
}

/**
 * Cost of one daemon over a time.
 *
 * @property processorPercent share of one core.
 * @property messagesPerSecond messages sent and received between daemons.
 * @property bytesPerSecond bytes sent and received between daemons.
 */
internal data class DaemonRates(
    val processorPercent: Double,
    val messagesPerSecond: Double,
    val bytesPerSecond: Double,
)

/** Makes [daemon] collect its garbage and returns the bytes of heap that stay in use. */
internal suspend fun liveHeapBytes(daemon: DaemonProcess): Double {
    val jcmd = ProcessBuilder("jcmd", daemon.child.pid.toString(), "GC.run").redirectErrorStream(true).start()
    jcmd.inputStream.readAllBytes()
    check(jcmd.waitFor(JCMD_SECONDS, TimeUnit.SECONDS)) { "jcmd did not end for ${daemon.id}" }
    return daemon.metric("jvm_heap_live_bytes") ?: 0.0
}

private const val JCMD_SECONDS = 30L
