package org.auburnstream.daemon.replication

import org.auburnstream.consensus.LogEntry

/** Decides when to take a snapshot, from the number and size of the entries applied since the last one. */
internal class SnapshotTrigger(private val configuration: GroupConfiguration) {
    private var entries = 0L
    private var bytes = 0L
    private var inProgress = false

    val isDue: Boolean
        get() = !inProgress && (entries >= configuration.snapshotEntries || bytes >= configuration.snapshotBytes)

    fun onApplied(entry: LogEntry) {
        entries += 1
        bytes += entry.approximateBytes
    }

    fun onStarted() {
        inProgress = true
        entries = 0
        bytes = 0
    }

    fun onSaved() {
        inProgress = false
    }
}
