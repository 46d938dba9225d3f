package org.auburnstream.testkit.load

import org.auburnstream.testkit.process.DaemonProcess
import kotlin.time.Duration

/** Runs phases of load and reads what target and daemon spent on them. */
internal class OverheadPhases(
    private val targetPid: Long,
    private val daemon: DaemonProcess,
    private val duration: Duration,
) {
    suspend fun run(way: String, load: LoadTarget, connections: Int): OverheadRow {
        val targetBefore = ProcessUsage.read(targetPid)
        val daemonBefore = ProcessUsage.read(daemon.child.pid)
        val result = LoadPhase(load, connections, duration).run()
        val targetAfter = ProcessUsage.read(targetPid)
        val daemonAfter = ProcessUsage.read(daemon.child.pid)
        val requests = result.answered.coerceAtLeast(1).toDouble()
        return OverheadRow(
            way = way,
            connections = connections,
            result = result,
            target = (targetAfter.processorTime - targetBefore.processorTime) / requests,
            daemon = (daemonAfter.processorTime - daemonBefore.processorTime) / requests,
            daemonLiveHeapBytes = daemon.metric("jvm_heap_live_bytes")?.toLong() ?: 0,
            daemonResidentBytes = daemonAfter.residentBytes,
        )
    }
}
