package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.DaemonView
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RouterTest {
    private val self = DaemonId("d1")
    private val vm = VmId("vm-1")
    private val service = ServiceId("orders")
    private val centre = DataCentreId("dc-1")
    private val router =
        Router(self, centre, DaemonView(0, setOf(self)), epoch = 1, start = at(Duration.ZERO), random = Random(1))

    @Test
    fun targetThatExpiredStaysBusyUntilItsRequestEnds() {
        router.handle(RoutingInput.Announced(announcement()), at(1.seconds))
        val arrival = RoutingInput.RequestArrived(Ticket(1), service, deadline = at(20.seconds))
        val send = assertIs<RoutingEffect.Send>(router.handle(arrival, at(1.seconds)).single())

        router.handle(RoutingInput.Tick, at(9.seconds))
        assertEquals(emptyList(), router.targets(at(9.seconds)))
        assertEquals(setOf(vm), router.busyVms())

        val end = RoutingInput.ExchangeEnded(Ticket(1), send.attempt, ExchangeResult.Answered())
        router.handle(end, at(10.seconds))
        assertEquals(emptySet(), router.busyVms())
    }

    @Test
    fun requestIsNotHeldWhileTheDaemonGetsNoSlots() {
        val view = DaemonView(0, setOf(self), live = emptySet(), leased = true)
        val router = Router(self, centre, view, epoch = 1, start = at(Duration.ZERO), random = Random(1))
        router.handle(RoutingInput.Announced(announcement()), at(1.seconds))
        val arrival = RoutingInput.RequestArrived(Ticket(1), service, deadline = at(20.seconds))
        assertEquals(emptyList(), router.handle(arrival, at(1.seconds)))

        val effects = (11..20).flatMap { tenths ->
            router.handle(RoutingInput.Announced(announcement()), at(100.milliseconds * tenths))
            router.handle(RoutingInput.Tick, at(100.milliseconds * tenths))
        }

        val complete = assertIs<RoutingEffect.Complete>(effects.single())
        val result = assertIs<RequestResult.NotRun>(complete.result)
        assertEquals(NotRunReason.NO_TARGET, result.reason)
        assertTrue(result.retryAfter.isPositive())
    }

    private fun announcement() = Announcement(
        vm = vm,
        incarnation = 1,
        dataCentre = centre,
        rack = RackId("rack-1"),
        pool = PoolId("pool-1"),
        address = "127.0.0.1",
        port = 1,
        service = service,
    )

    private fun at(time: Duration) = MonotonicTime.Zero + time
}
