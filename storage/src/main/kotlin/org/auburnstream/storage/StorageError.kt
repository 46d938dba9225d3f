package org.auburnstream.storage

import org.auburnstream.model.LogIndex

/** Why the store cannot go on; [message] names the file, the position and what the operator does next. */
public sealed interface StorageError {
    /** Text for the operator. */
    public val message: String

    /** A file was altered or lost after it had been synced. */
    public data class Corrupt(val file: String, val offset: Long, val detail: String) : StorageError {
        override val message: String
            get() = "$file is corrupt at byte $offset: $detail; $REJOIN"
    }

    /** The log does not continue where the snapshot or the entry before ends. */
    public data class MissingEntries(val file: String, val expected: LogIndex, val found: LogIndex) : StorageError {
        override val message: String
            get() = "$file holds entry $found where $expected must follow; $REJOIN"
    }

    /** The folder holds a log but a file that belongs to it is missing. */
    public data class MissingFile(val file: String) : StorageError {
        override val message: String
            get() = "$file is missing from the data folder; $REJOIN"
    }

    /** No space is left for [file]. */
    public data class DiskFull(val file: String) : StorageError {
        override val message: String
            get() = "no space left to write $file; free space on the disk of the data folder and restart the daemon"
    }

    /** [file] could not be synced; what the disk holds of it is unknown. */
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
            get() = "data folder $folder is used by another process; stop it or choose another folder"
    }

    /** An earlier failure ended all writing. */
    public data class Refused(val cause: StorageError) : StorageError {
        override val message: String
            get() = "no writes are accepted after a failure: ${cause.message}"
    }
}

/** Result of an operation of the store. */
public sealed interface StoreResult<out T> {
    /** The operation succeeded; what it wrote is synced. */
    public data class Done<out T>(val value: T) : StoreResult<T>

    /** The operation failed; whether its writes survive is unknown. */
    public data class Failed(val error: StorageError) : StoreResult<Nothing>
}

private const val REJOIN =
    "stop the daemon, move the data folder away and restart with an empty one, and it rejoins as a new member"
