package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import kotlin.time.Duration

/** Decides immediately whether an arriving request is sent to a target, queued or rejected. */
internal class AdmissionControl(
    private val state: RoutingState,
    private val completer: RequestCompleter,
    private val dispatcher: Dispatcher,
    private val requestCredits: (MonotonicTime) -> Unit,
) {
    /** Sends, queues or rejects the request of [arrival]. */
    fun admit(arrival: RoutingInput.RequestArrived, now: MonotonicTime) {
        val request = PendingRequest(arrival, now)
        state.requests[request.ticket] = request
        val refusal = refusalReason(request, now)
        if (refusal != null) return completer.fail(request, refusal, now)
        val service = state.service(request.service)
        service.retryBudget.recordFirstAttempt()
        val target = if (service.queue.size == 0) state.selector.select(request, now) else null
        when {
            target == null -> enqueue(request, service, now)
            service.canMeetDeadline(request.deadline, now) -> dispatcher.send(request, target, now)
            else -> completer.fail(request, NotRunReason.DEADLINE_TOO_SHORT, now)
        }
    }

    /** Removes the request of [ticket] from its queue, or aborts its exchange if it was sent. */
    fun callerDisconnected(ticket: Ticket, now: MonotonicTime) {
        val request = state.requests[ticket] ?: return
        if (request.target == null) {
            state.service(request.service).queue.remove(request)
            return completer.fail(request, NotRunReason.CANCELLED, now)
        }
        request.abandoned = true
        state.effects += RoutingEffect.Abort(ticket, request.attempt)
    }

    /** Completes the queued requests that can no longer be answered. */
    fun failUnservable(now: MonotonicTime) {
        for ((id, service) in state.services()) {
            if (service.queue.size == 0) continue
            if (!state.isServed(id, now)) completer.failQueued(service, NotRunReason.NO_TARGET, now) { true }
            // The time of the next grant is unknown, so the caller should retry, possibly at another daemon.
            if (service.running == 0 && state.slots(id, now) == 0) {
                completer.failQueued(service, NotRunReason.NO_TARGET, now) {
                    now - it.arrivedAt >= state.settings.maxSlotWait
                }
            }
            completer.failQueued(service, NotRunReason.DEADLINE_TOO_SHORT, now) {
                !service.canMeetDeadlineAfter(Duration.ZERO, it.deadline, now)
            }
        }
    }

    private fun refusalReason(request: PendingRequest, now: MonotonicTime): NotRunReason? = when {
        state.stopping -> NotRunReason.STOPPING
        !state.leaseLive -> NotRunReason.SETTINGS_LEASE_EXPIRED
        !state.isKnown(request.service) -> NotRunReason.UNKNOWN_SERVICE
        !state.isServed(request.service, now) -> NotRunReason.NO_TARGET
        else -> null
    }

    private fun enqueue(request: PendingRequest, service: ServiceState, now: MonotonicTime) {
        val wait = service.estimateWait(service.queue.countAhead(request), state.slots(request.service, now))
        if (!service.canMeetDeadlineAfter(wait, request.deadline, now)) {
            return completer.fail(request, NotRunReason.DEADLINE_TOO_SHORT, now)
        }
        when (val offer = service.queue.offer(request, state.queueLimitBytes())) {
            OfferResult.Full -> return completer.fail(request, NotRunReason.OVERLOADED, now)
            is OfferResult.Queued -> offer.displaced.forEach { completer.fail(it, NotRunReason.DISPLACED, now) }
        }
        requestCredits(now)
        dispatcher.startQueued(request.service, now)
    }
}
