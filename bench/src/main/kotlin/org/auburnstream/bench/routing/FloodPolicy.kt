package org.auburnstream.bench.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings
import org.auburnstream.routing.ExchangeResult
import org.auburnstream.routing.RequestResult
import org.auburnstream.routing.Router
import org.auburnstream.routing.RoutingEffect
import org.auburnstream.routing.RoutingInput
import org.auburnstream.routing.RoutingSettings
import org.auburnstream.routing.Ticket
import org.auburnstream.routing.credit.DaemonView
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Way of treating the load that the experiment compares. */
internal interface FloodPolicy {
    /** Takes a request; [onStart] and then [onEnd] follow, or [onEnd] alone if it is not run. */
    fun arrive(request: FloodRequest, onStart: () -> Unit, onEnd: (FloodEnd) -> Unit)
}

/** How a request ended for its caller. */
internal enum class FloodEnd { ANSWERED, REFUSED, LOST }

/**
 * First come, first served: one queue for all services without bound or deadline check, and no limit but the slots.
 *
 * The head of the queue waits for a slot of its service, and everything behind it waits with it.
 */
internal class SharedFifo(private val load: FloodLoad, private val time: VirtualTime) : FloodPolicy {
    private class Waiting(val request: FloodRequest, val onStart: () -> Unit, val onEnd: (FloodEnd) -> Unit) {
        var arrived = MonotonicTime.Zero
    }

    private val free = IntArray(load.workers.size) { load.workers[it] * load.slots }
    private val queue = ArrayDeque<Waiting>()

    override fun arrive(request: FloodRequest, onStart: () -> Unit, onEnd: (FloodEnd) -> Unit) {
        queue += Waiting(request, onStart, onEnd).also { it.arrived = time.now }
        startAll()
    }

    private fun startAll() {
        while (queue.isNotEmpty() && free[queue.first().request.service] > 0) {
            val next = queue.removeFirst()
            free[next.request.service]--
            next.onStart()
            time.after(next.request.runTime) {
                free[next.request.service]++
                next.onEnd(if (time.now <= next.arrived + load.deadline) FloodEnd.ANSWERED else FloodEnd.LOST)
                startAll()
            }
        }
    }
}

/** Static limits: each daemon has a fixed part of each pool's slots and a fixed queue, and knows no deadlines. */
internal class StaticLimits(private val load: FloodLoad, private val time: VirtualTime) : FloodPolicy {
    private val parts =
        List(load.daemons) { IntArray(load.workers.size) { load.workers[it] * (load.slots / load.daemons) } }
    private val queues = List(load.daemons) { List(load.workers.size) { ArrayDeque<() -> Unit>() } }

    override fun arrive(request: FloodRequest, onStart: () -> Unit, onEnd: (FloodEnd) -> Unit) {
        val arrived = time.now
        val queue = queues[request.daemon][request.service]
        if (queue.size >= QUEUED) return onEnd(FloodEnd.REFUSED)
        queue += {
            onStart()
            time.after(request.runTime) {
                parts[request.daemon][request.service]++
                onEnd(if (time.now <= arrived + load.deadline) FloodEnd.ANSWERED else FloodEnd.LOST)
                startAll(request)
            }
        }
        startAll(request)
    }

    private fun startAll(request: FloodRequest) {
        val queue = queues[request.daemon][request.service]
        val free = parts[request.daemon]
        while (queue.isNotEmpty() && free[request.service] > 0) {
            free[request.service]--
            queue.removeFirst()()
        }
    }

    private companion object {
        const val QUEUED = 1024
    }
}

/**
 * The product's routers, one for each daemon, with messages about credits that take time on the way.
 *
 * @param deathAt when the first daemon dies, or null; its callers then come to the others.
 */
