package org.auburnstream.storage

import java.io.Closeable

/**
 * Files of one flat folder, as far as the store needs them; tests put faults in its place.
 *
 * Every function throws [java.io.IOException] if the operation fails.
 */
public interface DataFolder : Closeable {
    /** Returns the names of the files. */
    public fun list(): List<String>

    /** Returns the whole content of [name]. */
    public fun read(name: String): ByteArray

    /** Returns at most [length] bytes of [name] from [offset] on. */
    public fun read(name: String, offset: Long, length: Int): ByteArray

    /** Opens [name] for appending, and creates it if needed. */
    public fun openForAppend(name: String): AppendFile

    /** Gives [from] the name [to], in place of a file of that name. */
    public fun rename(from: String, to: String)

    /** Deletes [name] if it exists. */
    public fun delete(name: String)

    /** Makes names that were created, renamed or deleted durable. */
    public fun sync()
}

/** File open for appending. */
public interface AppendFile : Closeable {
    /** Size in bytes. */
    public val size: Long

    /** Appends [bytes]. */
    public fun write(bytes: ByteArray)

    /** Makes the content durable. */
    public fun sync()

    /** Cuts the file after [size] bytes. */
    public fun truncate(size: Long)
}
