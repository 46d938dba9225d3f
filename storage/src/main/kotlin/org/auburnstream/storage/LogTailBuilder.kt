package org.auburnstream.storage

import org.auburnstream.consensus.LogEntry
import org.auburnstream.model.LogIndex

/**
 * Builds the log after the snapshot at [snapshotIndex] from the stored entries.
 *
 * The entries are added in the order in which they were written.
 */
internal class LogTailBuilder(snapshotIndex: LogIndex?) {
    private val firstIndex = (snapshotIndex ?: LogIndex(0)) + 1
    private val mutableEntries = ArrayList<LogEntry>()

    val entries: List<LogEntry>
        get() = mutableEntries

    /**
     * Adds [entry] from [file] and removes all earlier entries with the same or a higher index.
     *
     * @throws StorageException if entries are missing before [entry].
     */
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
