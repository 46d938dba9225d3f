package org.auburnstream.dispatch.http

import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue

/**
 * Budget of the bytes that clients make one process hold: heads, bodies, copies of them and answers that are not read.
 *
 * Must be used on the thread of one event loop.
 *
 * @property limitBytes maximum number of bytes held; a single message is admitted even if it is larger.
 */
public class ClientMemory(public val limitBytes: Long = defaultLimitBytes()) {
    private val holdings = LinkedHashSet<Holding>()

    /** Number of bytes held now. */
    public var heldBytes: Long = 0
        private set

    /** Number of messages refused or given up for lack of room since the start. */
    public var refusals: Long = 0
        private set

    /**
     * Opens an empty holding of the client at [address].
     *
     * @param since time at which its message began.
     * @param onRefused called if the holding has to make room for others; must close it.
     */
    internal fun open(address: String, since: MonotonicTime, onRefused: () -> Unit): Holding =
        Holding(address, since, onRefused)

    private fun makeRoom(own: Holding, bytes: Long, isOwnUnfinished: Boolean): Boolean {
        val limit = if (bytes <= MAX_RUNNING_SMALL_BYTES) limitBytes else limitBytes - limitBytes / SMALL_SHARE
        val missing = heldBytes - own.bytes + bytes - limit
        if (missing <= 0 || heldBytes == own.bytes) return true
        // More than is missing, so that the choice is not made again for each piece that arrives.
        val excess = missing + limitBytes / SPARE_SHARE
        val unfinished = holdings.filter { it !== own && !it.hasBegun }.map(Holding::toHeld)
        val newcomer = if (isOwnUnfinished) Held(own, own.address, bytes, own.since) else null
        val chosen = chooseRefused(unfinished, newcomer, excess)
        refusals += chosen?.size ?: 1
        chosen?.forEach { it.owner.onRefused() }
        return chosen != null
    }

    /** Bytes held for one message. */
    internal inner class Holding(val address: String, val since: MonotonicTime, val onRefused: () -> Unit) {
        var bytes = 0L
            private set
        var hasBegun = false
            private set

        /** Changes the size to [bytes] while the message arrives; returns false if it has to be refused. */
        fun resize(bytes: Long): Boolean {
            val isGranted = bytes <= this.bytes || makeRoom(this, bytes, isOwnUnfinished = !hasBegun)
            if (isGranted) set(bytes)
            return isGranted
        }

        /** Changes the size to [bytes] for a complete message, which is no longer refused once this returns true. */
        fun begin(bytes: Long): Boolean {
            val isGranted = bytes <= this.bytes || makeRoom(this, bytes, isOwnUnfinished = false)
            if (isGranted) {
                set(bytes)
                hasBegun = true
            }
            return isGranted
        }

        /** Holds [bytes] of an answer that is not read yet; returns false if its connection has to be closed. */
        fun awaitReader(bytes: Long): Boolean {
            hasBegun = false
            val isGranted = bytes <= this.bytes || makeRoom(this, bytes, isOwnUnfinished = true)
            set(bytes)
            return isGranted
        }

        fun close() = set(0)

        fun toHeld() = Held(this, address, bytes, since)

        private fun set(next: Long) {
            heldBytes += next - bytes
            bytes = next
            if (next > 0) holdings.add(this) else holdings.remove(this)
        }
    }

    private companion object {
        /** Leaves the rest of the heap to copies in transit, the state and the runtime. */
        const val SHARE_OF_HEAP = 4
        const val SPARE_SHARE = 16

        /** Part of the budget that is kept for ordinary small requests. */
        const val SMALL_SHARE = 4

        /** Size of a small request with its copies while it runs. */
        const val MAX_RUNNING_SMALL_BYTES = 4 * SMALL_MESSAGE_BYTES

        fun defaultLimitBytes(): Long = Runtime.getRuntime().maxMemory() / SHARE_OF_HEAP
    }
}

/** What an unfinished message of [address] holds since its first byte. */
internal data class Held<T>(val owner: T, val address: String, val bytes: Long, val since: MonotonicTime)

/**
 * Chooses whose unfinished messages are refused to free [excess] bytes.
 *
 * Answers a crowd of clients that begin large messages and do not end them. The address that holds most goes first,
 * then the largest message, then the oldest, which is the slowest of its size. Messages of at most
 * [SMALL_MESSAGE_BYTES] stay.
 *
 * @param newcomer message that asks for room, with the size it asks for; null if it is complete.
 * @return the messages to refuse, or null if the one that asks has to be refused.
 */
internal fun <T> chooseRefused(unfinished: List<Held<T>>, newcomer: Held<T>?, excess: Long): List<Held<T>>? {
    val all = unfinished + listOfNotNull(newcomer)
    val bytesByAddress = all.groupingBy { it.address }.fold(0L) { sum, held -> sum + held.bytes }
    val order = compareByDescending<Held<T>> { bytesByAddress[it.address] }
        .thenByDescending { it.bytes }
        .thenBy { it.since.nanoseconds }
    val large = PriorityQueue(maxOf(1, all.size), order)
    all.filterTo(large) { it.bytes > SMALL_MESSAGE_BYTES }
    val refused = ArrayList<Held<T>>()
    var freed = 0L
    while (freed < excess) {
        val held = large.poll() ?: return null
        if (held === newcomer) return null
        refused += held
        freed += held.bytes
    }
    return refused
}

/** Size of ordinary small requests, which are not refused for the room of others. */
internal const val SMALL_MESSAGE_BYTES = 4_096L
