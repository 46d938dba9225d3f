package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration

/** Gives requests their final results. */
internal class RequestCompleter(private val state: RoutingState, private val random: Random) {
    fun answer(request: PendingRequest): Unit = complete(request, RequestResult.Answered)

    /** Ends [request] without an answer: not run because of [reason], unless an earlier attempt may have run it. */
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

    /** Ends all waiting requests of [service] for [reason]. */
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

    /** Time in which the queue of [id] drains, spread so that refused callers do not return all at once. */
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
