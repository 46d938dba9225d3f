package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import kotlin.time.Duration

/** Decides at once whether an arriving request starts, waits or is refused. */
internal class Admission(
    private val state: RoutingState,
    private val completion: Completion,
    private val dispatch: Dispatch,
    private val askForCredits: (MonotonicTime) -> Unit,
) {
    fun arrived(arrival: RoutingInput.RequestArrived, now: MonotonicTime) {
        val request = PendingRequest(arrival, now)
        state.requests[request.ticket] = request
        val refusal = refusal(request, now)
        if (refusal != null) return completion.giveUp(request, refusal, now)
        val service = state.service(request.service)
        service.retries.firstAttempt()
        val target = if (service.queue.size == 0) state.choice.choose(request, now) else null
        when {
            target == null -> enqueue(request, service, now)
            service.canAnswer(request.deadline, now) -> dispatch.send(request, target, now)
            else -> completion.giveUp(request, NotRunReason.DEADLINE_TOO_SHORT, now)
        }
    }

    fun callerGone(ticket: Ticket, now: MonotonicTime) {
        val request = state.requests[ticket] ?: return
        if (request.target == null) {
            state.service(request.service).queue.remove(request)
            return completion.giveUp(request, NotRunReason.CANCELLED, now)
        }
        request.abandoned = true
        state.effects += RoutingEffect.Abort(ticket, request.attempt)
    }

    /** Gives up the waiting requests that cannot be answered any more. */
    fun giveUpHopeless(now: MonotonicTime) {
        for ((id, service) in state.services()) {
            if (service.queue.size == 0) continue
            if (!state.isServed(id, now)) completion.giveUpQueue(service, NotRunReason.NO_TARGET, now) { true }
            // Nothing tells when slots will be granted, so the caller is told to come back, maybe to another daemon.
            if (service.running == 0 && state.slots(id, now) == 0) {
                completion.giveUpQueue(service, NotRunReason.NO_TARGET, now) {
                    now - it.arrived >= state.settings.slotWait
                }
            }
            completion.giveUpQueue(service, NotRunReason.DEADLINE_TOO_SHORT, now) {
                !service.canAnswerAfter(Duration.ZERO, it.deadline, now)
            }
        }
    }

    private fun refusal(request: PendingRequest, now: MonotonicTime): NotRunReason? = when {
        state.stopping -> NotRunReason.STOPPING
        !state.leaseLive -> NotRunReason.SETTINGS_LEASE_EXPIRED
        !state.isKnown(request.service) -> NotRunReason.UNKNOWN_SERVICE
        !state.isServed(request.service, now) -> NotRunReason.NO_TARGET
        else -> null
    }

    private fun enqueue(request: PendingRequest, service: ServiceState, now: MonotonicTime) {
        val wait = service.waitFor(service.queue.ahead(request), state.slots(request.service, now))
        if (!service.canAnswerAfter(wait, request.deadline, now)) {
            return completion.giveUp(request, NotRunReason.DEADLINE_TOO_SHORT, now)
        }
        when (val offer = service.queue.offer(request, state.queueBytes())) {
            OfferResult.Full -> return completion.giveUp(request, NotRunReason.OVERLOADED, now)
            is OfferResult.Queued -> offer.displaced.forEach { completion.giveUp(it, NotRunReason.DISPLACED, now) }
        }
        askForCredits(now)
        dispatch.startWaiting(request.service, now)
    }
}
