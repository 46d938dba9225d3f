package org.auburnstream.storage

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.HardState
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.LogEntry
import org.auburnstream.consensus.RestoredState
import org.auburnstream.consensus.SnapshotMetadata
import kotlin.random.Random

/**
 * [ReplicaStore] that keeps the log, the hard state, the snapshot and the incarnation in files of a [DataFolder].
 *
 * After the first failed write or sync, it rejects all further writes, because the content of the disk is unknown
 * until the store is opened again.
 */
public class FileReplicaStore private constructor(
    private val folder: DataFolder,
    override val incarnation: Incarnation,
    override val restored: RestoredState,
    private val log: SegmentedLog,
    private val snapshots: SnapshotFiles,
) : ReplicaStore {
    private var failure: StorageError? = null

    override val durable: Boolean
        get() = true

    override fun persist(writes: List<Effect.Persist>): StoreResult<Unit> = writeUnlessFailed(LOG_FILES) {
        writes.mapNotNull { it.hardState }.lastOrNull()?.let {
            folder.replaceAtomically(HARD_STATE_FILE, listOf(StorageCodec.encode(HardState.serializer(), it)))
        }
        val entries = coalesce(writes)
        if (entries.isNotEmpty()) log.append(entries)
    }

    override fun saveSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit> =
        writeUnlessFailed(SNAPSHOT_FILES) { save(metadata, bytes, log.firstSegmentNeededAfter(metadata.index)) }

    override fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit> =
        writeUnlessFailed(SNAPSHOT_FILES) {
            log.roll()
            save(metadata, bytes, log.activeNumber)
        }

    override fun readSnapshot(metadata: SnapshotMetadata, offset: Long, maxBytes: Int): StoreResult<ByteArray?> =
        catchingStorageErrors(SNAPSHOT_FILES) {
            snapshots.latest
                ?.takeIf { it.metadata == metadata }
                ?.let { snapshots.read(it, offset, maxBytes) }
        }

    override fun close() {
        log.close()
        folder.close()
    }

    private fun save(metadata: SnapshotMetadata, bytes: ByteArray, firstSegment: Long) {
        snapshots.save(SnapshotHeader(metadata, firstSegment, bytes.size.toLong()), bytes)
        log.deleteBefore(firstSegment)
    }

    /** Returns the entries of [writes] without those that a later write truncates. */
    private fun coalesce(writes: List<Effect.Persist>): List<LogEntry> {
        val entries = ArrayList<LogEntry>()
        for (write in writes) {
            write.truncateFrom?.let { from ->
                while (entries.isNotEmpty() && entries.last().index >= from) entries.removeLast()
            }
            entries.addAll(write.entries)
        }
        return entries
    }

    /** Runs [block], or rejects the write if an earlier write failed. */
    private inline fun writeUnlessFailed(file: String, block: () -> Unit): StoreResult<Unit> {
        failure?.let { return StoreResult.Failed(StorageError.Refused(it)) }
        val result = catchingStorageErrors(file, block)
        if (result is StoreResult.Failed) failure = result.error
        return result
    }

    /** Opens stores in data folders. */
    public companion object {
        private const val HARD_STATE_FILE = "hard-state"
        private const val INCARNATION_FILE = "incarnation"
        private const val LOG_FILES = "log"
        private const val SNAPSHOT_FILES = "snapshot"
        private const val SEGMENT_BYTES = 4L * 1024 * 1024

        /**
         * Opens the store in [folder]. In an empty folder, it stores a new incarnation drawn from [random].
         *
         * It removes an incomplete write at the end of the log, which a crash leaves behind. Any other difference from
         * the written content is reported as an error.
         *
         * @param segmentBytes size of a segment file from which the log continues in a new file.
         */
        public fun open(
            folder: DataFolder,
            random: Random,
            segmentBytes: Long = SEGMENT_BYTES,
        ): StoreResult<FileReplicaStore> = catchingStorageErrors(LOG_FILES) {
            folder.list().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach(folder::delete)
            val incarnation = loadIncarnation(folder, random)
            val snapshots = SnapshotFiles(folder).apply { load() }
            val header = snapshots.latest
            val tail = LogTailBuilder(header?.metadata?.index)
            val log = SegmentedLog.open(folder, header?.firstSegment ?: 1, segmentBytes, tail::add)
            val restored = RestoredState(
                hardState = loadHardState(folder, isRequired = header != null || tail.entries.isNotEmpty()),
                snapshot = header?.metadata,
                snapshotBytes = header?.bytes ?: 0,
                entries = tail.entries,
            )
            FileReplicaStore(folder, incarnation, restored, log, snapshots)
        }

        private fun loadIncarnation(folder: DataFolder, random: Random): Incarnation {
            val names = folder.list()
            if (INCARNATION_FILE in names) return folder.readSingleFrame(INCARNATION_FILE, Incarnation.serializer())
            val hasStoredState = HARD_STATE_FILE in names || names.any(SegmentedLog::isSegmentName)
            if (hasStoredState) throw StorageException(StorageError.MissingFile(INCARNATION_FILE))
            val incarnation = Incarnation(random.nextLong())
            folder.replaceAtomically(
                INCARNATION_FILE,
                listOf(StorageCodec.encode(Incarnation.serializer(), incarnation)),
            )
            return incarnation
        }

        private fun loadHardState(folder: DataFolder, isRequired: Boolean): HardState {
            if (HARD_STATE_FILE in folder.list()) return folder.readSingleFrame(HARD_STATE_FILE, HardState.serializer())
            if (isRequired) throw StorageException(StorageError.MissingFile(HARD_STATE_FILE))
            return HardState()
        }
    }
}
