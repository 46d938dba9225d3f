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
    private val closedSegments: ArrayDeque<Segment>,
    private var activeSegment: Segment,
) {
    private var file: AppendFile = folder.openForAppend(activeSegment.name)

    /** Number of the segment that is written to. */
    val activeNumber: Long
        get() = activeSegment.number

    /** Number of the oldest segment that entries after [index] need. */
    fun firstSegmentNeededAfter(index: LogIndex): Long =
        closedSegments.firstOrNull { it.highestIndex > index }?.number ?: activeSegment.number

    /** Appends [entries] as one frame and syncs it. */
    fun append(entries: List<LogEntry>) {
        if (activeSegment.sizeBytes >= segmentBytes) roll()
        val frame = FrameCodec.encode(StorageCodec.encode(StoredBatch.serializer(), StoredBatch(entries)))
        file.write(frame)
        syncFile(activeSegment.name, file)
        activeSegment.sizeBytes += frame.size
        activeSegment.highestIndex = maxOf(activeSegment.highestIndex, entries.maxOf { it.index })
    }

    /** Continues in a new segment. */
    fun roll() {
        file.close()
        closedSegments.addLast(activeSegment)
        activeSegment = Segment(activeSegment.number + 1)
        file = folder.openForAppend(activeSegment.name)
        folder.sync()
    }

    /** Deletes the segments before [number]. */
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
         * Opens the segments from [firstSegment] on and passes their entries in order to [replay].
         *
         * @throws StorageException if a segment is damaged or missing.
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

        /** Cuts a torn frame from the end of the log; anything else that is not whole is refused. */
        private fun truncateTornFrame(folder: DataFolder, name: String, offset: Int, frame: Frame, isLast: Boolean) {
            val corruption = when {
                frame is Frame.Corrupt -> frame.detail
                frame is Frame.Torn && !isLast -> "a frame ends early before a later segment"
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

    /** Segment file with the [highestIndex] of any entry in it. */
    internal class Segment(val number: Long) {
        var sizeBytes: Long = 0
        var highestIndex: LogIndex = LogIndex(0)

        val name: String
            get() = segmentName(number)
    }
}

/** Entries that one sync made durable. */
@Serializable
internal class StoredBatch(val entries: List<LogEntry>)
