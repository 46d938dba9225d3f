package org.auburnstream.daemon.replication

import java.util.concurrent.atomic.AtomicReference

/**
 * Decides between a caller that gives up and the group's coroutine that sends its request.
 *
 * A request of which [abandon] said that it was not sent is never sent afterwards.
 */
internal class CallState {
    private val step = AtomicReference(Step.WAITING)

    val isAbandoned: Boolean
        get() = step.get() == Step.ABANDONED

    /** Notes that the request leaves this daemon; returns false if the caller has gone, so that it must not. */
    fun markSent(): Boolean = step.compareAndSet(Step.WAITING, Step.SENT) || step.get() == Step.SENT

    /** Notes that the request was certainly not taken and may be sent again. */
    fun markUnsent() {
        step.compareAndSet(Step.SENT, Step.WAITING)
    }

    /** Notes that the caller has gone; returns whether the request may have been taken. */
    fun abandon(): Boolean = step.getAndSet(Step.ABANDONED) == Step.SENT

    private enum class Step { WAITING, SENT, ABANDONED }
}
