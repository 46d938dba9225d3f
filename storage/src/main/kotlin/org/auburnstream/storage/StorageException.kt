package org.auburnstream.storage

import java.io.IOException

/** Carries a typed error to the boundary of the store; never leaves this module. */
internal class StorageException(val error: StorageError) : RuntimeException(error.message)

/** Runs [block], which works on [file], and turns its failure into a typed error. */
internal inline fun <T> catchingStorageErrors(file: String, block: () -> T): StoreResult<T> = try {
    StoreResult.Done(block())
} catch (e: StorageException) {
    StoreResult.Failed(e.error)
} catch (e: IOException) {
    StoreResult.Failed(toStorageError(file, e))
}

internal fun toStorageError(file: String, cause: IOException): StorageError {
    val detail = cause.message ?: cause.javaClass.simpleName
    return if (detail.contains(NO_SPACE)) StorageError.DiskFull(file) else StorageError.InputOutput(file, detail)
}

/** Syncs [file], named [name]; a failure here means that earlier writes may be lost as well. */
internal fun syncFile(name: String, file: AppendFile) {
    try {
        file.sync()
    } catch (e: IOException) {
        throw StorageException(StorageError.SyncFailed(name, e.message ?: e.javaClass.simpleName))
    }
}

private const val NO_SPACE = "No space left"
