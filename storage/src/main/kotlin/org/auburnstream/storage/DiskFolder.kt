package org.auburnstream.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.name

/** [DataFolder] in the file system at [path]; a lock file ensures that only one process uses it at a time. */
public class DiskFolder private constructor(
    private val path: Path,
    private val lockFile: FileChannel,
    private val lock: FileLock,
) : DataFolder {
    override fun list(): List<String> = Files.list(path).use { files ->
        files.map { it.name }.filter { it != LOCK_FILE }.toList()
    }

    override fun read(name: String): ByteArray = Files.readAllBytes(path.resolve(name))

    override fun read(name: String, offset: Long, length: Int): ByteArray =
        FileChannel.open(path.resolve(name), StandardOpenOption.READ).use { channel ->
            val available = minOf(length.toLong(), channel.size() - offset).coerceAtLeast(0)
            val buffer = ByteBuffer.allocate(available.toInt())
            while (buffer.hasRemaining()) {
                if (channel.read(buffer, offset + buffer.position()) < 0) break
            }
            buffer.array().copyOf(buffer.position())
        }

    override fun openForAppend(name: String): AppendFile =
        DiskFile(FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE))

    override fun rename(from: String, to: String) {
        val replace = arrayOf(StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        Files.move(path.resolve(from), path.resolve(to), *replace)
    }

    override fun delete(name: String) {
        Files.deleteIfExists(path.resolve(name))
    }

    override fun sync() {
        FileChannel.open(path, StandardOpenOption.READ).use { it.force(true) }
    }

    override fun close() {
        lock.release()
        lockFile.close()
    }

    /** Opens folders in the file system. */
    public companion object {
        /** Creates the folder at [path] if it does not exist, opens it and locks it for this process. */
        public fun open(path: Path): StoreResult<DiskFolder> = catchingStorageErrors(path.toString()) {
            Files.createDirectories(path)
            val file = FileChannel.open(
                path.resolve(LOCK_FILE),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
            )
            val lock = try {
                file.tryLock()
            } catch (e: OverlappingFileLockException) {
                null
            }
            if (lock != null) return@catchingStorageErrors DiskFolder(path, file, lock)
            file.close()
            throw StorageException(StorageError.FolderInUse(path.toString()))
        }

        private const val LOCK_FILE = "lock"
    }
}

private class DiskFile(private val channel: FileChannel) : AppendFile {
    override val size: Long
        get() = channel.size()

    override fun write(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        channel.position(channel.size())
        while (buffer.hasRemaining()) channel.write(buffer)
    }

    override fun sync() {
        channel.force(false)
    }

    override fun truncate(size: Long) {
        channel.truncate(size)
    }

    override fun close() {
        channel.close()
    }
}
