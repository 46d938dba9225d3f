package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import kotlin.time.Duration

/** Sends requests to targets, processes the results of the exchanges and decides on retries. */
internal class Dispatcher(private val state: RoutingState, private val completer: RequestCompleter) {
    fun send(request: PendingRequest, target: Target, now: MonotonicTime) {
        request.markSent(target, now)
        state.service(request.service).running++
        state.credits.acquire(target.vm)
        state.effects +=
            RoutingEffect.Send(
                ticket = request.ticket,
                attempt = request.attempt,
                vm = target.vm,
                address = target.address,
                connections = state.selector.connections(target),
                startBy = minOf(request.deadline, now + state.settings.sendValidity),
            )
    }

    /** Sends queued requests of [id] while slots are free. */
    fun startQueued(id: ServiceId, now: MonotonicTime) {
        val service = state.serviceOrNull(id) ?: return
        if (!state.leaseLive) return
        while (service.queue.size > 0) {
            val start = nextStart(service, now) ?: break
            service.queue.dequeue(start.request)
            if (service.canMeetDeadlineAfter(Duration.ZERO, start.request.deadline, now)) {
                send(start.request, start.target, now)
            } else {
                completer.fail(start.request, NotRunReason.DEADLINE_TOO_SHORT, now)
            }
        }
    }

    fun startAllQueued(now: MonotonicTime) {
        state.services().forEach { (id, service) -> if (service.queue.size > 0) startQueued(id, now) }
    }

    /** Processes the end of an exchange; a report for another attempt than the current one is ignored. */
    fun exchangeEnded(end: RoutingInput.ExchangeEnded, now: MonotonicTime) {
        val request = state.requests[end.ticket] ?: return
        val target = request.target ?: return
        if (request.attempt != end.attempt) return
        val service = state.service(request.service)
        request.markExchangeEnded()
        service.running--
        state.credits.release(target.vm)
        if (request.abandoned) {
            state.requests.remove(request.ticket)
        } else {
            recordResult(request, target, end.result, now)
            completeOrRetry(request, end.result, now)
        }
        startQueued(request.service, now)
    }

    /** Updates the run time estimates and the health of [target], and ejects the target if it fails too often. */
    private fun recordResult(request: PendingRequest, target: Target, result: ExchangeResult, now: MonotonicTime) {
        when (result) {
            is ExchangeResult.Refused -> return
            is ExchangeResult.NotSent if !result.unreachable -> return
            is ExchangeResult.Answered if !result.failed -> {
                val runTime = now - request.sentAt
                target.runTime.observe(runTime)
                state.service(request.service).runTime.observe(runTime)
                target.health.recordSuccess(now)
            }

            else -> target.health.recordFailure(now)
        }
        if (target.health.shouldEject && mayEject(target.service)) target.health.eject(now)
    }

    private fun mayEject(service: ServiceId): Boolean {
        val all = state.targets.of(service)
        return all.count { it.health.ejected } + 1 <= all.size * state.settings.health.maxEjectedRatio
    }

    private fun completeOrRetry(request: PendingRequest, result: ExchangeResult, now: MonotonicTime) {
        if (result is ExchangeResult.Answered) return completer.answer(request)
        if (result is ExchangeResult.Lost) request.unknownReason = result.reason
        val service = state.service(request.service)
        if (mayRetry(request, service, now) && service.retryBudget.tryAcquire()) return retry(request, service, now)
        val refused = result is ExchangeResult.Refused
        val reason = if (refused) NotRunReason.REFUSED_BY_TARGET else NotRunReason.TARGET_UNREACHABLE
        completer.fail(request, reason, now)
    }

    /** Returns whether a retry is allowed; it is safe if no attempt may have run the request or it is idempotent. */
    private fun mayRetry(request: PendingRequest, service: ServiceState, now: MonotonicTime): Boolean {
        val safeToRepeat = request.unknownReason == null || request.idempotent
        val attemptsLeft = request.attempt.value < service.policy.maxAttempts
        val untried = state.targets.of(request.service).filter { it.vm !in request.triedVms }
        val hasUntriedTarget = untried.any { state.selector.mayServe(it, now) }
        return safeToRepeat && attemptsLeft && hasUntriedTarget && state.leaseLive &&
            service.canMeetDeadline(request.deadline, now)
    }

    private fun retry(request: PendingRequest, service: ServiceState, now: MonotonicTime) {
        val target = state.selector.select(request, now)
        if (target == null) service.queue.requeue(request) else send(request, target, now)
    }

    private fun nextStart(service: ServiceState, now: MonotonicTime): Start? {
        for (request in service.queue.candidates().take(MAX_CANDIDATES)) {
            val target = state.selector.select(request, now) ?: continue
            return Start(request, target)
        }
        return null
    }

    private class Start(val request: PendingRequest, val target: Target)

    private companion object {
        const val MAX_CANDIDATES = 16
    }
}
