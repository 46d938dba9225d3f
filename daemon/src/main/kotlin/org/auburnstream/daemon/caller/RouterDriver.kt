package org.auburnstream.daemon.caller

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.auburnstream.daemon.launchRestarting
import org.auburnstream.daemon.target.ExchangeReport
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.daemon.target.TargetGateway
import org.auburnstream.daemon.target.TargetRequest
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Outcome
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.VmId
import org.auburnstream.routing.ExchangeResult
import org.auburnstream.routing.RequestResult
import org.auburnstream.routing.Router
import org.auburnstream.routing.RoutingEffect
import org.auburnstream.routing.RoutingInput
import org.auburnstream.routing.ServiceLoad
import org.auburnstream.routing.TargetLoad
import org.auburnstream.routing.Ticket
import org.auburnstream.routing.credit.CreditMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs a [Router]: feeds it inputs one at a time and carries out its effects.
 *
 * Each request runs in its caller's coroutine, so cancelling that coroutine closes the connection of its exchange.
 * Safe for concurrent use.
 *
 * @param sendCredit sends a message to another daemon, best effort, without blocking.
 * @param tick time between two [RoutingInput.Tick] while requests are pending.
 * @param idleTick time between two of them otherwise; bounds how late an expired target or credit is noticed.
 */
