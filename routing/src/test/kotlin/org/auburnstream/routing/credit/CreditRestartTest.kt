package org.auburnstream.routing.credit

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.routing.Router
import org.auburnstream.routing.RoutingEffect
import org.auburnstream.routing.RoutingInput
import org.auburnstream.routing.RoutingSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that a restarted daemon regains its share of an idle target.
 *
 * Guards against a loss of reports: the daemon receives the announcement of the target only after the other daemons
 * have reported the target to it, and they report it only once.
 */
class CreditRestartTest {
    private val ids = listOf(DaemonId("d1"), DaemonId("d2"), DaemonId("d3"))
    private val dataCentre = DataCentreId("dc-1")
    private var now = MonotonicTime.Zero
    private var epoch = 1L
    private var view = DaemonView(0, ids.toSet(), live = emptySet(), leased = true)
    private val routers = HashMap<DaemonId, Router>()

    @Test
    fun restartedDaemonRegainsItsShareWithinSeconds() {
        for (seed in 1..20) {
            val vm = VmId("vm-$seed")
            ids.forEach(::start)
            changeView()
            run(vm, rounds = 40)
            for (id in ids) {
                start(id)
                changeView()
                run(vm, rounds = 20, withoutAnnouncementsTo = id)
                run(vm, rounds = 40)
                val slots = ids.associateWith { routers.getValue(it).targets(now).single().slots }
                assertEquals(ids.associateWith { 2 }, slots, "seed $seed: after the restart of $id")
            }
        }
    }

    private fun start(id: DaemonId) {
        val settings = RoutingSettings(leaseRequired = true)
        routers[id] =
            Router(id, dataCentre, DaemonView(0, ids.toSet(), emptySet(), true), epoch++, now, Random(1), settings)
    }

    private fun changeView() {
        view = view.copy(version = view.version + 1, live = ids.toSet())
        ids.forEach { input(it, RoutingInput.DaemonViewChanged(view)) }
    }

    private fun run(vm: VmId, rounds: Int, withoutAnnouncementsTo: DaemonId? = null) {
        repeat(rounds) {
            now += 100.milliseconds
            for (id in ids) {
                input(id, RoutingInput.SettingsLeaseRenewed(now + 3.seconds))
                if (id != withoutAnnouncementsTo) input(id, RoutingInput.TargetAnnounced(announcement(vm)))
                input(id, RoutingInput.Tick)
            }
        }
    }

    private fun input(id: DaemonId, input: RoutingInput) {
        val effects = routers.getValue(id).handle(input, now)
        for (effect in effects.filterIsInstance<RoutingEffect.SendCreditMessage>()) {
            input(effect.to, RoutingInput.CreditMessageReceived(id, effect.message))
        }
    }

    private fun announcement(vm: VmId) =
        Announcement(vm, 1, dataCentre, RackId("r1"), PoolId("p1"), "127.0.0.1", 1, ServiceId("print"))
}
