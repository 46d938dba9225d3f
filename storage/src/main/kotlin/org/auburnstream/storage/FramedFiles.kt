package org.auburnstream.storage

import kotlinx.serialization.KSerializer

/** Replaces [name] by the frames of [payloads] at once: a crash leaves the old content or the new. */
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

/** Returns the payloads of all frames of [name], none of which may be damaged. */
internal fun DataFolder.readFrames(name: String): List<ByteArray> {
    val bytes = read(name)
    val payloads = ArrayList<ByteArray>()
    var offset = 0
    while (offset < bytes.size) {
        val frame = FrameCodec.decode(bytes, offset)
        if (frame !is Frame.Complete) {
            throw StorageException(StorageError.Corrupt(name, offset.toLong(), "a frame is not whole"))
        }
        payloads.add(frame.payload)
        offset = frame.nextOffset
    }
    return payloads
}

/** Returns the value that is the only frame of [name]. */
internal fun <T> DataFolder.readSingleFrame(name: String, serializer: KSerializer<T>): T {
    val payload = readFrames(name).singleOrNull()
        ?: throw StorageException(StorageError.Corrupt(name, 0, "not exactly one frame"))
    return StorageCodec.decode(serializer, payload, name, offset = 0)
}

internal const val TEMPORARY_SUFFIX = ".tmp"
