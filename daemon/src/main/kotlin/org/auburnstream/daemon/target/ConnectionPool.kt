package org.auburnstream.daemon.target

/**
 * Open connections to one target: at most one exchange each, never more than the limit given with a request.
 *
 * A connection counts from before it is opened until after it is closed. Safe for concurrent use.
 */
internal class ConnectionPool<C : Any> {
    private val idle = ArrayDeque<C>()
    private var open = 0
    private var retired = false
    private var discarded = false

    /** Returns an idle connection, the right to open one, or neither if [limit] are open. */
    @Synchronized
    fun acquire(limit: Int): Acquired<C> {
        if (discarded) return Acquired.Discarded
        retired = false
        idle.removeLastOrNull()?.let { return Acquired.Idle(it) }
        if (open >= limit) return Acquired.Exhausted
        open++
        return Acquired.MayOpen
    }

    /** Keeps [connection] for the next exchange; if it returns false, the caller closes it and calls [closed]. */
    @Synchronized
    fun release(connection: C): Boolean {
        if (retired) return false
        idle.addLast(connection)
        return true
    }

    /** Gives back the place of a connection that is closed or was never opened. */
    @Synchronized
    fun closed() {
        check(open > 0) { "closed() without an open connection; call it once for each acquired connection" }
        open--
    }

    /** Takes out the idle connections for which [condition] holds; the caller closes each and calls [closed]. */
    @Synchronized
    fun removeIdle(condition: (C) -> Boolean): List<C> {
        val removed = idle.filter(condition)
        idle.removeAll(removed)
        return removed
    }

    /** Keeps no connection until the next one is acquired, and takes out the idle ones. */
    @Synchronized
    fun retire(): List<C> {
        retired = true
        return removeIdle { true }
    }

    /** Ends the use of a retired pool without open connections; later acquisitions need a new pool. */
    @Synchronized
    fun discard(): Boolean {
        if (retired && open == 0) discarded = true
        return discarded
    }

    @get:Synchronized
    val openCount: Int get() = open
}

/** Result of asking a pool for a connection. */
internal sealed interface Acquired<out C> {
    data class Idle<C>(val connection: C) : Acquired<C>

    data object MayOpen : Acquired<Nothing>

    data object Exhausted : Acquired<Nothing>

    /** The pool is no longer in use. */
    data object Discarded : Acquired<Nothing>
}
