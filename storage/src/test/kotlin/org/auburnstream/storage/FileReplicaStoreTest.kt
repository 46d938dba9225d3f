package org.auburnstream.storage

import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.EntryPayload
import org.auburnstream.consensus.HardState
import org.auburnstream.consensus.LogEntry
import org.auburnstream.consensus.RestoredState
import org.auburnstream.consensus.SnapshotMetadata
import org.auburnstream.model.LogIndex
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

class FileReplicaStoreTest {
    @TempDir
    lateinit var path: Path

    private fun entry(index: Long, term: Long, size: Int = 150) =
        LogEntry(LogIndex(index), term, EntryPayload.Command(ByteArray(size) { (index * 7 + it).toByte() }))

    private fun persist(term: Long, indices: LongRange, truncate: Boolean = false) = Effect.Persist(
        sequence = 0,
        hardState = HardState(term).takeIf { indices.first % 3 == 0L },
        truncateFrom = LogIndex(indices.first).takeIf { truncate },
        entries = indices.map { entry(it, term) },
    )

    private fun metadata(index: Long, term: Long) = SnapshotMetadata(LogIndex(index), term, Configuration())

    /** Writes of a follower: appends, a conflict, snapshots of its own and one of a leader. */
    private val script = listOf(
        step { persist(listOf(Effect.Persist(0, HardState(1), null, listOf(entry(1, 1))))) },
        step { persist(listOf(persist(1, 2L..4), persist(1, 5L..5))) },
        step { persist(listOf(persist(1, 6L..9))) },
        step { persist(listOf(persist(2, 7L..8, truncate = true))) },
        step { saveSnapshot(metadata(6, 1), ByteArray(90) { 5 }) },
        step { persist(listOf(persist(2, 9L..22))) },
        step { installSnapshot(metadata(20, 3), ByteArray(70) { 6 }) },
        step { persist(listOf(persist(3, 21L..23))) },
        step { saveSnapshot(metadata(22, 3), ByteArray(50) { 7 }) },
        step { persist(listOf(Effect.Persist(0, HardState(9), null, emptyList()), persist(9, 24L..24))) },
    )

    private fun step(action: FileReplicaStore.() -> StoreResult<Unit>) = action

    private fun open(folder: DataFolder) = FileReplicaStore.open(folder, Random(1), segmentBytes = 1200)

    private fun opened(folder: DataFolder): FileReplicaStore {
        val result = open(folder)
        check(result is StoreResult.Done) { "$result" }
        return result.value
    }

    /** Restored state after each number of steps. */
    private val states: List<RestoredState> by lazy {
        (0..script.size).map { count ->
            val folder = FaultyFolder()
            opened(folder).also { store ->
                script.take(count).forEach { assertEquals(StoreResult.Done(Unit), store.it()) }
            }
            opened(folder).restored
        }
    }

    private fun writtenFolder() = FaultyFolder().also { folder ->
        opened(folder).also { s -> script.forEach { s.it() } }
    }

    @Test
    fun whatWasAcknowledgedIsFoundAgain() {
        val last = states.last()
        assertEquals(HardState(9), last.hardState)
        assertEquals(metadata(22, 3), last.snapshot)
        assertEquals(listOf(23L, 24L), last.entries.map { it.index.value })
        assertEquals(listOf(1L, 1, 1, 1, 1, 1, 2, 2), states[4].entries.map { it.term })
        assertEquals((7L..22L).toList(), states[6].entries.map { it.index.value })
        assertEquals(emptyList(), states[7].entries, "a snapshot of the leader replaces the whole log")
    }

