package org.auburnstream.storage

import java.io.Closeable

/**
 * File operations on one folder without subfolders; tests implement it to inject faults.
 *
 * Each function throws [java.io.IOException] if the operation fails.
 */
public interface DataFolder : Closeable {
    /** Returns the names of all files. */
    public fun list(): List<String>

    /** Returns the whole content of [name]. */
    public fun read(name: String): ByteArray

    /** Returns at most [length] bytes of [name], starting at [offset]. */
    public fun read(name: String, offset: Long, length: Int): ByteArray

    /** Opens [name] for appending and creates it if it does not exist. */
    public fun openForAppend(name: String): AppendFile

    /** Renames [from] to [to] and replaces an existing file of that name. */
    public fun rename(from: String, to: String)

    /** Deletes [name] if it exists. */
    public fun delete(name: String)

    /** Makes the creation, renaming and deletion of files durable. */
    public fun sync()
}

/** File that is open for appending. */
public interface AppendFile : Closeable {
    /** Size in bytes. */
    public val size: Long

    /** Appends [bytes]. */
    public fun write(bytes: ByteArray)

    /** Makes the content durable. */
    public fun sync()

    /** Truncates the file to [size] bytes. */
    public fun truncate(size: Long)
}
