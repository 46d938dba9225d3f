package org.auburnstream.bench.consensus

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.runBlocking
import org.auburnstream.bench.Table
import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.EntryPayload
import org.auburnstream.consensus.HardState
import org.auburnstream.consensus.LogEntry
import org.auburnstream.consensus.Member
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MemberRole
import org.auburnstream.consensus.SnapshotMetadata
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.measureTime

/** Measures the restart of three voters with entries that follow a snapshot, until a read is served. */
public object RestartTime {
    /** Restarts with a growing number of entries behind the snapshot. */
    public fun run(seed: Long): List<Table> = listOf(table(ENTRIES.map { measure(seed, it) }))

    private fun measure(seed: Long, entries: Int): RestartTimeRow {
        val folder = Files.createTempDirectory("auburnstream-bench")
        try {
            write(folder, seed, entries)
            val opening = measureTime {
                val disk = opened(DiskFolder.open(folder.resolve(NAMES.first().value)))
                opened(FileReplicaStore.open(disk, Random(seed))).close()
            }
            return RestartTimeRow(entries, opening.milliseconds, measureTime { serve(folder, seed) }.milliseconds)
        } finally {
            folder.toFile().deleteRecursively()
        }
    }

    private fun serve(folder: Path, seed: Long) = runBlocking(Dispatchers.Default) {
        val life = Job()
        val group = LoopbackGroup(CoroutineScope(coroutineContext + life), folder, seed, NAMES.size)
        group.start()
        val result = group.awaitLeader().readBarrier(TIMEOUT)
        check(result is ReadResult.Ready) { "read after the restart ended with $result" }
        group.stop()
        life.cancel()
    }

    private fun write(folder: Path, seed: Long, entries: Int) {
        val disks = NAMES.map { opened(DiskFolder.open(folder.resolve(it.value))) }
        val stores = disks.mapIndexed { i, disk -> opened(FileReplicaStore.open(disk, Random(seed + i))) }
        val members = NAMES.zip(stores).map { (name, store) -> MemberId(name, store.incarnation) }
        val metadata = SnapshotMetadata(
            LogIndex(SNAPSHOT_INDEX),
            term = 1,
            Configuration(members.map { Member(it, MemberRole.VOTER) }),
        )
        val log = (1..entries).map {
            LogEntry(
                metadata.index + it.toLong(),
                1,
                EntryPayload.Command(
                    ByteArray(COMMAND_BYTES) { i ->
                        i.toByte()
                    },
                ),
            )
        }
        for (store in stores) {
            opened(store.persist(listOf(Effect.Persist(1, HardState(1), null, emptyList()))))
            opened(store.installSnapshot(metadata, "0".encodeToByteArray()))
            log.chunked(BATCH).forEach { opened(store.persist(listOf(Effect.Persist(1, null, null, it)))) }
            store.close()
        }
    }

    private val Duration.milliseconds: Double
        get() = toDouble(DurationUnit.MILLISECONDS)

    private fun table(rows: List<RestartTimeRow>) = Table(
        name = "consensus-restart",
        columns = listOf("entries behind the snapshot", "open one store ms", "three voters until a read is served ms"),
        rows = rows.map { listOf(it.entries, it.openMilliseconds, it.serveMilliseconds) },
    )

    private val NAMES = (1..3).map { DaemonId("daemon-$it") }
    private val ENTRIES = listOf(1_000, 10_000, 50_000, 100_000)
    private const val SNAPSHOT_INDEX = 1_000L
    private const val COMMAND_BYTES = 200
    private const val BATCH = 50
    private val TIMEOUT = 10.seconds
}

/**
 * Time of a restart.
 *
 * @property serveMilliseconds from the opening of the stores to the first linearizable read, election included.
 */
public data class RestartTimeRow(val entries: Int, val openMilliseconds: Double, val serveMilliseconds: Double)
