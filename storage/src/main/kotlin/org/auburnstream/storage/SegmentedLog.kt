package org.auburnstream.storage

import kotlinx.serialization.Serializable
import org.auburnstream.consensus.LogEntry
import org.auburnstream.model.LogIndex

/**
 * Replicated log that is stored in append-only segment files.
 *
 * Each frame contains the entries of one sync, so only the last frame of the last segment can be torn. An entry
 * replaces all earlier entries with the same or a higher index, so a truncation becomes durable together with the
 * entries that follow it.
 */
internal class SegmentedLog private constructor(
    private val folder: DataFolder,
    private val segmentBytes: Long,
    private val closedSegments: ArrayDeque<Segment>,
    private var activeSegment: Segment,
) {
    private var file: AppendFile = folder.openForAppend(activeSegment.name)

    /** Number of the segment to which entries are appended. */
    val activeNumber: Long
        get() = activeSegment.number

    /** Returns the number of the oldest segment that is needed to restore the entries after [index]. */
    fun firstSegmentNeededAfter(index: LogIndex): Long =
        closedSegments.firstOrNull { it.highestIndex > index }?.number ?: activeSegment.number

    /** Appends [entries] as one frame and syncs the file. */
    fun append(entries: List<LogEntry>) {
        if (activeSegment.sizeBytes >= segmentBytes) roll()
        val frame = FrameCodec.encode(StorageCodec.encode(StoredBatch.serializer(), StoredBatch(entries)))
        file.write(frame)
        syncFile(activeSegment.name, file)
        activeSegment.sizeBytes += frame.size
        activeSegment.highestIndex = maxOf(activeSegment.highestIndex, entries.maxOf { it.index })
    }

    /** Closes the active segment and starts a new one. */
    fun roll() {
        file.close()
        closedSegments.addLast(activeSegment)
        activeSegment = Segment(activeSegment.number + 1)
        file = folder.openForAppend(activeSegment.name)
        folder.sync()
    }

    /** Deletes the closed segments with a number below [number]. */
    fun deleteBefore(number: Long) {
        while (closedSegments.isNotEmpty() && closedSegments.first().number < number) {
            folder.delete(closedSegments.removeFirst().name)
        }
    }

    fun close() {
        file.close()
    }

    internal companion object {
        private const val PREFIX = "log-"
        private const val NUMBER_DIGITS = 10

        fun isSegmentName(name: String): Boolean = name.startsWith(PREFIX)

        private fun segmentName(number: Long) = PREFIX + number.toString().padStart(NUMBER_DIGITS, '0')

        /**
         * Opens the segments from [firstSegment] on, passes their entries in order to [replay] and deletes older
         * segments.
         *
         * @throws StorageException if a segment is corrupt or missing.
         */
        fun open(
            folder: DataFolder,
            firstSegment: Long,
            segmentBytes: Long,
            replay: (file: String, entry: LogEntry) -> Unit,
        ): SegmentedLog {
            val numbers = folder.list().filter(::isSegmentName).map { it.removePrefix(PREFIX).toLong() }.sorted()
            numbers.filter { it < firstSegment }.forEach { folder.delete(segmentName(it)) }
            val kept = numbers.filter { it >= firstSegment }
            kept.forEachIndexed { i, number ->
                val expected = firstSegment + i
                if (number != expected) throw StorageException(StorageError.MissingFile(segmentName(expected)))
            }
            val segments = kept.map { loadSegment(folder, it, isLast = it == kept.last(), replay) }
            val activeSegment = segments.lastOrNull() ?: Segment(firstSegment)
            val log = SegmentedLog(folder, segmentBytes, ArrayDeque(segments.dropLast(1)), activeSegment)
            if (segments.isEmpty()) folder.sync()
            return log
        }

        private fun loadSegment(
            folder: DataFolder,
            number: Long,
            isLast: Boolean,
            replay: (file: String, entry: LogEntry) -> Unit,
        ): Segment {
            val segment = Segment(number)
            val bytes = folder.read(segment.name)
            var offset = 0
            while (true) {
                val frame = FrameCodec.decode(bytes, offset)
                if (frame !is Frame.Complete) {
                    truncateTornFrame(folder, segment.name, offset, frame, isLast)
                    break
                }
                val batch = StorageCodec.decode(StoredBatch.serializer(), frame.payload, segment.name, offset)
                batch.entries.forEach { replay(segment.name, it) }
                segment.highestIndex = maxOf(segment.highestIndex, batch.entries.maxOf { it.index })
                offset = frame.nextOffset
            }
            segment.sizeBytes = offset.toLong()
            return segment
        }

        /**
         * Truncates a torn frame at the end of the log.
         *
         * @throws StorageException if the frame is corrupt, or torn in a segment that is not the last.
         */
        private fun truncateTornFrame(folder: DataFolder, name: String, offset: Int, frame: Frame, isLast: Boolean) {
            val corruption = when {
                frame is Frame.Corrupt -> frame.detail
                frame is Frame.Torn && !isLast -> "incomplete frame in a segment that is not the last"
                else -> null
            }
            if (corruption != null) throw StorageException(StorageError.Corrupt(name, offset.toLong(), corruption))
            if (frame !is Frame.Torn) return
            folder.openForAppend(name).use {
                it.truncate(offset.toLong())
                syncFile(name, it)
            }
        }
    }

    /** Segment file; [highestIndex] is the highest index of the entries in it. */
    internal class Segment(val number: Long) {
        var sizeBytes: Long = 0
        var highestIndex: LogIndex = LogIndex(0)

        val name: String
            get() = segmentName(number)
    }
}

/** Entries that were made durable by one sync. */
@Serializable
internal class StoredBatch(val entries: List<LogEntry>)
