package org.auburnstream.daemon.replication

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Call of this daemon that waits for the leader's answer.
 *
 * @property term the only term, led by this replica, in which the call may be carried out; null if any leader may.
 */
internal class PendingCall(val body: RequestBody, val term: Long? = null) {
    val state = CallState()
    private val answer = CompletableDeferred<ReplyBody>()

    /** Whether the caller has its answer or has gone. */
    val isFinished: Boolean
        get() = answer.isCompleted || state.isAbandoned

    fun complete(body: ReplyBody) {
        answer.complete(body)
    }

    /** Waits for the answer; without one a request that was never sent is rejected, any other unknown. */
    suspend fun await(timeout: Duration): ReplyBody {
        try {
            withTimeoutOrNull(timeout) { answer.await() }?.let { return it }
        } catch (e: CancellationException) {
            state.abandon()
            throw e
        }
        val maybeExecuted = state.abandon()
        return when {
            answer.isCompleted -> answer.await()
            maybeExecuted -> ReplyBody.Unknown
            else -> ReplyBody.Rejected(RejectReason.NO_LEADER)
        }
    }
}
