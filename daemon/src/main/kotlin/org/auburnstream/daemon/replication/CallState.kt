package org.auburnstream.daemon.replication

import java.util.concurrent.atomic.AtomicReference

/**
 * Resolves the race between a caller that abandons its call and the group's coroutine that sends the request.
 *
 * After [abandon] returned false, the request is never sent.
 */
internal class CallState {
    private val stage = AtomicReference(Stage.WAITING)

    val isAbandoned: Boolean
        get() = stage.get() == Stage.ABANDONED

    /** Marks the request as sent; returns false if the caller has abandoned it, in which case it must not be sent. */
    fun markSent(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.SENT) || stage.get() == Stage.SENT

    /** Marks the request as certainly not executed, so that it may be sent again. */
    fun markUnsent() {
        stage.compareAndSet(Stage.SENT, Stage.WAITING)
    }

    /** Marks the call as abandoned by its caller; returns whether the request may have been executed. */
    fun abandon(): Boolean = stage.getAndSet(Stage.ABANDONED) == Stage.SENT

    private enum class Stage { WAITING, SENT, ABANDONED }
}
