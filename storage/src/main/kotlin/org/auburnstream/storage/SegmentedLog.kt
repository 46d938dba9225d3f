package org.auburnstream.storage

import kotlinx.serialization.Serializable
import org.auburnstream.consensus.LogEntry
import org.auburnstream.model.LogIndex

/**
 * Log in segment files that are only ever appended to.
 *
 * One frame holds what one sync made durable, so only the last frame of the last segment can be torn. An entry
 * replaces all earlier ones from its index on, so that a truncation is durable together with what follows it.
 */
internal class SegmentedLog private constructor(
    private val folder: DataFolder,
    private val segmentBytes: Long,
    private val closed: ArrayDeque<Segment>,
    private var active: Segment,
) {
    private var file: AppendFile = folder.append(active.name)

    /** Number of the segment that is written to. */
    val activeNumber: Long
        get() = active.number

    /** Number of the oldest segment that entries after [index] need. */
    fun firstNeeded(index: LogIndex): Long = closed.firstOrNull { it.lastIndex > index }?.number ?: active.number

    /** Appends [entries] as one frame and syncs it. */
    fun append(entries: List<LogEntry>) {
        if (active.bytes >= segmentBytes) roll()
        val frame = Frames.encode(StorageCodec.encode(StoredBatch.serializer(), StoredBatch(entries)))
        file.write(frame)
        syncFile(active.name, file)
        active.bytes += frame.size
        active.lastIndex = maxOf(active.lastIndex, entries.maxOf { it.index })
    }

    /** Continues in a new segment. */
    fun roll() {
        file.close()
        closed.addLast(active)
        active = Segment(active.number + 1)
        file = folder.append(active.name)
        folder.sync()
    }

    /** Deletes the segments before [number]. */
    fun deleteBefore(number: Long) {
        while (closed.isNotEmpty() && closed.first().number < number) folder.delete(closed.removeFirst().name)
    }

    fun close() {
        file.close()
    }

    internal companion object {
        private const val PREFIX = "log-"
        private const val NUMBER_DIGITS = 10

        fun isSegment(name: String): Boolean = name.startsWith(PREFIX)

        private fun nameOf(number: Long) = PREFIX + number.toString().padStart(NUMBER_DIGITS, '0')

        /**
         * Opens the segments from [first] on and passes their entries in order to [replay].
         *
         * @throws StorageException if a segment is damaged or missing.
         */
        fun open(
            folder: DataFolder,
            first: Long,
            segmentBytes: Long,
            replay: (file: String, entry: LogEntry) -> Unit,
        ): SegmentedLog {
            val numbers = folder.list().filter(::isSegment).map { it.removePrefix(PREFIX).toLong() }.sorted()
            numbers.filter { it < first }.forEach { folder.delete(nameOf(it)) }
            val kept = numbers.filter { it >= first }
            kept.forEachIndexed { i, number ->
                if (number != first + i) throw StorageException(StorageError.MissingFile(nameOf(first + i)))
            }
            val segments = kept.map { load(folder, it, isLast = it == kept.last(), replay) }
            val active = segments.lastOrNull() ?: Segment(first)
            val log = SegmentedLog(folder, segmentBytes, ArrayDeque(segments.dropLast(1)), active)
            if (segments.isEmpty()) folder.sync()
            return log
        }

        private fun load(
            folder: DataFolder,
            number: Long,
            isLast: Boolean,
            replay: (file: String, entry: LogEntry) -> Unit,
        ): Segment {
            val segment = Segment(number)
            val bytes = folder.read(segment.name)
            var offset = 0
            while (true) {
                val frame = Frames.decode(bytes, offset)
                if (frame !is Frame.Whole) {
                    endSegment(folder, segment.name, offset, frame, isLast)
                    break
                }
                val batch = StorageCodec.decode(StoredBatch.serializer(), frame.payload, segment.name, offset)
                batch.entries.forEach { replay(segment.name, it) }
                segment.lastIndex = maxOf(segment.lastIndex, batch.entries.maxOf { it.index })
                offset = frame.next
            }
            segment.bytes = offset.toLong()
            return segment
        }

        /** Cuts a torn frame from the end of the log; anything else that is not whole is refused. */
        private fun endSegment(folder: DataFolder, name: String, offset: Int, frame: Frame, isLast: Boolean) {
            val damage = when {
                frame is Frame.Damaged -> frame.detail
                frame is Frame.Torn && !isLast -> "a frame ends early before a later segment"
                else -> null
            }
            if (damage != null) throw StorageException(StorageError.Corrupt(name, offset.toLong(), damage))
            if (frame !is Frame.Torn) return
            folder.append(name).use {
                it.truncate(offset.toLong())
                syncFile(name, it)
            }
        }
    }

    /** Segment file with the [lastIndex] of any entry in it. */
    internal class Segment(val number: Long) {
        var bytes: Long = 0
        var lastIndex: LogIndex = LogIndex(0)

        val name: String
            get() = nameOf(number)
    }
}

/** Entries that one sync made durable. */
@Serializable
internal class StoredBatch(val entries: List<LogEntry>)
