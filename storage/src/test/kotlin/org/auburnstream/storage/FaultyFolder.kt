package org.auburnstream.storage

import java.io.IOException
import kotlin.random.Random

/** Thrown to simulate that the process is killed during an operation. */
internal class SimulatedKill : RuntimeException()

/**
 * In-memory [DataFolder] that simulates failed syncs, a full disk, and crashes that lose unsynced data.
 *
 * @property killBudget number of written bytes and other operations before the process is killed.
 */
internal class FaultyFolder(var killBudget: Int = Int.MAX_VALUE) : DataFolder {
    val files = sortedMapOf<String, FileContent>()
    private var durableNames = emptyMap<String, FileContent>()
    private val unsyncedNames = ArrayList<Map<String, FileContent>>()
    var failSyncs = false
    var freeBytes = Int.MAX_VALUE

    class FileContent(var bytes: ByteArray = ByteArray(0), var syncedBytes: ByteArray = ByteArray(0))

    /** Returns the folder after a crash: the synced names and bytes and a random part of the unsynced changes. */
    fun afterCrash(random: Random): FaultyFolder {
        val names = (listOf(durableNames) + unsyncedNames).random(random)
        val crashedFolder = FaultyFolder()
        for ((name, content) in names) {
            val kept = crashedFolder.bytesAfterCrash(content, random)
            crashedFolder.files[name] = FileContent(kept, kept)
        }
        crashedFolder.durableNames = crashedFolder.files.toMap()
        return crashedFolder
    }

    private fun bytesAfterCrash(content: FileContent, random: Random): ByteArray {
        val all = content.bytes
        if (all.size <= content.syncedBytes.size) return if (random.nextBoolean()) all else content.syncedBytes
        val kept = all.copyOf(random.nextInt(content.syncedBytes.size, all.size + 1))
        // An unsynced sector that was not written to the disk reads as zeros.
        val sector = random.nextInt(kept.size / SECTOR_BYTES + 1) * SECTOR_BYTES
        val end = minOf(kept.size, sector + SECTOR_BYTES)
        if (random.nextBoolean() && end > content.syncedBytes.size) {
            kept.fill(0, maxOf(sector, content.syncedBytes.size), end)
        }
        return kept
    }

    override fun list(): List<String> = files.keys.toList()

    override fun read(name: String): ByteArray = content(name).bytes

    override fun read(name: String, offset: Long, length: Int): ByteArray {
        val bytes = content(name).bytes
        return bytes.copyOfRange(offset.toInt(), minOf(bytes.size, offset.toInt() + length))
    }

    override fun openForAppend(name: String): AppendFile {
        if (name !in files) change { files[name] = FileContent() }
        return OpenFile(content(name))
    }

    override fun rename(from: String, to: String) = change {
        files[to] = files.remove(from) ?: throw IOException("no file $from")
    }

    override fun delete(name: String) = change { files.remove(name) }

    override fun sync() {
        spendKillBudget(1)
        durableNames = files.toMap()
        unsyncedNames.clear()
    }

    override fun close() = Unit

    private fun content(name: String) = files[name] ?: throw IOException("no file $name")

    private fun change(action: () -> Unit) {
        spendKillBudget(1)
        action()
        unsyncedNames.add(files.toMap())
    }

    private fun spendKillBudget(cost: Int): Int {
        val spent = minOf(cost, killBudget)
        killBudget -= spent
        if (spent < cost) throw SimulatedKill()
        return spent
    }

    private companion object {
        const val SECTOR_BYTES = 512
    }

    private inner class OpenFile(private val content: FileContent) : AppendFile {
        override val size get() = content.bytes.size.toLong()

        override fun write(bytes: ByteArray) {
            val written = minOf(bytes.size, killBudget, freeBytes)
            content.bytes += bytes.copyOf(written)
            killBudget -= written
            freeBytes -= written
            if (freeBytes == 0 && written < bytes.size) throw IOException("No space left on device")
            if (written < bytes.size) throw SimulatedKill()
        }

        override fun sync() {
            spendKillBudget(1)
            if (failSyncs) throw IOException("Input/output error")
            content.syncedBytes = content.bytes
        }

        override fun truncate(size: Long) {
            spendKillBudget(1)
            content.bytes = content.bytes.copyOf(size.toInt())
        }

        override fun close() = Unit
    }
}
