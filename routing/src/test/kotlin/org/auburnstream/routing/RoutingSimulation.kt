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

/** Six daemons, their targets, callers and the control group's leases under virtual time. */
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
    var mostConnections = 0
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

    /** A caller's order at a random daemon that is up, with random traits. */
    fun arrive(
        daemon: SimulatedDaemon = daemons.filter { it.up }.random(random),
        service: ServiceId = services.random(random),
        urgency: Urgency = Urgency.entries.random(random),
        deadline: Duration = random.nextInt(50, 4000).milliseconds,
        idempotent: Boolean = random.nextInt(3) == 0,
    ): Order {
        val order = Order(oracle.orders.size, idempotent, events.now, events.now + deadline)
        oracle.orders += order
        daemon.receive(order, service, urgency, TeamId("team-${random.nextInt(3)}"))
        return order
    }

    private fun announceAll() {
        for (target in targets.filter { it.announcing && !it.down }) {
            for (daemon in daemons) daemon.input { RoutingInput.Announced(target.announcement()) }
        }
    }

    /** The control group renews the leases of daemons that it hears, and leaves out those whose lease ran out. */
    private fun renewLeases() {
        for (daemon in daemons.filter { it.up && !it.cutOff }) {
            leaseEnds[daemon.id] = events.now + LEASE
            val until = events.now + LEASE
            daemon.input { RoutingInput.SettingsLeaseRenewed(until) }
        }
        val live = ids.filter { leaseEnds.getValue(it) > events.now }.toSet()
        if (live != view.live) view = view.copy(version = view.version + 1, live = live)
        val current = view
        for (daemon in daemons.filter { !it.cutOff }) {
            events.after(random.nextInt(1, 400).milliseconds) {
                daemon.input { RoutingInput.DaemonsChanged(current) }
            }
        }
    }

    private fun checkLimits() {
        mostConnections = maxOf(mostConnections, targets.maxOf { target -> daemons.sumOf { it.open(target) } })
    }

    /** One daemon with its router; kills, freezes and cuts are up to the test. */
    inner class SimulatedDaemon(val id: DaemonId, private val dataCentre: DataCentreId) {
        private var router = newRouter(epoch = 0)
        private var epoch = 0L
        private val running = HashMap<Ticket, Exchange>()
        private val orders = HashMap<Ticket, Order>()
        private val whileFrozen = ArrayDeque<() -> RoutingInput>()
        private var tickets = 0L
        var up = true
            private set
        var frozen = false
            private set
        var cutOff = false

        fun start() {
            every(settings.tick) { input { RoutingInput.Tick } }
            input { RoutingInput.DaemonsChanged(view) }
            if (settings.leaseRequired) input { RoutingInput.SettingsLeaseRenewed(events.now + LEASE) }
        }

        fun open(target: SimulatedTarget): Int = running.values.count { it.target === target }

        fun receive(order: Order, service: ServiceId, urgency: Urgency, team: TeamId) {
            val ticket = Ticket(++tickets)
            orders[ticket] = order
            order.frozen = frozen
            input {
                RoutingInput.RequestArrived(
                    ticket,
                    service,
                    order.deadline,
                    team,
                    urgency,
                    order.idempotent,
                    bytes = 100,
                )
            }
        }

        fun callerLeaves(order: Order) {
            val ticket = orders.entries.firstOrNull { it.value === order }?.key ?: return
            order.dropped = true
            input { RoutingInput.CallerGone(ticket) }
        }

        fun kill() {
            up = false
            whileFrozen.clear()
            orders.values.forEach { it.dropped = true }
            orders.clear()
            running.values.forEach { it.target.end(it) }
            running.clear()
            frozen = false
        }

        fun restart() {
            if (up) return
            up = true
            router = newRouter(++epoch)
            input { RoutingInput.DaemonsChanged(view) }
        }

        fun freeze() {
            frozen = true
            orders.values.forEach { it.frozen = true }
        }

        fun thaw() {
            frozen = false
            while (whileFrozen.isNotEmpty() && !frozen) input(whileFrozen.removeFirst())
        }

        fun input(make: () -> RoutingInput) {
            if (!up) return
            if (frozen) {
                whileFrozen += make
                return
            }
            router.handle(make(), events.now).forEach(::carryOut)
            checkLimits()
        }

        private fun newRouter(epoch: Long) =
            Router(id, dataCentre, view.copy(version = 0, live = emptySet()), epoch, events.now, Random(seed), settings)

        private fun carryOut(effect: RoutingEffect) {
            when (effect) {
                is RoutingEffect.Send -> send(effect)
                is RoutingEffect.Complete -> {
                    val order = orders.remove(effect.ticket) ?: return
                    if (!order.dropped) oracle.completed(order, effect.result, events.now)
                }

                is RoutingEffect.Abort -> running[effect.ticket]?.let { end(it, UnknownReason.CONNECTION_LOST.lost()) }
                is RoutingEffect.SendCredit -> {
                    val copies = if (random.nextDouble() < creditLoss) random.nextInt(2) * 2 else 1
                    val to = daemons.first { it.id == effect.to }
                    if (cutOff || to.cutOff) return
                    repeat(copies) {
                        events.after(random.nextInt(1, 30).milliseconds) {
                            to.input { RoutingInput.CreditReceived(id, effect.message) }
                        }
                    }
                }

                is RoutingEffect.CloseIdle, is RoutingEffect.RefuseAnnouncement -> Unit
            }
        }

        private fun send(send: RoutingEffect.Send) {
            val order = orders.getValue(send.ticket)
            val target = targets.first { it.vm == send.vm }
            val exchange = Exchange(send, order, target)
            if (!target.mayGetWork(events.now, within = 3.seconds)) oracle.fault(order, "went to a target that left")
            if (events.now > order.deadline) oracle.fault(order, "was sent after its deadline")
            check(send.attempt.value == ++order.sends) { "attempt ${send.attempt} of order ${order.number}" }
            running[send.ticket] = exchange
            if (open(target) > send.connections) oracle.fault(order, "exceeds ${send.connections} connections")
            when (val fault = if (target.down) TargetFault.UNREACHABLE else targetFault(target)) {
                TargetFault.UNREACHABLE -> later(1.milliseconds) { end(exchange, ExchangeResult.NotSent()) }
                TargetFault.REFUSES -> later(1.milliseconds) { end(exchange, ExchangeResult.Refused()) }
                else -> run(exchange, fault)
            }
            later(order.deadline - events.now) { end(exchange, UnknownReason.DEADLINE_EXCEEDED.lost()) }
        }

        private fun run(exchange: Exchange, fault: TargetFault) {
            exchange.order.executions++
            exchange.target.start(exchange)
            events.after(exchange.order.deadline - events.now) { exchange.target.end(exchange) }
            if (fault == TargetFault.HANGS) return
            val time = if (fault == TargetFault.FAILS) 1.milliseconds else runTime(random)
            events.after(time) {
                exchange.target.end(exchange)
                later(random.nextInt(1, 5).milliseconds) {
                    if (fault == TargetFault.LOSES_ANSWER) {
                        end(exchange, UnknownReason.CONNECTION_LOST.lost())
                    } else {
                        end(exchange, ExchangeResult.Answered(failed = fault == TargetFault.FAILS))
                    }
                }
            }
        }

        /** Reports the end of [exchange] once; a doubled report of an attempt must change nothing. */
        private fun end(exchange: Exchange, result: ExchangeResult) {
            val ticket = exchange.send.ticket
            if (running[ticket] !== exchange) return
            running.remove(ticket)
            exchange.target.end(exchange)
            if (result is ExchangeResult.Answered) exchange.order.answeredBy = exchange.order.number
            input { RoutingInput.ExchangeEnded(ticket, exchange.send.attempt, result) }
            if (random.nextInt(10) == 0) input { RoutingInput.ExchangeEnded(ticket, exchange.send.attempt, result) }
        }

        /** What a process does itself waits while it is frozen, and is lost when it is killed. */
        private fun later(delay: Duration, action: () -> Unit) {
            val life = epoch
            events.after(delay) {
                when {
                    !up || life != epoch -> Unit
                    frozen -> later(10.milliseconds, action)
                    else -> action()
                }
            }
        }
    }

    private class Exchange(val send: RoutingEffect.Send, val order: Order, val target: SimulatedTarget)

    private fun UnknownReason.lost() = ExchangeResult.Lost(this)

    companion object {
        val LEASE = 2.seconds

        /** Deadlines stay below the longest exchange, so that credits of the dead come back within a schedule. */
        val Settings =
            RoutingSettings(
                leaseRequired = true,
                tick = 25.milliseconds,
                credit = CreditSettings(longestExchange = 4.seconds),
            )
    }
}
