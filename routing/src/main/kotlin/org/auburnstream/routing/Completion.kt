package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration

/** Gives requests their final results. */
internal class Completion(private val state: RoutingState, private val random: Random) {
    fun answered(request: PendingRequest): Unit = complete(request, RequestResult.Answered)

    /** Ends [request] without an answer: not run because of [reason], unless an earlier attempt may have run it. */
    fun giveUp(request: PendingRequest, reason: NotRunReason, now: MonotonicTime) {
        val uncertain = request.uncertain
        val result =
            if (uncertain != null) {
                RequestResult.Unknown(uncertain)
            } else {
                RequestResult.NotRun(reason, retryAfter(request.service, now))
            }
        complete(request, result)
    }

    /** Ends all waiting requests of [service] for [reason]. */
    fun giveUpQueue(
        service: ServiceState,
        reason: NotRunReason,
        now: MonotonicTime,
        which: (PendingRequest) -> Boolean,
    ) {
        for (request in service.queue.all().filter(which).toList()) {
            service.queue.remove(request)
            giveUp(request, reason, now)
        }
    }

    private fun complete(request: PendingRequest, result: RequestResult) {
        state.requests.remove(request.ticket)
        state.effects += RoutingEffect.Complete(request.ticket, result)
    }

    /** Time in which the queue of [id] drains, spread so that refused callers do not return all at once. */
    private fun retryAfter(id: ServiceId, now: MonotonicTime): Duration {
        val floor = state.settings.retryAfterFloor
        val service = state.serviceOrNull(id) ?: return floor
        val drain = service.waitFor(service.queue.size, state.slots(id, now))
        return maxOf(drain, floor) * (1.0 + random.nextDouble() * RETRY_SPREAD)
    }

    private companion object {
        const val RETRY_SPREAD = 0.25
    }
}
