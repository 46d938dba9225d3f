package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration

/** Completes requests: determines their final results and emits them as [RoutingEffect.Complete]. */
internal class RequestCompleter(private val state: RoutingState, private val random: Random) {
    fun answer(request: PendingRequest): Unit = complete(request, RequestResult.Answered)

    /**
     * Completes [request] without an answer.
     *
     * The result is "not run" with [reason], or "unknown" if an earlier attempt may have run the request.
     */
    fun fail(request: PendingRequest, reason: NotRunReason, now: MonotonicTime) {
        val unknownReason = request.unknownReason
        val result =
            if (unknownReason != null) {
                RequestResult.Unknown(unknownReason)
            } else {
                RequestResult.NotRun(reason, retryAfter(request.service, now))
            }
        complete(request, result)
    }

    /** Completes the queued requests of [service] that match [predicate] without an answer, with [reason]. */
    fun failQueued(
        service: ServiceState,
        reason: NotRunReason,
        now: MonotonicTime,
        predicate: (PendingRequest) -> Boolean,
    ) {
        for (request in service.queue.all().filter(predicate).toList()) {
            service.queue.remove(request)
            fail(request, reason, now)
        }
    }

    private fun complete(request: PendingRequest, result: RequestResult) {
        state.requests.remove(request.ticket)
        state.effects += RoutingEffect.Complete(request.ticket, result)
    }

    /** Returns the estimated time to drain the queue of [id], with jitter to spread the retries of rejected callers. */
    private fun retryAfter(id: ServiceId, now: MonotonicTime): Duration {
        val minimum = state.settings.minRetryAfter
        val service = state.serviceOrNull(id) ?: return minimum
        val drainTime = service.estimateWait(service.queue.size, state.slots(id, now))
        return maxOf(drainTime, minimum) * (1.0 + random.nextDouble() * RETRY_SPREAD)
    }

    private companion object {
        const val RETRY_SPREAD = 0.25
    }
}
