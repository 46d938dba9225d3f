package org.auburnstream.storage

import kotlinx.serialization.KSerializer

/** Replaces the content of [name] with frames of [payloads]; after a crash, it is either the old or the new content. */
internal fun DataFolder.replaceAtomically(name: String, payloads: List<ByteArray>) {
    val temporary = name + TEMPORARY_SUFFIX
    delete(temporary)
    openForAppend(temporary).use { file ->
        payloads.forEach { file.write(FrameCodec.encode(it)) }
        syncFile(temporary, file)
    }
    rename(temporary, name)
    sync()
}

/**
 * Returns the payloads of all frames of [name].
 *
 * @throws StorageException if a frame is incomplete or corrupt.
 */
internal fun DataFolder.readFrames(name: String): List<ByteArray> {
    val bytes = read(name)
    val payloads = ArrayList<ByteArray>()
    var offset = 0
    while (offset < bytes.size) {
        val frame = FrameCodec.decode(bytes, offset)
        if (frame !is Frame.Complete) {
            throw StorageException(StorageError.Corrupt(name, offset.toLong(), "incomplete or corrupt frame"))
        }
        payloads.add(frame.payload)
        offset = frame.nextOffset
    }
    return payloads
}

/**
 * Decodes the value in the only frame of [name].
 *
 * @throws StorageException if the file is corrupt or does not contain exactly one frame.
 */
internal fun <T> DataFolder.readSingleFrame(name: String, serializer: KSerializer<T>): T {
    val payload = readFrames(name).singleOrNull()
        ?: throw StorageException(StorageError.Corrupt(name, 0, "expected exactly one frame"))
    return StorageCodec.decode(serializer, payload, name, offset = 0)
}

internal const val TEMPORARY_SUFFIX = ".tmp"
