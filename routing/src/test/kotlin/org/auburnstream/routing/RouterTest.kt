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

/** Checks single decisions of the router: busy VMs, placement and requests that can no longer be served. */
class RouterTest {
    private val self = DaemonId("d1")
    private val vm = VmId("vm-1")
    private val service = ServiceId("orders")
    private val dataCentre = DataCentreId("dc-1")
    private val router =
        Router(self, dataCentre, DaemonView(0, setOf(self)), epoch = 1, start = at(Duration.ZERO), random = Random(1))

    @Test
    fun vmOfAnExpiredTargetIsBusyUntilItsRequestEnds() {
        router.handle(RoutingInput.TargetAnnounced(announcement()), at(1.seconds))
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
    fun onlyVmsPlacedForTheServiceReceiveRequests() {
        val pool = PoolId("pool-1")
        val carried = mapOf(service to setOf(pool))
        val cases =
            listOf(
                Placement(carried, mapOf(vm to pool)) to true,
                Placement(carried, mapOf(vm to pool), leaving = setOf(vm)) to false,
                Placement(carried, mapOf(vm to PoolId("pool-2"))) to false,
                Placement(carried, emptyMap()) to false,
                Placement(emptyMap(), mapOf(vm to pool)) to false,
            )
        router.handle(RoutingInput.TargetAnnounced(announcement()), at(1.seconds))
        cases.forEachIndexed { number, (placement, served) ->
            router.handle(RoutingInput.PlacementChanged(placement), at(1.seconds))
            val arrival = RoutingInput.RequestArrived(Ticket(number + 1L), service, deadline = at(20.seconds))
            val effect = router.handle(arrival, at(1.seconds)).single()
            assertEquals(served, effect is RoutingEffect.Send, "$placement: $effect")
            if (!served) assertIs<RequestResult.NotRun>(assertIs<RoutingEffect.Complete>(effect).result)
        }
    }

    @Test
    fun queuedRequestsFailImmediatelyWhenTheOnlyVmStartsLeaving() {
        val pool = PoolId("pool-1")
        val placement = Placement(mapOf(service to setOf(pool)), mapOf(vm to pool))
        router.handle(RoutingInput.TargetAnnounced(announcement()), at(1.seconds))
        router.handle(RoutingInput.PlacementChanged(placement), at(1.seconds))
        val waiting = (1L..Announcement.DEFAULT_SLOTS + 1).filter { number ->
            val arrival = RoutingInput.RequestArrived(Ticket(number), service, deadline = at(20.seconds))
            router.handle(arrival, at(1.seconds)).isEmpty()
        }

        val effects = router.handle(RoutingInput.PlacementChanged(placement.copy(leaving = setOf(vm))), at(1.seconds))

        val refused = effects.filterIsInstance<RoutingEffect.Complete>()
        assertEquals(waiting.map(::Ticket), refused.map { it.ticket })
        val reasons = refused.map { assertIs<RequestResult.NotRun>(it.result).reason }
        assertEquals(setOf(NotRunReason.NO_TARGET), reasons.toSet())
    }

    @Test
    fun queuedRequestFailsAfterMaxSlotWaitWithoutSlots() {
        val view = DaemonView(0, setOf(self), live = emptySet(), leased = true)
        val router = Router(self, dataCentre, view, epoch = 1, start = at(Duration.ZERO), random = Random(1))
        router.handle(RoutingInput.TargetAnnounced(announcement()), at(1.seconds))
        val arrival = RoutingInput.RequestArrived(Ticket(1), service, deadline = at(20.seconds))
        assertEquals(emptyList(), router.handle(arrival, at(1.seconds)))

        val effects = (11..20).flatMap { tenths ->
            router.handle(RoutingInput.TargetAnnounced(announcement()), at(100.milliseconds * tenths))
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
        dataCentre = dataCentre,
        rack = RackId("rack-1"),
        pool = PoolId("pool-1"),
        address = "127.0.0.1",
        port = 1,
        service = service,
    )

    private fun at(time: Duration) = MonotonicTime.Zero + time
}
