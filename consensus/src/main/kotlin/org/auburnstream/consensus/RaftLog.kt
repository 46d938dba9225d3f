package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** In-memory log: the entries since the last compaction and the configurations that they record. */
internal class RaftLog(snapshot: SnapshotMetadata?, restored: List<LogEntry>) {
    private val entries = ArrayList<LogEntry>()
    private val configurations = ArrayDeque<RecordedConfiguration>()

    /** Index of the last entry removed by compaction or replaced by a snapshot. */
    var baseIndex: LogIndex = snapshot?.index ?: NoIndex
        private set

    var baseTerm: Long = snapshot?.term ?: 0
        private set

    val lastIndex: LogIndex
        get() = baseIndex + entries.size.toLong()

    val lastTerm: Long
        get() = entries.lastOrNull()?.term ?: baseTerm

    /** Latest configuration, committed or not. */
    val configuration: RecordedConfiguration
        get() = configurations.last()

    /** Configuration before the latest one, or the latest if the log holds only one. */
    val previousConfiguration: Configuration
        get() = configurations.getOrElse(configurations.size - 2) { configurations.last() }.configuration

    init {
        configurations.add(RecordedConfiguration(baseIndex, snapshot?.configuration ?: Configuration()))
        restored.filter { it.index > baseIndex }.forEach(::append)
    }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        entries.add(entry)
        if (entry.payload is EntryPayload.Membership) {
            configurations.add(RecordedConfiguration(entry.index, entry.payload.configuration))
        }
    }

    fun truncateFrom(index: LogIndex) {
        check(index > baseIndex) { "entry $index is already part of the snapshot at $baseIndex" }
        while (lastIndex >= index) entries.removeLast()
        while (configurations.size > 1 && configurations.last().index >= index) configurations.removeLast()
    }

    /** Returns the entry at [index], or null if it is not in the log. */
    fun entry(index: LogIndex): LogEntry? = entries.getOrNull(position(index))

    /** Returns the term of the entry at [index], or null if it is neither in the log nor at [baseIndex]. */
    fun termAt(index: LogIndex): Long? = if (index == baseIndex) baseTerm else entry(index)?.term

    /** Returns entries starting at [from], limited to [maxBytes] in total unless the first alone is larger. */
    fun batch(from: LogIndex, maxBytes: Int): List<LogEntry> {
        val batch = ArrayList<LogEntry>()
        var bytes = 0
        for (i in position(from) until entries.size) {
            bytes += entries[i].approximateBytes
            if (batch.isNotEmpty() && bytes > maxBytes) break
            batch.add(entries[i])
        }
        return batch
    }

    /** Returns the entries from [from] to [to], both inclusive. */
    fun range(from: LogIndex, to: LogIndex): List<LogEntry> = entries.subList(position(from), position(to) + 1).toList()

    /** Returns the first index in this log with the same term as the entry at [index]. */
    fun firstIndexOfTerm(index: LogIndex): LogIndex {
        val term = termAt(index)
        var first = index
        while (first - 1 > baseIndex && termAt(first - 1) == term) first -= 1
        return first
    }

    fun configurationAt(index: LogIndex): Configuration = configurations.last { it.index <= index }.configuration

    /** Removes the entries up to [snapshotIndex], except for the latest ones that fit in [retainedBytes] together. */
    fun compact(snapshotIndex: LogIndex, retainedBytes: Int) {
        if (snapshotIndex <= baseIndex) return
        var index = snapshotIndex
        var bytes = 0
        while (index > baseIndex) {
            bytes += checkNotNull(entry(index)) { "entry $index is not in the log up to $lastIndex" }.approximateBytes
            if (bytes > retainedBytes) break
            index -= 1
        }
        compactTo(index)
    }

    /** Removes all entries and continues after [snapshot]. */
    fun reset(snapshot: SnapshotMetadata) {
        entries.clear()
        configurations.clear()
        configurations.add(RecordedConfiguration(snapshot.index, snapshot.configuration))
        baseIndex = snapshot.index
        baseTerm = snapshot.term
    }

    private fun compactTo(index: LogIndex) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "entry $index is not in the log up to $lastIndex" }
        entries.subList(0, position(index) + 1).clear()
        while (configurations.size > 1 && configurations[1].index <= index) configurations.removeFirst()
        baseIndex = index
        baseTerm = term
    }

    private fun position(index: LogIndex): Int = (index.value - baseIndex.value - 1).toInt()
}

/** Configuration and the index of the entry that recorded it. */
internal data class RecordedConfiguration(val index: LogIndex, val configuration: Configuration)

/** Index before the first entry of a log. */
internal val NoIndex = LogIndex(0)