internal class Routers(
    private val load: FloodLoad,
    private val time: VirtualTime,
    private val random: Random,
    leasing: Boolean,
    deathAt: Duration? = null,
) : FloodPolicy {
    private class FloodExchange(
        val daemon: Int,
        val request: FloodRequest,
        val deadline: MonotonicTime,
        val onStart: () -> Unit,
        val onEnd: (FloodEnd) -> Unit,
    )

    private val settings = RoutingSettings(credit = CreditSettings(leasing = leasing))
    private val ids = List(load.daemons) { DaemonId("daemon-$it") }
    private val view = DaemonView(version = 1, configured = ids.toSet())
    private val nodes =
        ids.map { Router(it, DataCentreId("dc-1"), view, epoch = 1, time.now, Random(random.nextLong()), settings) }
    private val inProgress = HashMap<Ticket, FloodExchange>()
    private var tickets = 0L
    private var firstAlive = 0

    init {
        announce()
        deathAt?.let { time.after(it) { killFirst() } }
        time.every(1000.milliseconds) { announce() }
        time.every(settings.tick) { nodes.indices.forEach { input(it, RoutingInput.Tick) } }
    }

    override fun arrive(request: FloodRequest, onStart: () -> Unit, onEnd: (FloodEnd) -> Unit) {
        val ticket = Ticket(++tickets)
        val deadline = time.now + load.deadline
        val daemon = if (request.daemon >= firstAlive) request.daemon else random.nextInt(firstAlive, ids.size)
        inProgress[ticket] = FloodExchange(daemon, request, deadline, onStart, onEnd)
        val service = load.services[request.service]
        val arrival =
            RoutingInput.RequestArrived(ticket, service, deadline, request.team, request.urgency, bytes = REQUEST_BYTES)
        input(daemon, arrival)
    }

    private fun killFirst() {
        firstAlive = 1
        val lost = inProgress.entries.filter { it.value.daemon == 0 }
        lost.forEach { (ticket, request) ->
            inProgress.remove(ticket)
            request.onEnd(FloodEnd.LOST)
        }
    }

    private fun announce() {
        for (announcement in announcements()) {
            nodes.indices.forEach { input(it, RoutingInput.TargetAnnounced(announcement)) }
        }
    }

    private fun announcements(): List<Announcement> = load.workers.flatMapIndexed { service, workers ->
        List(workers) {
            Announcement(
                vm = VmId("vm-$service-$it"),
                incarnation = 1,
                dataCentre = DataCentreId("dc-1"),
                rack = RackId("rack-1"),
                pool = PoolId("pool-$service"),
                address = "10.0.$service.$it",
                port = 80,
                service = load.services[service],
                slots = load.slots,
            )
        }
    }

    private fun input(daemon: Int, input: RoutingInput) {
        if (daemon < firstAlive) return
        nodes[daemon].handle(input, time.now).forEach { carryOut(daemon, it) }
    }

    private fun carryOut(daemon: Int, effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.Send -> send(daemon, effect)
            is RoutingEffect.Complete -> inProgress.remove(effect.ticket)?.let { it.onEnd(end(effect.result)) }
            is RoutingEffect.SendCreditMessage -> {
                val to = ids.indexOf(effect.to)
                time.after(PEER_DELAY) { input(to, RoutingInput.CreditMessageReceived(ids[daemon], effect.message)) }
            }

            else -> Unit
        }
    }

    private fun send(daemon: Int, send: RoutingEffect.Send) {
        val exchange = inProgress.getValue(send.ticket)
        exchange.onStart()
        val inTime = time.now + exchange.request.runTime <= exchange.deadline
        val length = if (inTime) exchange.request.runTime else exchange.deadline - time.now
        val result =
            if (inTime) ExchangeResult.Answered() else ExchangeResult.Lost(UnknownReason.DEADLINE_EXCEEDED)
        time.after(length) { input(daemon, RoutingInput.ExchangeEnded(send.ticket, send.attempt, result)) }
    }

    private fun end(result: RequestResult): FloodEnd = when (result) {
        RequestResult.Answered -> FloodEnd.ANSWERED
        is RequestResult.NotRun -> FloodEnd.REFUSED
        is RequestResult.Unknown -> FloodEnd.LOST
    }

    private companion object {
        const val REQUEST_BYTES = 1024
        val PEER_DELAY: Duration = 1.milliseconds
    }
}
