package org.auburnstream.storage

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.RestoredState
import org.auburnstream.consensus.SnapshotMetadata
import java.io.Closeable

/** Keeps the state of one replica. Not thread-safe; the calls block on the disk. */
public interface ReplicaStore : Closeable {
    /** Life of the store's content. */
    public val incarnation: Incarnation

    /** Whether the content survives the process. */
    public val durable: Boolean

    /** What was found when the store was opened. */
    public val restored: RestoredState

    /** Makes [writes] durable in their order, with one sync of the log for all of them. */
    public fun persist(writes: List<Effect.Persist>): StoreResult<Unit>

    /** Makes the snapshot of the state machine durable and drops the log up to it. */
    public fun saveSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit>

    /** Makes a snapshot of the leader durable in place of the whole log. */
    public fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit>

    /** Returns at most [maxBytes] of the latest snapshot from [offset] on, or null if it is not [metadata]. */
    public fun readSnapshot(metadata: SnapshotMetadata, offset: Long, maxBytes: Int): StoreResult<ByteArray?>
}
