package org.auburnstream.fleet

import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a planner that reports VMs as lost or returned without a current announcement to support it. */
class FleetPlannerTest {
    private val fleet = FleetFixture()
    private val reports = FleetReports(MonotonicTime.Zero)
    private val planner = FleetPlanner { MonotonicTime.Zero }
    private val now get() = MonotonicTime((fleet.now - start).inWholeNanoseconds)

    private fun step(time: Duration): List<FleetCommand> {
        fleet.now += time
        val plan = planner.plan(fleet.state, reports, fleet.now, now)
        plan.commands.forEach { fleet.apply(it, Duration.ZERO) }
        return plan.commands
    }

    @Test
    fun `a lost VM stays lost until a new announcement arrives`() {
        fleet.build(pools = 1, size = 1, spares = 0)
        reports.onAnnouncement(announcement(0, pool(1)), now)
        assertEquals(listOf<FleetCommand>(FleetCommand.ReportLost(vm(0), 1)), step(15.seconds))
        assertEquals(emptyList(), step(1.seconds), "an announcement from before the loss has no effect")
        assertIs<VmPhase.Lost>(fleet.phase(0))
        reports.onAnnouncement(announcement(0, pool(1)), now)
        step(1.seconds)
        assertEquals(VmPhase.Active, fleet.phase(0))
    }

    @Test
    fun `a new leader does not count silence before its start as loss`() {
        fleet.build(pools = 1, size = 2, spares = 0)
        fleet.now += 100.seconds
        val fresh = FleetReports(now)
        fun plan() = planner.plan(fleet.state, fresh, fleet.now, now).commands
        fleet.now += 9.seconds
        assertEquals(emptyList(), plan())
        fleet.now += 2.seconds
        assertEquals(2, plan().filterIsInstance<FleetCommand.ReportLost>().size)
    }
}
