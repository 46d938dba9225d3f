package org.auburnstream.storage

import org.auburnstream.consensus.LogEntry
import org.auburnstream.model.LogIndex

/** Gathers the entries after the snapshot at [snapshotIndex] from the segments in the order of their writing. */
internal class LogTailBuilder(snapshotIndex: LogIndex?) {
    private val firstIndex = (snapshotIndex ?: LogIndex(0)) + 1
    private val mutableEntries = ArrayList<LogEntry>()

    val entries: List<LogEntry>
        get() = mutableEntries

    /** Adds [entry] of [file], which replaces everything from its index on. */
    fun add(file: String, entry: LogEntry) {
        while (mutableEntries.isNotEmpty() && mutableEntries.last().index >= entry.index) mutableEntries.removeLast()
        if (entry.index < firstIndex) return
        val expected = mutableEntries.lastOrNull()?.let { it.index + 1 } ?: firstIndex
        if (entry.index != expected) {
            throw StorageException(StorageError.MissingEntries(file, expected, entry.index))
        }
        mutableEntries.add(entry)
    }
}
