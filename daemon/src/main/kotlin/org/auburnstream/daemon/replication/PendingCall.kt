package org.auburnstream.daemon.replication

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Call of a local caller that awaits the reply of the group's leader.
 *
 * @property term term in which this replica must lead to execute the call; null if any leader may execute it.
 */
internal class PendingCall(val body: RequestBody, val term: Long? = null) {
    val state = CallState()
    private val answer = CompletableDeferred<ReplyBody>()

    /** Whether the call was answered or abandoned by its caller. */
    val isFinished: Boolean
        get() = answer.isCompleted || state.isAbandoned

    fun complete(body: ReplyBody) {
        answer.complete(body)
    }

    /**
     * Waits for the reply.
     *
     * After [timeout], returns [ReplyBody.Rejected] if the request was never sent and [ReplyBody.Unknown] otherwise.
     */
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