    @Test
    fun aKillAfterAnyByteAndAgainAmidRecoveryLosesNothingAcknowledged() {
        val whole = FaultyFolder(budget = 1_000_000).also { folder ->
            opened(folder).also { s -> script.forEach { s.it() } }
        }
        val cost = 1_000_000 - whole.budget
        for (budget in 0..cost) {
            val random = Random(budget)
            val folder = FaultyFolder(budget)
            val done = runUntilKilled(folder)
            var left = folder.afterCrash(random)
            repeat(2) {
                left.budget = random.nextInt(20)
                runCatching { open(left) }.exceptionOrNull()?.let { assertIs<Killed>(it) }
                left = left.afterCrash(random)
            }
            val restored = opened(left).restored
            val possible = listOf(states[done], states[minOf(done + 1, script.size)])
            val logs = possible.map { it.snapshot to it.entries }
            assertTrue((restored.snapshot to restored.entries) in logs, "budget $budget after $done steps: $restored")
            assertTrue(restored.hardState in possible.map { it.hardState }, "budget $budget: ${restored.hardState}")
        }
    }

    private fun runUntilKilled(folder: FaultyFolder): Int {
        var done = 0
        try {
            val store = opened(folder)
            script.forEach {
                assertEquals(StoreResult.Done(Unit), store.it())
                done += 1
            }
        } catch (e: Killed) {
            return done
        }
        return done
    }

    @Test
    fun aFlipOfAnyByteIsRefusedWithWhatToDoNext() {
        val intact = writtenFolder()
        val lastLog = intact.files.keys.last { it.startsWith("log-") }
        for ((name, content) in intact.files) {
            for (offset in content.bytes.indices) {
                for (mask in listOf(1, 0xFF)) {
                    val altered = content.bytes.copyOf().also { it[offset] = (it[offset].toInt() xor mask).toByte() }
                    val result = open(copyOf(intact, name, altered))
                    assertIs<StoreResult.Failed>(
                        result,
                        "$name of ${content.bytes.size} bytes, $offset xor $mask, $lastLog",
                    )
                    assertTrue("rejoins as a new member" in result.error.message, result.error.message)
                }
            }
        }
    }

    @Test
    fun aTailCutAtAnyByteIsRemovedUpToTheLastWholeFrame() {
        val intact = writtenFolder()
        val name = intact.files.keys.last { it.startsWith("log-") }
        val bytes = intact.files.getValue(name).bytes
        val seen = HashSet<List<LogEntry>>()
        for (size in bytes.indices) {
            val folder = copyOf(intact, name, bytes.copyOf(size))
            val entries = opened(folder).restored.entries
            assertEquals(states.last().entries.take(entries.size), entries, "cut to $size")
            assertEquals(entries, opened(folder).restored.entries, "second open after a cut to $size")
            seen.add(entries)
        }
        assertTrue(seen.size > 1)
    }

    @Test
    fun aCutOfAnyOtherFileIsRefused() {
        val intact = writtenFolder()
        val lastLog = intact.files.keys.last { it.startsWith("log-") }
        for ((name, content) in intact.files.filterKeys { it != lastLog }) {
            // An empty segment is what a crash right after its creation leaves; it can only be the last one.
            for (size in 1 until content.bytes.size) {
                val result = open(copyOf(intact, name, content.bytes.copyOf(size)))
                assertIs<StoreResult.Failed>(result, "$name cut to $size of ${content.bytes.size}")
            }
        }
    }

    @Test
    fun aMissingFileIsRefused() {
        val intact = writtenFolder()
        opened(intact).persist((25L..60L).map { persist(9, it..it) }.chunked(4).flatten())
        val store = opened(intact)
        (61L..90L).forEach { store.persist(listOf(persist(9, it..it))) }
        val segments = intact.files.keys.filter { it.startsWith("log-") }
        assertTrue(segments.size > 3)
        for (name in segments.dropLast(1) + "incarnation" + "hard-state") {
            val folder = copyOf(intact, name, ByteArray(0)).also { it.files.remove(name) }
            assertIs<StoreResult.Failed>(open(folder), name)
        }
    }

