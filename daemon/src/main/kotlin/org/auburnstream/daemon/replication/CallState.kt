package org.auburnstream.daemon.replication

import java.util.concurrent.atomic.AtomicReference

/**
 * Decides between a caller that gives up and the group's coroutine that sends its request.
 *
 * A request of which [abandon] said that it was not sent is never sent afterwards.
 */
internal class CallState {
    private val stage = AtomicReference(Stage.WAITING)

    val isAbandoned: Boolean
        get() = stage.get() == Stage.ABANDONED

    /** Notes that the request leaves this daemon; returns false if the caller has gone, so that it must not. */
    fun markSent(): Boolean = stage.compareAndSet(Stage.WAITING, Stage.SENT) || stage.get() == Stage.SENT

    /** Notes that the request was certainly not taken and may be sent again. */
    fun markUnsent() {
        stage.compareAndSet(Stage.SENT, Stage.WAITING)
    }

    /** Notes that the caller has gone; returns whether the request may have been taken. */
    fun abandon(): Boolean = stage.getAndSet(Stage.ABANDONED) == Stage.SENT

    private enum class Stage { WAITING, SENT, ABANDONED }
}
