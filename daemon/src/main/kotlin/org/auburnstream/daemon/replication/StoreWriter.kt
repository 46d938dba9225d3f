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
 * @property report receives what was done.
 */
internal class StoreWriter(
    private val store: ReplicaStore,
    private val dispatcher: CoroutineDispatcher,
    private val report: suspend (StoreReport) -> Unit,
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
            val result = withContext(dispatcher) { carryOut(task, writes) }
            report(result)
            if (result is StoreReport.Failed) return
        }
    }

    private fun carryOut(task: StoreTask, writes: List<Effect.Persist>): StoreReport = when (task) {
        is StoreTask.Persist -> store.persist(writes).report { StoreReport.Persisted(writes.last().sequence) }
        is StoreTask.Install -> store.installSnapshot(task.effect.metadata, task.effect.bytes)
            .report { StoreReport.Persisted(task.effect.sequence) }
        is StoreTask.Save -> store.saveSnapshot(task.metadata, task.bytes)
            .report { StoreReport.SnapshotSaved(task.metadata, task.bytes.size.toLong()) }
        is StoreTask.ReadChunk -> store.readSnapshot(task.effect.metadata, task.effect.offset, task.effect.maxBytes)
            .report { StoreReport.ChunkRead(task.effect, it) }
    }

    private fun <T> StoreResult<T>.report(done: (T) -> StoreReport): StoreReport = when (this) {
        is StoreResult.Done -> done(value)
        is StoreResult.Failed -> StoreReport.Failed(error)
    }

    private companion object {
        const val MAX_GROUPED_WRITES = 1024
    }
}

/** Work for a store. */
internal sealed interface StoreTask {
    class Persist(val effect: Effect.Persist) : StoreTask

    class Install(val effect: Effect.InstallSnapshot) : StoreTask

    class Save(val metadata: SnapshotMetadata, val bytes: ByteArray) : StoreTask

    class ReadChunk(val effect: Effect.SendSnapshotChunk) : StoreTask
}

/** What became of the work for a store. */
internal sealed interface StoreReport {
    data class Persisted(val sequence: Long) : StoreReport

    data class SnapshotSaved(val metadata: SnapshotMetadata, val bytes: Long) : StoreReport

    /** Part of a snapshot, or null bytes if it is not the latest any more. */
    class ChunkRead(val effect: Effect.SendSnapshotChunk, val bytes: ByteArray?) : StoreReport

    data class Failed(val error: StorageError) : StoreReport
}