    @Test
    fun afterAFailedSyncEveryWriteIsRefused() {
        val folder = FaultyFolder()
        val store = opened(folder)
        store.persist(listOf(persist(1, 1L..1)))
        folder.failSync = true
        val first = assertIs<StoreResult.Failed>(store.persist(listOf(persist(1, 2L..2))))
        assertIs<StorageError.SyncFailed>(first.error)
        folder.failSync = false
        for (write in listOf(
            step {
                persist(listOf(persist(1, 2L..2)))
            },
            step { saveSnapshot(metadata(1, 1), ByteArray(1)) },
        )) {
            val error = assertIs<StoreResult.Failed>(store.write()).error
            assertEquals(first.error, assertIs<StorageError.Refused>(error).cause)
        }
    }

    @Test
    fun aFullDiskIsReportedAndWhatWasAcknowledgedSurvives() {
        for (space in 0..400) {
            val folder = FaultyFolder()
            val store = opened(folder)
            folder.spaceLeft = space
            val done = script.takeWhile { store.it() == StoreResult.Done(Unit) }.size
            val failed = script[minOf(done, script.size - 1)](store) as? StoreResult.Failed ?: continue
            assertIs<StorageError.DiskFull>(assertIs<StorageError.Refused>(failed.error).cause)
            folder.spaceLeft = Int.MAX_VALUE
            val restored = opened(folder).restored
            val possible = listOf(states[done], states[done + 1]).map { it.snapshot to it.entries }
            assertTrue((restored.snapshot to restored.entries) in possible, "space $space after $done steps: $restored")
        }
    }

    @Test
    fun aSnapshotIsReadInParts() {
        val store = opened(FaultyFolder())
        val bytes = Random(3).nextBytes(1000)
        store.saveSnapshot(metadata(5, 1), bytes)
        val parts = (0L until 1000L step 300).map { store.readSnapshot(metadata(5, 1), it, 300) as StoreResult.Done }
        assertTrue(bytes.contentEquals(parts.map { it.value!! }.reduce(ByteArray::plus)))
        assertEquals(StoreResult.Done(null), store.readSnapshot(metadata(6, 1), 0, 10))
    }

    @Test
    fun aFolderOnDiskIsHeldByOneProcessAndKeepsItsIncarnation() {
        val folder = (DiskFolder.open(path) as StoreResult.Done).value
        val second = assertIs<StoreResult.Failed>(DiskFolder.open(path))
        assertIs<StorageError.FolderInUse>(second.error)
        val store = opened(folder)
        script.forEach { store.it() }
        store.close()
        val reopened = opened((DiskFolder.open(path) as StoreResult.Done).value)
        assertEquals(store.incarnation, reopened.incarnation)
        assertEquals(states.last(), reopened.restored)
    }

    @Test
    fun aHundredThousandEntriesBehindASnapshotOpenWithinTheTimeOfARestart() {
        val first = opened((DiskFolder.open(path) as StoreResult.Done).value)
        first.persist(listOf(persist(3, 0L..-1).copy(hardState = HardState(3))))
        first.saveSnapshot(metadata(10, 3), ByteArray(1000))
        (11L..100_010L).chunked(100).forEach {
            assertEquals(
                StoreResult.Done(Unit),
                first.persist(
                    listOf(
                        persist(
                            3,
                            it.first()..it.last(),
                        ),
                    ),
                ),
            )
        }
        first.close()
        val folder = (DiskFolder.open(path) as StoreResult.Done).value
        val (store, time) = measureTimedValue { FileReplicaStore.open(folder, Random(1)) as StoreResult.Done }
        assertEquals(100_000, store.value.restored.entries.size)
        assertTrue(time < 3.seconds, "$time")
    }

    private fun copyOf(folder: FaultyFolder, name: String, bytes: ByteArray): FaultyFolder {
        val copy = FaultyFolder()
        folder.files.forEach { (n, c) -> copy.files[n] = FaultyFolder.FileContent(c.bytes, c.bytes) }
        copy.files[name] = FaultyFolder.FileContent(bytes, bytes)
        return copy
    }
}
