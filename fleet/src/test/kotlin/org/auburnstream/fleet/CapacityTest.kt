package org.auburnstream.fleet

import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against needless or missing moves between pools, and against wrong forecasts: short losses, maintenance waves
 * or a flapping VM must not cause repeated moves, and a lasting loss must be replaced from the spare pool.
 */
class CapacityTest {
    private val fleet = FleetFixture()
    private val planner = FleetPlanner { MonotonicTime.Zero }
    private val moves = mutableListOf<FleetCommand.StartDrain>()

    /** Plans with reports in which no VM is silent yet, and completes permitted moves at once. */
    private fun step(time: Duration) {
        fleet.now += time
        val now = MonotonicTime((fleet.now - start).inWholeNanoseconds)
        val plan = planner.plan(fleet.state, FleetReports(now), fleet.now, now)
        for (command in plan.commands) {
            if (command is FleetCommand.StartDrain && command.purpose is DrainPurpose.Move) moves += command
            fleet.apply(command, Duration.ZERO)
        }
        for (vm in fleet.state.vmsInPlannedDisruption().filter { it.phase is VmPhase.Moving }) {
            val number = vm.id.value.drop(2).toInt()
            fleet.apply(FleetCommand.RegisterVm(announcement(number, vm.pool)), Duration.ZERO)
        }
    }

    @Test
    fun `a lasting loss moves one spare VM, which returns once after the surplus hold-off`() {
        fleet.build(pools = 2, size = 4, spares = 3)
        fleet.apply(FleetCommand.ReportLost(vm(0), 1))
        repeat(10) { step(1.seconds) }
        assertTrue(moves.isEmpty(), "a loss of seconds causes no move")
        repeat(60) { step(1.seconds) }
        val move = assertIs<DrainPurpose.Move>(moves.single().purpose)
        assertEquals(MoveReason.Shortfall(service(1), 4, 3, MoveTimings.Default.lossHoldOff), move.reason)
        assertEquals(0, fleet.state.budgetOf(service(1), fleet.now)!!.shortfall)
        assertEquals(move.reason, fleet.state.vms.getValue(moves.single().vm).lastMove?.reason)
        fleet.apply(FleetCommand.RegisterVm(announcement(0, pool(1))))
        repeat(20) { step(1.minutes) }
        assertEquals(1, moves.size, "the surplus is younger than the hold-off")
        repeat(120) { step(1.minutes) }
        assertEquals(2, moves.size)
        assertIs<MoveReason.Surplus>((moves.last().purpose as DrainPurpose.Move).reason)
    }

    @Test
    fun `a wave borrows one spare VM for each pool and moves no VM twice`() {
        fleet.build(pools = 2, size = 4, spares = 2, budget = AvailabilityBudget(allowance = 1.hours))
        fleet.startWave(listOf(pool(1), pool(2)))
        repeat(300) { minute ->
            if (minute == 100) fleet.apply(FleetCommand.ReportLost(vm(5), 1))
            if (minute == 150) fleet.apply(FleetCommand.RegisterVm(announcement(5, pool(2))))
            step(1.minutes)
        }
        assertEquals(2, moves.size)
        assertTrue(moves.all { (it.purpose as DrainPurpose.Move).reason is MoveReason.WaveCover })
        assertEquals(2, moves.map { it.vm }.toSet().size)
    }

    @Test
    fun `a flapping VM causes no move, and the shared buffer is smaller than the sum of own buffers`() {
        fleet.build(pools = 3, size = 4, spares = 3)
        repeat(200) {
            fleet.apply(FleetCommand.ReportLost(vm(1), 1))
            repeat(10) { step(2.seconds) }
            fleet.apply(FleetCommand.RegisterVm(announcement(1, pool(1))))
            step(5.seconds)
        }
        assertTrue(moves.isEmpty())
        val need = BufferPlanner.requirementOf(fleet.state)
        assertTrue(need.shared < need.pools.sumOf { it.ownBuffer }, "$need")
    }

    @Test
    fun `the forecast returns the projected end or the obstacle`() {
        fleet.build(pools = 1, size = 6, budget = AvailabilityBudget(allowance = 2.hours))
        fun forecast() = MaintenanceForecaster().forecast(fleet.state, fleet.state.pools.getValue(pool(1)), fleet.now)
        fun windows(vararg windows: MaintenanceWindow) =
            fleet.apply(FleetCommand.DeclareWindows(fleet.operation(), pool(1), windows.toList()))
        val nightly = MaintenanceWindow(pool(1), null, start + 1.hours, 30.minutes, 1.days)
        windows(nightly)
        assertEquals(start + 1.hours + 2.days + 30.minutes, forecast().projectedEnd, "two VMs per night")
        assertNull(forecast().obstacle)
        windows(nightly.copy(length = 10.minutes))
        assertEquals(MaintenanceObstacle.WindowTooShort(10.minutes, 15.minutes), forecast().obstacle)
        windows(nightly.copy(dataCentre = DataCentreId("dc0")))
        assertEquals(MaintenanceObstacle.NoWindow(DataCentreId("dc1")), forecast().obstacle)
        windows(nightly.copy(period = 14.days))
        assertIs<MaintenanceObstacle.TooLittleTime>(forecast().obstacle)
        windows(nightly)
        fleet.apply(FleetCommand.ReportLost(vm(0), 1))
        fleet.apply(FleetCommand.RegisterVm(announcement(0, pool(1))), after = 1.hours)
        assertIs<MaintenanceObstacle.BudgetTooSmall>(forecast().obstacle)
    }
}