public class RouterDriver(
    private val router: Router,
    private val gateway: TargetGateway,
    private val clock: () -> MonotonicTime,
    private val sendCredit: (DaemonId, CreditMessage) -> Unit = { _, _ -> },
    private val hops: HopTracer = HopTracer.None,
    private val tick: Duration,
    private val idleTick: Duration = 100.milliseconds,
) {
    private val lock = Any()
    private val waiting = HashMap<Ticket, Channel<RoutingEffect>>()
    private var lastTicket = 0L

    /** Sends the ticks until [scope] is cancelled. */
    public fun start(scope: CoroutineScope): Job = scope.launchRestarting("router ticks") {
        while (true) {
            delay(if (isIdle) idleTick else tick)
            input(RoutingInput.Tick)
            gateway.closeIdle()
        }
    }

    private val isIdle: Boolean get() = synchronized(lock) { router.pending == 0 }

    /** Load of this daemon by service. */
    public fun load(): List<ServiceLoad> = synchronized(lock) { router.load() }

    /** The targets that this daemon knows. */
    public fun targets(): List<TargetLoad> = synchronized(lock) { router.targets(clock()) }

    /** The VMs that run requests of this daemon, also those that it has given up as targets. */
    public fun busyVms(): Set<VmId> = synchronized(lock) { router.busyVms() }

    /** Takes in an event other than a request. */
    public fun input(input: RoutingInput) {
        synchronized(lock) {
            router.handle(input, clock()).forEach(::carryOut)
        }
    }

    /** Takes in the announcement of a target; returns the newest known incarnation if this one is outdated. */
    public fun announce(announcement: Announcement): Long? = synchronized(lock) {
        val effects = router.handle(RoutingInput.TargetAnnounced(announcement), clock())
        effects.forEach(::carryOut)
        effects.filterIsInstance<RoutingEffect.RefuseAnnouncement>().firstOrNull()?.newest
    }

    /** Brings [request] to its outcome; see [RequestHandler]. */
    public suspend fun handle(request: CallerRequest, stream: suspend (TargetAnswer) -> Unit): Outcome<TargetAnswer> {
        val inbox = Channel<RoutingEffect>(Channel.UNLIMITED)
        val ticket = enter(request, inbox)
        val whole = hops.start(Hop.CALLER, request.id, request.traceparent)
        val parent = whole.traceparent ?: request.traceparent
        var finished = false
        try {
            val outcome = outcome(request, ticket, inbox, parent, stream)
            finished = true
            return outcome
        } finally {
            whole.end()
            if (!finished) leave(ticket)
            synchronized(lock) { waiting.remove(ticket) }
        }
    }

    private suspend fun outcome(
        request: CallerRequest,
        ticket: Ticket,
        inbox: Channel<RoutingEffect>,
        parent: String?,
        stream: suspend (TargetAnswer) -> Unit,
    ): Outcome<TargetAnswer> {
        var answer: TargetAnswer? = null
        while (true) {
            val effect = awaitEffect(request, inbox, parent)
            if (effect is RoutingEffect.Complete) return outcome(effect.result, answer)
            if (effect !is RoutingEffect.Send) continue
            val report = exchange(request, effect, parent, stream)
            if (report is ExchangeReport.Answered) answer = report.answer
            input(RoutingInput.ExchangeEnded(ticket, effect.attempt, report.result()))
        }
    }

    private suspend fun awaitEffect(
        request: CallerRequest,
        inbox: Channel<RoutingEffect>,
        parent: String?,
    ): RoutingEffect {
        inbox.tryReceive().getOrNull()?.let { return it }
        val span = hops.start(Hop.QUEUE, request.id, parent)
        try {
            return inbox.receive()
        } finally {
            span.end()
        }
    }

    private fun enter(request: CallerRequest, inbox: Channel<RoutingEffect>): Ticket = synchronized(lock) {
        val ticket = Ticket(++lastTicket)
        waiting[ticket] = inbox
        val arrival =
            RoutingInput.RequestArrived(
                ticket = ticket,
                service = request.service,
                deadline = request.deadline,
                team = request.team,
                urgency = request.urgency,
                idempotent = request.idempotent,
                bytes = request.body.size + REQUEST_OVERHEAD_BYTES,
            )
        router.handle(arrival, clock()).forEach(::carryOut)
        ticket
    }

    /** The caller is gone and its exchange, if any, was cancelled together with its coroutine. */
    private fun leave(ticket: Ticket) {
        synchronized(lock) {
            val effects = router.handle(RoutingInput.CallerDisconnected(ticket), clock())
            val abort = effects.filterIsInstance<RoutingEffect.Abort>().firstOrNull()
            effects.filterNot { it is RoutingEffect.Abort }.forEach(::carryOut)
            if (abort == null) return
            val result = ExchangeResult.Lost(UnknownReason.CONNECTION_LOST)
            router.handle(RoutingInput.ExchangeEnded(ticket, abort.attempt, result), clock()).forEach(::carryOut)
        }
    }

    private suspend fun exchange(
        request: CallerRequest,
        send: RoutingEffect.Send,
        parent: String?,
        stream: suspend (TargetAnswer) -> Unit,
    ): ExchangeReport {
        val span = hops.start(Hop.TARGET, request.id, parent)
        try {
            val forwarded =
                TargetRequest(
                    id = request.id,
                    method = request.method,
                    path = request.path,
                    headers = request.headers,
                    body = request.body,
                    traceparent = span.traceparent ?: parent,
                )
            return gateway.exchange(forwarded, send, request.deadline, stream)
        } finally {
            span.end()
        }
    }

    private fun carryOut(effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.Send -> waiting[effect.ticket]?.trySend(effect)
            is RoutingEffect.Complete -> waiting[effect.ticket]?.trySend(effect)
            is RoutingEffect.Abort, is RoutingEffect.RefuseAnnouncement -> Unit
            is RoutingEffect.CloseIdleConnections -> gateway.retire(effect.address)
            is RoutingEffect.SendCreditMessage -> sendCredit(effect.to, effect.message)
        }
    }

    private fun outcome(result: RequestResult, answer: TargetAnswer?): Outcome<TargetAnswer> = when (result) {
        RequestResult.Answered -> Outcome.Answered(checkNotNull(answer) { "answered without an answer" })
        is RequestResult.NotRun -> Outcome.NotRun(result.reason, result.retryAfter)
        is RequestResult.Unknown -> Outcome.Unknown(result.reason)
    }

    private fun ExchangeReport.result(): ExchangeResult = when (this) {
        is ExchangeReport.Answered -> ExchangeResult.Answered(failed = answer.status >= SERVER_ERROR)
        is ExchangeReport.NotSent -> ExchangeResult.NotSent(cause.unreachable)
        is ExchangeReport.Refused -> ExchangeResult.Refused(retryAfter)
        is ExchangeReport.Lost -> ExchangeResult.Lost(reason)
    }

    private companion object {
        const val REQUEST_OVERHEAD_BYTES = 1024
        const val SERVER_ERROR = 500
    }
}
