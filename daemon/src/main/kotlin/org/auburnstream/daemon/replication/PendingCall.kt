package org.auburnstream.daemon.replication

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Call of this daemon that waits for the leader's answer. */
internal class PendingCall(val body: RequestBody) {
    private val state = AtomicReference(State.WAITING)
    private val answer = CompletableDeferred<ReplyBody>()

    /** Whether the caller has its answer or has gone. */
    val isOver: Boolean
        get() = answer.isCompleted || state.get() == State.ABANDONED

    /** Notes that the request leaves this daemon; returns false if the caller has gone, so that it must not. */
    fun markSent(): Boolean = state.compareAndSet(State.WAITING, State.SENT) || state.get() == State.SENT

    /** Notes that the request was certainly not taken and may be sent again. */
    fun markUnsent() {
        state.compareAndSet(State.SENT, State.WAITING)
    }

    fun complete(body: ReplyBody) {
        answer.complete(body)
    }

    /** Waits for the answer; without one a request that was never sent is rejected, any other unknown. */
    suspend fun await(timeout: Duration): ReplyBody {
        withTimeoutOrNull(timeout) { answer.await() }?.let { return it }
        if (state.compareAndSet(State.WAITING, State.ABANDONED)) return ReplyBody.Rejected(RejectReason.NO_LEADER)
        state.set(State.ABANDONED)
        return if (answer.isCompleted) answer.await() else ReplyBody.Unknown
    }

    private enum class State { WAITING, SENT, ABANDONED }
}
