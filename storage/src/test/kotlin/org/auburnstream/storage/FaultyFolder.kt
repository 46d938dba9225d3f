package org.auburnstream.storage

import java.io.IOException
import kotlin.random.Random

/** Thrown when the process is killed amid an operation. */
internal class Killed : RuntimeException()

/**
 * [DataFolder] in memory that forgets what was not synced.
 *
 * @property budget bytes and operations until the process is killed.
 */
internal class FaultyFolder(var budget: Int = Int.MAX_VALUE) : DataFolder {
    val files = sortedMapOf<String, FileContent>()
    private var durableNames = emptyMap<String, FileContent>()
    private val unsyncedNames = ArrayList<Map<String, FileContent>>()
    var failSync = false
    var spaceLeft = Int.MAX_VALUE

    class FileContent(var bytes: ByteArray = ByteArray(0), var synced: ByteArray = ByteArray(0))

    /** What is left after a crash: synced names and bytes, and by chance some of what was not synced. */
    fun afterCrash(random: Random): FaultyFolder {
        val names = (listOf(durableNames) + unsyncedNames).random(random)
        val left = FaultyFolder()
        for ((name, content) in names) {
            val kept = left.keep(content, random)
            left.files[name] = FileContent(kept, kept)
        }
        left.durableNames = left.files.toMap()
        return left
    }

    private fun keep(content: FileContent, random: Random): ByteArray {
        val all = content.bytes
        if (all.size <= content.synced.size) return if (random.nextBoolean()) all else content.synced
        val kept = all.copyOf(random.nextInt(content.synced.size, all.size + 1))
        // A sector that never reached the disk reads as zeros behind what was synced.
        val sector = random.nextInt(kept.size / SECTOR_BYTES + 1) * SECTOR_BYTES
        val end = minOf(kept.size, sector + SECTOR_BYTES)
        if (random.nextBoolean() && end > content.synced.size) kept.fill(0, maxOf(sector, content.synced.size), end)
        return kept
    }

    override fun list(): List<String> = files.keys.toList()

    override fun read(name: String): ByteArray = content(name).bytes

    override fun read(name: String, offset: Long, length: Int): ByteArray {
        val bytes = content(name).bytes
        return bytes.copyOfRange(offset.toInt(), minOf(bytes.size, offset.toInt() + length))
    }

    override fun append(name: String): AppendFile {
        if (name !in files) change { files[name] = FileContent() }
        return OpenFile(content(name))
    }

    override fun rename(from: String, to: String) = change {
        files[to] = files.remove(from) ?: throw IOException("no file $from")
    }

    override fun delete(name: String) = change { files.remove(name) }

    override fun sync() {
        spend(1)
        durableNames = files.toMap()
        unsyncedNames.clear()
    }

    override fun close() = Unit

    private fun content(name: String) = files[name] ?: throw IOException("no file $name")

    private fun change(action: () -> Unit) {
        spend(1)
        action()
        unsyncedNames.add(files.toMap())
    }

    private fun spend(cost: Int): Int {
        val spent = minOf(cost, budget)
        budget -= spent
        if (spent < cost) throw Killed()
        return spent
    }

    private companion object {
        const val SECTOR_BYTES = 512
    }

    private inner class OpenFile(private val content: FileContent) : AppendFile {
        override val size get() = content.bytes.size.toLong()

        override fun write(bytes: ByteArray) {
            val written = minOf(bytes.size, budget, spaceLeft)
            content.bytes += bytes.copyOf(written)
            budget -= written
            spaceLeft -= written
            if (spaceLeft == 0 && written < bytes.size) throw IOException("No space left on device")
            if (written < bytes.size) throw Killed()
        }

        override fun sync() {
            spend(1)
            if (failSync) throw IOException("Input/output error")
            content.synced = content.bytes
        }

        override fun truncate(size: Long) {
            spend(1)
            content.bytes = content.bytes.copyOf(size.toInt())
        }

        override fun close() = Unit
    }
}
