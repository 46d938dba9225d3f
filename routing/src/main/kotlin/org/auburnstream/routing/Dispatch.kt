package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import kotlin.time.Duration

/** Sends requests to targets, takes in how the exchanges ended and decides on retries. */
internal class Dispatch(private val state: RoutingState, private val completion: Completion) {
    fun send(request: PendingRequest, target: Target, now: MonotonicTime) {
        request.sent(target, now)
        state.service(request.service).running++
        state.credits.take(target.vm)
        state.effects +=
            RoutingEffect.Send(
                ticket = request.ticket,
                attempt = request.attempt,
                vm = target.vm,
                address = target.address,
                connections = state.choice.connections(target),
                startBy = minOf(request.deadline, now + state.settings.sendValidity),
            )
    }

    /** Starts waiting requests of [id] while there are slots for them. */
    fun startWaiting(id: ServiceId, now: MonotonicTime) {
        val service = state.serviceOrNull(id) ?: return
        if (!state.leaseLive) return
        while (service.queue.size > 0) {
            val start = nextStart(service, now) ?: break
            service.queue.start(start.request)
            if (service.canAnswerAfter(Duration.ZERO, start.request.deadline, now)) {
                send(start.request, start.target, now)
            } else {
                completion.giveUp(start.request, NotRunReason.DEADLINE_TOO_SHORT, now)
            }
        }
    }

    fun startAllWaiting(now: MonotonicTime) {
        state.services().forEach { (id, service) -> if (service.queue.size > 0) startWaiting(id, now) }
    }

    fun ended(end: RoutingInput.ExchangeEnded, now: MonotonicTime) {
        val request = state.requests[end.ticket] ?: return
        val target = request.target ?: return
        if (request.attempt != end.attempt) return
        val service = state.service(request.service)
        request.returned()
        service.running--
        state.credits.release(target.vm)
        if (request.abandoned) {
            state.requests.remove(request.ticket)
        } else {
            observe(request, target, end.result, now)
            conclude(request, end.result, now)
        }
        startWaiting(request.service, now)
    }

    private fun observe(request: PendingRequest, target: Target, result: ExchangeResult, now: MonotonicTime) {
        when (result) {
            is ExchangeResult.Refused -> return
            is ExchangeResult.NotSent if !result.unreachable -> return
            is ExchangeResult.Answered if !result.failed -> {
                val time = now - request.sentAt
                target.runTime.observe(time)
                state.service(request.service).runTime.observe(time)
                target.health.succeeded(now)
            }

            else -> target.health.failed(now)
        }
        if (target.health.failing && mayEject(target.service)) target.health.eject(now)
    }

    private fun mayEject(service: ServiceId): Boolean {
        val all = state.targets.of(service)
        return all.count { it.health.ejected } + 1 <= all.size * state.settings.health.ejectedShare
    }

    private fun conclude(request: PendingRequest, result: ExchangeResult, now: MonotonicTime) {
        if (result is ExchangeResult.Answered) return completion.answered(request)
        if (result is ExchangeResult.Lost) request.uncertain = result.reason
        val service = state.service(request.service)
        if (mayRetry(request, service, now) && service.retries.tryRetry()) return retry(request, service, now)
        val refused = result is ExchangeResult.Refused
        val reason = if (refused) NotRunReason.REFUSED_BY_TARGET else NotRunReason.TARGET_UNREACHABLE
        completion.giveUp(request, reason, now)
    }

    /** A retry is harmless if no attempt may have run the request, or if running it twice does no harm. */
    private fun mayRetry(request: PendingRequest, service: ServiceState, now: MonotonicTime): Boolean {
        val harmless = request.uncertain == null || request.idempotent
        val attemptsLeft = request.attempt.value < service.policy.attempts
        val others = state.targets.of(request.service).filter { it.vm !in request.tried }
        val another = others.any { state.choice.mayServe(it, now) }
        return harmless && attemptsLeft && another && state.leaseLive &&
            service.canAnswer(request.deadline, now)
    }

    private fun retry(request: PendingRequest, service: ServiceState, now: MonotonicTime) {
        val target = state.choice.choose(request, now)
        if (target == null) service.queue.putBack(request) else send(request, target, now)
    }

    private fun nextStart(service: ServiceState, now: MonotonicTime): Start? {
        for (request in service.queue.candidates().take(MAX_CANDIDATES)) {
            val target = state.choice.choose(request, now) ?: continue
            return Start(request, target)
        }
        return null
    }

    private class Start(val request: PendingRequest, val target: Target)

    private companion object {
        const val MAX_CANDIDATES = 16
    }
}
