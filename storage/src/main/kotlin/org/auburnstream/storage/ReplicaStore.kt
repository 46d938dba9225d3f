package org.auburnstream.storage

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.RestoredState
import org.auburnstream.consensus.SnapshotMetadata
import java.io.Closeable

/**
 * Stores the state of one replica: its hard state, its log and its latest snapshot.
 *
 * Not thread-safe; calls block until the disk operations complete.
 */
public interface ReplicaStore : Closeable {
    /** Incarnation of the stored content; a newly created store has a new one. */
    public val incarnation: Incarnation

    /** Whether the content survives a restart of the process. */
    public val durable: Boolean

    /** State that was read when the store was opened. */
    public val restored: RestoredState

    /** Makes [writes] durable in the given order, with one sync of the log for all of them. */
    public fun persist(writes: List<Effect.Persist>): StoreResult<Unit>

    /** Makes a snapshot of the local state machine durable and deletes log segments that it covers completely. */
    public fun saveSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit>

    /** Makes a snapshot from the leader durable and deletes the entire log. */
    public fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray): StoreResult<Unit>

    /**
     * Returns at most [maxBytes] of the latest snapshot, starting at [offset].
     *
     * Returns null if the latest snapshot does not have [metadata].
     */
    public fun readSnapshot(metadata: SnapshotMetadata, offset: Long, maxBytes: Int): StoreResult<ByteArray?>
}
