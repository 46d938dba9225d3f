package org.auburnstream.routing

import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.DaemonView
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates daemons, their targets, callers and the leases of the control group in virtual time. */
class RoutingSimulation(
    val seed: Int,
    daemonCount: Int = 6,
    targetCount: Int = 4,
    private val settings: RoutingSettings = Settings,
    private val runTime: (Random) -> Duration = { it.nextInt(5, 400).milliseconds },
) {
    val random = Random(seed)
    val events = EventQueue()
    val oracle = RequestOracle(seed)
    val services = listOf(ServiceId("print"), ServiceId("proof"))
    val targets =
        List(targetCount) {
            SimulatedTarget(VmId("vm-$it"), services[it % 2], DataCentreId("dc${it % 3}"), slots = 8)
        }
    private val ids = List(daemonCount) { DaemonId("d$it") }.toSet()
    private var view = DaemonView(version = 1, configured = ids, live = ids, leased = true)
    private val leaseEnds = ids.associateWith { events.now + LEASE }.toMutableMap()
    val daemons = ids.mapIndexed { index, id -> SimulatedDaemon(id, DataCentreId("dc${index % 3}")) }
    var creditLoss = 0.0
    var targetFault: (SimulatedTarget) -> TargetFault = { TargetFault.NONE }
    var maxConnections = 0
        private set

    init {
        daemons.forEach { it.start() }
        every(250.milliseconds) { renewLeases() }
        every(500.milliseconds) { announceAll() }
        announceAll()
    }

    fun run(length: Duration) {
        events.runUntil(events.now + length)
    }

    fun every(interval: Duration, action: () -> Unit) {
        events.after(interval) {
            action()
            every(interval, action)
        }
    }

    /** Submits a request to [daemon]; all parameters default to random values. */
    fun submitRequest(
        daemon: SimulatedDaemon = daemons.filter { it.up }.random(random),
        service: ServiceId = services.random(random),
        urgency: Urgency = Urgency.entries.random(random),
        deadline: Duration = random.nextInt(50, 4000).milliseconds,
        idempotent: Boolean = random.nextInt(3) == 0,
    ): TestRequest {
        val request = TestRequest(oracle.requests.size, idempotent, events.now, events.now + deadline)
        oracle.requests += request
        daemon.receive(request, service, urgency, TeamId("team-${random.nextInt(3)}"))
        return request
    }

    private fun announceAll() {
        for (target in targets.filter { it.announcing && !it.down }) {
            for (daemon in daemons) daemon.input { RoutingInput.TargetAnnounced(target.announcement()) }
        }
    }

    /** Renews the leases of the reachable daemons and excludes daemons with expired leases from the view. */
    private fun renewLeases() {
        for (daemon in daemons.filter { it.up && !it.partitioned }) {
            leaseEnds[daemon.id] = events.now + LEASE
            val until = events.now + LEASE
            daemon.input { RoutingInput.SettingsLeaseRenewed(until) }
        }
        val live = ids.filter { leaseEnds.getValue(it) > events.now }.toSet()
        if (live != view.live) view = view.copy(version = view.version + 1, live = live)
        val current = view
        for (daemon in daemons.filter { !it.partitioned }) {
            events.after(random.nextInt(1, 400).milliseconds) {
                daemon.input { RoutingInput.DaemonViewChanged(current) }
            }
        }
    }

    private fun checkLimits() {
        maxConnections = maxOf(maxConnections, targets.maxOf { target -> daemons.sumOf { it.openExchanges(target) } })
    }

    /** Daemon with its router, which the test can kill, freeze, restart or partition from the network. */
    inner class SimulatedDaemon(val id: DaemonId, private val dataCentre: DataCentreId) {
        private var router = newRouter(epoch = 0)
        private var epoch = 0L
        private val running = HashMap<Ticket, Exchange>()
        private val requests = HashMap<Ticket, TestRequest>()
        private val inputsWhileFrozen = ArrayDeque<() -> RoutingInput>()
        private var lastTicket = 0L
        var up = true
            private set
        var frozen = false
            private set
        var partitioned = false

        fun start() {
            every(settings.tick) { input { RoutingInput.Tick } }
            input { RoutingInput.DaemonViewChanged(view) }
            if (settings.leaseRequired) input { RoutingInput.SettingsLeaseRenewed(events.now + LEASE) }
        }

        fun openExchanges(target: SimulatedTarget): Int = running.values.count { it.target === target }

        fun receive(request: TestRequest, service: ServiceId, urgency: Urgency, team: TeamId) {
            val ticket = Ticket(++lastTicket)
            requests[ticket] = request
            request.frozen = frozen
            input {
                RoutingInput.RequestArrived(
                    ticket,
                    service,
                    request.deadline,
                    team,
                    urgency,
                    request.idempotent,
                    bytes = 100,
                )
            }
        }

        fun disconnectCaller(request: TestRequest) {
            val ticket = requests.entries.firstOrNull { it.value === request }?.key ?: return
            request.resultNotExpected = true
            input { RoutingInput.CallerDisconnected(ticket) }
        }

        fun kill() {
            up = false
            inputsWhileFrozen.clear()
            requests.values.forEach { it.resultNotExpected = true }
            requests.clear()
            running.values.forEach { it.target.end(it) }
            running.clear()
            frozen = false
        }

        fun restart() {
            if (up) return
            up = true
            router = newRouter(++epoch)
            input { RoutingInput.DaemonViewChanged(view) }
        }

        fun freeze() {
            frozen = true
            requests.values.forEach { it.frozen = true }
        }

        fun thaw() {
            frozen = false
            while (inputsWhileFrozen.isNotEmpty() && !frozen) input(inputsWhileFrozen.removeFirst())
        }

        fun input(make: () -> RoutingInput) {
            if (!up) return
            if (frozen) {
                inputsWhileFrozen += make
                return
            }
            router.handle(make(), events.now).forEach(::apply)
            checkLimits()
        }

        private fun newRouter(epoch: Long) =
            Router(id, dataCentre, view.copy(version = 0, live = emptySet()), epoch, events.now, Random(seed), settings)

        private fun apply(effect: RoutingEffect) {
            when (effect) {
                is RoutingEffect.Send -> send(effect)
                is RoutingEffect.Complete -> {
                    val request = requests.remove(effect.ticket) ?: return
                    if (!request.resultNotExpected) oracle.completed(request, effect.result, events.now)
                }

                is RoutingEffect.Abort -> running[effect.ticket]?.let { end(it, UnknownReason.CONNECTION_LOST.lost()) }
                is RoutingEffect.SendCreditMessage -> {
                    val copies = if (random.nextDouble() < creditLoss) random.nextInt(2) * 2 else 1
                    val to = daemons.first { it.id == effect.to }
                    if (partitioned || to.partitioned) return
                    repeat(copies) {
                        events.after(random.nextInt(1, 30).milliseconds) {
                            to.input { RoutingInput.CreditMessageReceived(id, effect.message) }
                        }
                    }
                }

                is RoutingEffect.CloseIdleConnections, is RoutingEffect.RefuseAnnouncement -> Unit
            }
        }

        private fun send(send: RoutingEffect.Send) {
            val request = requests.getValue(send.ticket)
            val target = targets.first { it.vm == send.vm }
            val exchange = Exchange(send, request, target)
            if (!target.mayReceiveWork(events.now, within = 3.seconds)) {
                oracle.fault(request, "was sent to a target that had left")
            }
            if (events.now > request.deadline) oracle.fault(request, "was sent after its deadline")
            check(send.attempt.value == ++request.sends) { "attempt ${send.attempt} of request ${request.number}" }
            running[send.ticket] = exchange
            if (openExchanges(target) > send.connections) {
                oracle.fault(request, "exceeds ${send.connections} connections")
            }
            when (val fault = if (target.down) TargetFault.UNREACHABLE else targetFault(target)) {
                TargetFault.UNREACHABLE -> scheduleOnDaemon(1.milliseconds) { end(exchange, ExchangeResult.NotSent()) }
                TargetFault.REFUSES -> scheduleOnDaemon(1.milliseconds) { end(exchange, ExchangeResult.Refused()) }
                else -> run(exchange, fault)
            }
            scheduleOnDaemon(request.deadline - events.now) { end(exchange, UnknownReason.DEADLINE_EXCEEDED.lost()) }
        }

        private fun run(exchange: Exchange, fault: TargetFault) {
            exchange.request.executions++
            exchange.target.start(exchange)
            events.after(exchange.request.deadline - events.now) { exchange.target.end(exchange) }
            if (fault == TargetFault.HANGS) return
            val time = if (fault == TargetFault.FAILS) 1.milliseconds else runTime(random)
            events.after(time) {
                exchange.target.end(exchange)
                scheduleOnDaemon(random.nextInt(1, 5).milliseconds) {
                    if (fault == TargetFault.LOSES_ANSWER) {
                        end(exchange, UnknownReason.CONNECTION_LOST.lost())
                    } else {
                        end(exchange, ExchangeResult.Answered(failed = fault == TargetFault.FAILS))
                    }
                }
            }
        }

        /** Reports the end of [exchange], sometimes twice; the router must ignore a duplicate report. */
        private fun end(exchange: Exchange, result: ExchangeResult) {
            val ticket = exchange.send.ticket
            if (running[ticket] !== exchange) return
            running.remove(ticket)
            exchange.target.end(exchange)
            if (result is ExchangeResult.Answered) exchange.request.answeredRequest = exchange.request.number
            input { RoutingInput.ExchangeEnded(ticket, exchange.send.attempt, result) }
            if (random.nextInt(10) == 0) input { RoutingInput.ExchangeEnded(ticket, exchange.send.attempt, result) }
        }

        /** Schedules an action of the daemon process: deferred while it is frozen, dropped if it is killed. */
        private fun scheduleOnDaemon(delay: Duration, action: () -> Unit) {
            val startEpoch = epoch
            events.after(delay) {
                when {
                    !up || startEpoch != epoch -> Unit
                    frozen -> scheduleOnDaemon(10.milliseconds, action)
                    else -> action()
                }
            }
        }
    }

    private class Exchange(val send: RoutingEffect.Send, val request: TestRequest, val target: SimulatedTarget)

    private fun UnknownReason.lost() = ExchangeResult.Lost(this)

    companion object {
        val LEASE = 2.seconds

        /** Deadlines are within the maximum exchange time, so that credits of failed daemons return within a run. */
        val Settings =
            RoutingSettings(
                leaseRequired = true,
                tick = 25.milliseconds,
                credit = CreditSettings(maxExchangeTime = 4.seconds),
            )
    }
}
