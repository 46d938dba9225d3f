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
 * Executes the tasks of a store in order, outside the replica's coroutine.
 *
 * Log writes that are queued during a sync are grouped into the next sync.
 *
 * @property onResult receives the result of each task or group of log writes.
 */
internal class StoreWriter(
    private val store: ReplicaStore,
    private val dispatcher: CoroutineDispatcher,
    private val onResult: suspend (StoreTaskResult) -> Unit,
) {
    // The replica limits the proposals, messages and snapshots in progress, which bounds the queue.
    private val tasks = Channel<StoreTask>(Channel.UNLIMITED)

    fun submit(task: StoreTask) {
        tasks.trySend(task)
    }

    /** Executes tasks until it is cancelled or the store fails. */
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

/** Task for a store. */
internal sealed interface StoreTask {
    class Persist(val effect: Effect.Persist) : StoreTask

    class InstallSnapshot(val effect: Effect.InstallSnapshot) : StoreTask

    class SaveSnapshot(val metadata: SnapshotMetadata, val bytes: ByteArray) : StoreTask

    class ReadChunk(val effect: Effect.SendSnapshotChunk) : StoreTask
}

/** Result of a [StoreTask]. */
internal sealed interface StoreTaskResult {
    data class Persisted(val sequence: Long) : StoreTaskResult

    data class SnapshotSaved(val metadata: SnapshotMetadata, val bytes: Long) : StoreTaskResult

    /** Part of a snapshot; [bytes] is null if a newer snapshot has replaced it. */
    class ChunkRead(val effect: Effect.SendSnapshotChunk, val bytes: ByteArray?) : StoreTaskResult

    data class Failed(val error: StorageError) : StoreTaskResult
}
