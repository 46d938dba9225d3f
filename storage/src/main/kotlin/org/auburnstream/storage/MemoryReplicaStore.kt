package org.auburnstream.storage

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.RestoredState
import org.auburnstream.consensus.SnapshotMetadata

/**
 * [ReplicaStore] of a daemon without a data folder.
 *
 * It discards all writes. This is safe because a replica without a disk never becomes leader.
 */
public class MemoryReplicaStore(override val incarnation: Incarnation) : ReplicaStore {
    override val durable: Boolean
        get() = false

    override val restored: RestoredState
        get() = RestoredState()

    override fun persist(writes: List<Effect.Persist>): StoreResult<Unit> = StoreResult.Done(Unit)

    override fun saveSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit> = StoreResult.Done(Unit)

    override fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit> =
        StoreResult.Done(Unit)

    override fun readSnapshot(metadata: SnapshotMetadata, offset: Long, maxBytes: Int): StoreResult<ByteArray?> =
        StoreResult.Done(null)

    override fun close(): Unit = Unit
}
