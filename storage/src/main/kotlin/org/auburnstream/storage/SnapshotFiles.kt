package org.auburnstream.storage

import kotlinx.serialization.Serializable
import org.auburnstream.consensus.SnapshotMetadata

/** Stores snapshots of the state machine, one in each file; only the latest one is kept. */
internal class SnapshotFiles(private val folder: DataFolder) {
    /** Header of the latest snapshot, or null if there is none. */
    var latest: SnapshotHeader? = null
        private set

    /** Reads the header of the latest snapshot and deletes older snapshots. */
    fun load() {
        val names = folder.list().filter { it.startsWith(PREFIX) && !it.endsWith(TEMPORARY_SUFFIX) }.sorted()
        val name = names.lastOrNull() ?: return
        names.dropLast(1).forEach(folder::delete)
        val frames = folder.readFrames(name)
        if (frames.size != FRAME_COUNT) {
            throw StorageException(StorageError.Corrupt(name, 0, "expected one header frame and one state frame"))
        }
        latest = StorageCodec.decode(SnapshotHeader.serializer(), frames.first(), name, offset = 0)
    }

    /** Makes the snapshot durable and deletes the previous one. */
    fun save(header: SnapshotHeader, bytes: ByteArray) {
        val previous = latest
        folder.replaceAtomically(fileName(header), listOf(encode(header), bytes))
        latest = header
        if (previous != null && fileName(previous) != fileName(header)) folder.delete(fileName(previous))
    }

    /** Returns at most [maxBytes] of the snapshot with [header], starting at [offset]. */
    fun read(header: SnapshotHeader, offset: Long, maxBytes: Int): ByteArray {
        val start = FrameCodec.frameBytes(encode(header).size) + FrameCodec.HEADER_BYTES
        val bytes = minOf(maxBytes.toLong(), header.bytes - offset).coerceAtLeast(0)
        return folder.read(fileName(header), start + offset, bytes.toInt())
    }

    private fun encode(header: SnapshotHeader) = StorageCodec.encode(SnapshotHeader.serializer(), header)

    private fun fileName(header: SnapshotHeader): String =
        PREFIX + header.metadata.index.value.toString().padStart(INDEX_DIGITS, '0') + "-" + header.metadata.term

    private companion object {
        const val PREFIX = "snapshot-"
        const val INDEX_DIGITS = 20
        const val FRAME_COUNT = 2
    }
}

/**
 * Header of a snapshot file.
 *
 * @property firstSegment number of the segment at which the log continues; older segments are ignored even if their
 *   files still exist.
 * @property bytes size of the state in bytes.
 */
@Serializable
internal data class SnapshotHeader(val metadata: SnapshotMetadata, val firstSegment: Long, val bytes: Long)
