package org.auburnstream.storage

import java.io.IOException

/**
 * Carries a [StorageError] to the public functions of the store, which return it as [StoreResult.Failed].
 *
 * It is never thrown to other modules.
 */
internal class StorageException(val error: StorageError) : RuntimeException(error.message)

/** Runs [block], which accesses [file], and returns its result or the error with which it failed. */
internal inline fun <T> catchingStorageErrors(file: String, block: () -> T): StoreResult<T> = try {
    StoreResult.Done(block())
} catch (e: StorageException) {
    StoreResult.Failed(e.error)
} catch (e: IOException) {
    StoreResult.Failed(toStorageError(file, e))
}

/** Returns the error for an I/O failure on [file]; a full disk is recognized by the exception's message. */
internal fun toStorageError(file: String, cause: IOException): StorageError {
    val detail = cause.message ?: cause.javaClass.simpleName
    return if (detail.contains(NO_SPACE)) StorageError.DiskFull(file) else StorageError.InputOutput(file, detail)
}

/**
 * Syncs [file], which has the name [name].
 *
 * A failed sync is reported as [StorageError.SyncFailed], because earlier writes to the file may be lost as well.
 */
internal fun syncFile(name: String, file: AppendFile) {
    try {
        file.sync()
    } catch (e: IOException) {
        throw StorageException(StorageError.SyncFailed(name, e.message ?: e.javaClass.simpleName))
    }
}

private const val NO_SPACE = "No space left"
