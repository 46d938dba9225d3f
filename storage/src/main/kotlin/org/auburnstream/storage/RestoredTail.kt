package org.auburnstream.storage

import org.auburnstream.consensus.LogEntry
import org.auburnstream.model.LogIndex

/** Entries after the snapshot at [base], gathered from the segments in the order in which they were written. */
internal class RestoredTail(base: LogIndex?) {
    private val first = (base ?: LogIndex(0)) + 1
    private val tail = ArrayList<LogEntry>()

    val entries: List<LogEntry>
        get() = tail

    /** Adds [entry] of [file], which replaces everything from its index on. */
    fun add(file: String, entry: LogEntry) {
        while (tail.isNotEmpty() && tail.last().index >= entry.index) tail.removeLast()
        if (entry.index < first) return
        val expected = tail.lastOrNull()?.let { it.index + 1 } ?: first
        if (entry.index != expected) {
            throw StorageException(StorageError.MissingEntries(file, expected, entry.index))
        }
        tail.add(entry)
    }
}
