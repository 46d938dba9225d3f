package org.auburnstream.storage

import org.auburnstream.model.LogIndex

/**
 * Reason why an operation of the store failed.
 *
 * The [message] names the file and, if known, the position, and tells the operator how to resolve the error.
 */
public sealed interface StorageError {
    /** Error message for the operator. */
    public val message: String

    /** A file that was synced has changed or lost content. */
    public data class Corrupt(val file: String, val offset: Long, val detail: String) : StorageError {
        override val message: String
            get() = "$file is corrupt at byte $offset: $detail; $REJOIN"
    }

    /** The log has a gap after the snapshot or after the previous entry. */
    public data class MissingEntries(val file: String, val expected: LogIndex, val found: LogIndex) : StorageError {
        override val message: String
            get() = "$file contains entry $found where entry $expected is expected; $REJOIN"
    }

    /** The folder contains stored state, but a required file is missing. */
    public data class MissingFile(val file: String) : StorageError {
        override val message: String
            get() = "$file is missing from the data folder; $REJOIN"
    }

    /** The disk is full, so [file] could not be written. */
    public data class DiskFull(val file: String) : StorageError {
        override val message: String
            get() = "no space left to write $file; free space on the disk of the data folder and restart the daemon"
    }

    /** [file] could not be synced, so its content on the disk is unknown. */
    public data class SyncFailed(val file: String, val detail: String) : StorageError {
        override val message: String
            get() = "$file could not be synced: $detail; check the disk and restart the daemon"
    }

    /** [file] could not be read or written. */
    public data class InputOutput(val file: String, val detail: String) : StorageError {
        override val message: String
            get() = "$file could not be read or written: $detail; check the disk and restart the daemon"
    }

    /** Another process uses the data folder. */
    public data class FolderInUse(val folder: String) : StorageError {
        override val message: String
            get() = "data folder $folder is used by another process; stop that process or choose another folder"
    }

    /** The write was rejected because an earlier write failed with [cause]. */
    public data class Refused(val cause: StorageError) : StorageError {
        override val message: String
            get() = "write rejected after an earlier failure: ${cause.message}"
    }
}

/** Result of a store operation. */
public sealed interface StoreResult<out T> {
    /** The operation succeeded and its writes are synced. */
    public data class Done<out T>(val value: T) : StoreResult<T>

    /** The operation failed; it is unknown whether its writes are durable. */
    public data class Failed(val error: StorageError) : StoreResult<Nothing>
}

private const val REJOIN =
    "stop the daemon, move the data folder away and restart with an empty one; " +
        "the daemon then rejoins as a new member"
