package org.auburnstream.daemon.replication

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withContext
import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.SnapshotMetadata
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StorageError
import org.auburnstream.storage.StoreResult

/**
 * Carries out the work on a store in order, off the replica's coroutine.
 *
 * Writes of the log that queue up while one is being synced share the next sync.
 *
 * @property onResult receives what was done.
 */
internal class StoreWriter(
    private val store: ReplicaStore,
    private val dispatcher: CoroutineDispatcher,
    private val onResult: suspend (StoreTaskResult) -> Unit,
) {
    // Bounded by the proposals, messages and snapshots that the replica lets be in progress.
    private val tasks = Channel<StoreTask>(Channel.UNLIMITED)

    fun submit(task: StoreTask) {
        tasks.trySend(task)
    }

    /** Works until cancelled, or until the store fails. */
    suspend fun run() {
        var next: StoreTask? = null
        while (true) {
            val task = next ?: tasks.receive()
            next = null
            val writes = ArrayList<Effect.Persist>()
            if (task is StoreTask.Persist) {
                writes.add(task.effect)
                while (writes.size < MAX_GROUPED_WRITES) {
                    next = tasks.tryReceive().getOrNull() ?: break
                    writes.add((next as? StoreTask.Persist)?.effect ?: break)
                    next = null
                }
            }
            val result = withContext(dispatcher) { execute(task, writes) }
            onResult(result)
            if (result is StoreTaskResult.Failed) return
        }
    }

    private fun execute(task: StoreTask, writes: List<Effect.Persist>): StoreTaskResult = when (task) {
        is StoreTask.Persist -> store.persist(writes).toTaskResult { StoreTaskResult.Persisted(writes.last().sequence) }
        is StoreTask.InstallSnapshot -> store.installSnapshot(task.effect.metadata, task.effect.bytes)
            .toTaskResult { StoreTaskResult.Persisted(task.effect.sequence) }
        is StoreTask.SaveSnapshot -> store.saveSnapshot(task.metadata, task.bytes)
            .toTaskResult { StoreTaskResult.SnapshotSaved(task.metadata, task.bytes.size.toLong()) }
        is StoreTask.ReadChunk -> store.readSnapshot(task.effect.metadata, task.effect.offset, task.effect.maxBytes)
            .toTaskResult { StoreTaskResult.ChunkRead(task.effect, it) }
    }

    private fun <T> StoreResult<T>.toTaskResult(onDone: (T) -> StoreTaskResult): StoreTaskResult = when (this) {
        is StoreResult.Done -> onDone(value)
        is StoreResult.Failed -> StoreTaskResult.Failed(error)
    }

    private companion object {
        const val MAX_GROUPED_WRITES = 1024
    }
}

/** Work for a store. */
internal sealed interface StoreTask {
    class Persist(val effect: Effect.Persist) : StoreTask

    class InstallSnapshot(val effect: Effect.InstallSnapshot) : StoreTask

    class SaveSnapshot(val metadata: SnapshotMetadata, val bytes: ByteArray) : StoreTask

    class ReadChunk(val effect: Effect.SendSnapshotChunk) : StoreTask
}

/** What became of the work for a store. */
internal sealed interface StoreTaskResult {
    data class Persisted(val sequence: Long) : StoreTaskResult

    data class SnapshotSaved(val metadata: SnapshotMetadata, val bytes: Long) : StoreTaskResult

    /** Part of a snapshot, or null bytes if it is not the latest any more. */
    class ChunkRead(val effect: Effect.SendSnapshotChunk, val bytes: ByteArray?) : StoreTaskResult

    data class Failed(val error: StorageError) : StoreTaskResult
}
