package org.auburnstream.fleet

import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Guards the safety rules that are checked when a command is applied: registration, drains, permits, budgets, waves and
 * idempotent operations. A planner with an outdated state can propose commands that violate each of them.
 */
class FleetStateTest {
    private val fleet = FleetFixture()

    @Test
    fun `inconsistent announcements are refused with the matching refusal type`() {
        fleet.build()
        fun refusalOf(announcement: org.auburnstream.model.Announcement) =
            fleet.refusal(FleetCommand.RegisterVm(announcement))
        val first = announcement(0, pool(1))
        assertNull(refusalOf(first))
        assertIs<FleetRefusal.DuplicateId>(refusalOf(first.copy(address = "10.9.9.9")))
        assertIs<FleetRefusal.DuplicateId>(refusalOf(announcement(0, pool(1), incarnation = 2, rack = 9)))
        assertIs<FleetRefusal.StaleIncarnation>(refusalOf(first.copy(incarnation = 0)))
        assertEquals(FleetRefusal.WrongPool(vm(0), pool(1)), refusalOf(first.copy(pool = pool(2))))
        assertIs<FleetRefusal.UnknownPool>(refusalOf(announcement(90, pool(9))))
        assertIs<FleetRefusal.UnknownService>(refusalOf(announcement(90, pool(1)).copy(service = service(9))))
        assertIs<FleetRefusal.InvalidValue>(refusalOf(announcement(90, pool(1)).copy(vm = VmId("no id"))))
        assertNull(refusalOf(first.copy(incarnation = 2)))
    }

    @Test
    fun `a VM that was given up takes no work before it is readmitted and restarted`() {
        fleet.build()
        assertNull(fleet.refusal(FleetCommand.ReportLost(vm(0), 1)))
        assertNull(fleet.refusal(FleetCommand.GiveUpVm(fleet.operation(), vm(0))))
        val back = FleetCommand.RegisterVm(announcement(0, pool(1), incarnation = 2))
        assertIs<FleetRefusal.GivenUp>(fleet.refusal(back))
        assertIs<FleetRefusal.TooSoon>(fleet.refusal(FleetCommand.ReadmitVm(fleet.operation(), vm(0))))
        assertNull(fleet.refusal(FleetCommand.ReadmitVm(fleet.operation(), vm(0)), after = LONGEST_REQUEST))
        assertIs<FleetRefusal.RestartPending>(fleet.refusal(back))
        assertNull(fleet.returnFromRestart(0))
        assertEquals(VmPhase.Active, fleet.phase(0))
    }

    @Test
    fun `a restart needs evidence from every daemon, platform confirmation and a new incarnation`() {
        fleet.build()
        fleet.startWave()
        assertNull(fleet.drain(0))
        val partial = fleet.permit(0, FleetFixture.idleEvidence.dropLast(1))
        assertEquals(FleetRefusal.EvidenceMissing(vm(0), daemons.takeLast(1)), partial)
        val old = (fleet.phase(0) as VmPhase.Draining).drain
        assertNull(fleet.refusal(FleetCommand.CancelDrain(vm(0), old)))
        assertNull(fleet.drain(0))
        assertIs<FleetRefusal.Superseded>(fleet.refusal(FleetCommand.Permit(vm(0), old, FleetFixture.idleEvidence)))
        assertNull(fleet.permit(0))
        assertIs<FleetRefusal.RestartPending>(
            fleet.refusal(FleetCommand.RegisterVm(announcement(0, pool(1), incarnation = 2))),
        )
        assertIs<FleetRefusal.RestartPending>(fleet.returnFromRestart(0, incarnation = 1))
        assertNull(fleet.returnFromRestart(0))
        assertTrue(vm(0) in fleet.state.waves.getValue(wave).done)
    }

    @Test
    fun `a move changes the owning pool at one revision and leaves no service below target`() {
        fleet.build(spares = 2)
        val spareVm = 8
        assertIs<FleetRefusal.NotSpare>(fleet.drain(0, DrainPurpose.Move(pool(2))))
        assertNull(fleet.drain(spareVm, DrainPurpose.Move(pool(1))))
        assertTrue(vm(spareVm) in fleet.state.membersOf(spare))
        assertNull(fleet.permit(spareVm))
        assertEquals(setOf(vm(9)), fleet.state.membersOf(spare))
        assertEquals(pool(1), fleet.state.vms.getValue(vm(spareVm)).pool)
        assertIs<FleetRefusal.WrongPool>(fleet.refusal(FleetCommand.RegisterVm(announcement(spareVm, spare))))
        assertNull(fleet.refusal(FleetCommand.RegisterVm(announcement(spareVm, pool(1)))))
        assertEquals(VmPhase.Active, fleet.phase(spareVm))
        assertNull(fleet.drain(0, DrainPurpose.Move(spare)))
    }

    @Test
    fun `a planned disruption never exceeds the availability budget`() {
        fleet.build(pools = 1, size = 9, budget = AvailabilityBudget(maxShortfall = 2, allowance = 1.hours))
        fleet.startWave(pace = WavePace(maxInProgress = 6))
        assertNull(fleet.drain(0))
        assertNull(fleet.drain(3))
        assertEquals(BudgetLimit.SHORTFALL, assertIs<FleetRefusal.BudgetExceeded>(fleet.drain(6)).block.limit)
        assertNull(fleet.refusal(FleetCommand.ReportLost(vm(1), 1)))
        assertIs<FleetRefusal.BudgetExceeded>(fleet.permit(0))
        assertNull(fleet.refusal(FleetCommand.RegisterVm(announcement(1, pool(1)))))
        assertNull(fleet.permit(0))
        fleet.refusal(FleetCommand.CancelDrain(vm(3), (fleet.phase(3) as VmPhase.Draining).drain))
        assertNull(fleet.returnFromRestart(0, after = 14.minutes))
        assertNull(fleet.refusal(FleetCommand.ReportLost(vm(4), 1)))
        assertNull(fleet.refusal(FleetCommand.RegisterVm(announcement(4, pool(1))), after = 33.minutes))
        assertEquals(BudgetLimit.ALLOWANCE, assertIs<FleetRefusal.BudgetExceeded>(fleet.drain(3)).block.limit)
        val spent = fleet.state.budgetOf(service(1), fleet.now)!!.spent
        assertTrue(spent.planned >= 14.minutes && spent.unplanned >= 33.minutes, "$spent")
        fleet.now += 29.days
        assertNull(fleet.drain(3))
    }

    @Test
    fun `an overdue planned outage counts as unplanned and blocks the pool`() {
        fleet.build(pools = 2)
        fleet.startWave(listOf(pool(1), pool(2)), WavePace(maxInProgress = 9))
        assertNull(fleet.drain(0))
        assertNull(fleet.permit(0))
        val permit = (fleet.phase(0) as VmPhase.Stopped).permit
        assertIs<FleetRefusal.WrongPhase>(fleet.refusal(FleetCommand.ReportOverdue(vm(0), permit)))
        assertNull(fleet.refusal(FleetCommand.ReportOverdue(vm(0), permit), after = 1.hours))
        val spent = fleet.state.budgetOf(service(1), fleet.now)!!.spent
        assertEquals(15.minutes, spent.planned)
        assertTrue(spent.unplanned > 40.minutes)
        assertEquals(FleetRefusal.PoolHeld(pool(1), vm(0)), fleet.drain(3))
        assertNull(fleet.drain(6), "the other pool is not blocked")
    }

    @Test
    fun `waves respect windows, pace, one data centre at a time and do not overlap`() {
        fleet.build(pools = 2, size = 6, budget = AvailabilityBudget(maxShortfall = 4))
        assertNull(fleet.startWave(pace = WavePace(maxInProgress = 2, gap = 5.minutes)))
        assertIs<FleetRefusal.WaveOverlaps>(fleet.startWave(listOf(pool(1), pool(2)), id = WaveId("w2")))
        assertNull(fleet.startWave(listOf(pool(2)), id = WaveId("w3")))
        assertNull(fleet.drain(0))
        assertIs<FleetRefusal.PaceReached>(fleet.drain(3))
        fleet.now += 5.minutes
        assertIs<FleetRefusal.OtherDomainInProgress>(fleet.drain(1))
        assertNull(fleet.drain(3))
        assertNull(fleet.refusal(FleetCommand.ChangeWave(fleet.operation(), wave, WaveChange.PAUSE)))
        assertEquals(VmPhase.Active, fleet.phase(0))
        assertIs<FleetRefusal.WaveNotRunning>(fleet.drain(0))
        assertNull(fleet.refusal(FleetCommand.ChangeWave(fleet.operation(), wave, WaveChange.RESUME)))
        val soon = MaintenanceWindow(pool(1), null, fleet.now + 1.hours, 1.hours)
        assertNull(fleet.refusal(FleetCommand.DeclareWindows(fleet.operation(), pool(1), listOf(soon))))
        fleet.now += 10.minutes
        assertEquals(FleetRefusal.WindowClosed(pool(1), soon.anchor), fleet.drain(0))
        fleet.now = soon.anchor
        assertNull(fleet.drain(0))
    }

    @Test
    fun `losing a rack blocks all maintenance until it is resolved`() {
        fleet.build(pools = 2, size = 6, budget = AvailabilityBudget(maxShortfall = 6))
        fleet.startWave(listOf(pool(1), pool(2)), WavePace(maxInProgress = 4))
        assertNull(fleet.drain(1))
        assertNull(fleet.refusal(FleetCommand.ReportLost(vm(0), 1)))
        assertNull(fleet.refusal(FleetCommand.ReportLost(vm(3), 1)))
        assertIs<FleetRefusal.CorrelatedLoss>(fleet.drain(7))
        assertIs<FleetRefusal.CorrelatedLoss>(fleet.permit(1))
        assertNull(fleet.refusal(FleetCommand.StartRepair(fleet.operation(), vm(0))))
        assertNull(fleet.permit(1))
    }

    @Test
    fun `a resent operation returns its first result, also after a restore`() {
        fleet.build()
        val command = FleetCommand.GiveUpVm(fleet.operation(), vm(0))
        val first = fleet.apply(command)
        fleet.apply(FleetCommand.ReportLost(vm(0), 1))
        fleet.state = fleet.state.copy()
        assertEquals(first, fleet.apply(command))
        val reused = FleetCommand.GiveUpVm(command.operation, vm(1))
        assertEquals(FleetRefusal.OperationReused, fleet.refusal(reused))
    }

    @Test
    fun `random command sequences keep the invariants and restore from snapshots byte for byte`() {
        for (seed in 0 until SCHEDULES) {
            val random = Random(seed)
            val run = FleetFixture()
            run.build(pools = 3, size = 4, spares = 2, budget = AvailabilityBudget(2, 2.hours))
            val mirror = run.state.copy()
            repeat(STEPS) {
                val command = randomCommand(run, random)
                val at = run.now + random.nextInt(1, 400_000).milliseconds
                val expected = mirror.apply(command, at)
                assertEquals(expected, run.apply(command, at - run.now), "seed $seed")
                if (random.nextInt(20) == 0) run.state = run.state.copy()
            }
            assertContentEquals(mirror.snapshot(), run.state.snapshot(), "seed $seed")
        }
    }

    private fun randomCommand(run: FleetFixture, random: Random): FleetCommand {
        val number = random.nextInt(14)
        val known = run.state.vms.getValue(vm(number))
        val drain = (known.phase as? VmPhase.Draining)?.drain ?: FleetRevision(random.nextLong(90))
        val permit =
            when (val phase = known.phase) {
                is VmPhase.Stopped -> phase.permit
                is VmPhase.Moving -> phase.permit
                else -> FleetRevision(random.nextLong(90))
            }
        val anyPool = run.state.pools.keys.random(random)
        return when (random.nextInt(16)) {
            0 -> FleetCommand.StartWave(run.operation(), WaveSpec(wave, listOf(anyPool), pace = WavePace(3)))
            1 -> FleetCommand.ChangeWave(run.operation(), wave, WaveChange.entries.random(random))
            2, 3 -> FleetCommand.StartDrain(known.id, DrainPurpose.Maintenance(wave))
            4, 5 -> FleetCommand.StartDrain(known.id, DrainPurpose.Move(anyPool))
            6, 7, 8 -> FleetCommand.Permit(known.id, drain, FleetFixture.idleEvidence)
            9 -> FleetCommand.CancelDrain(known.id, drain)
            10 -> FleetCommand.ReportLost(known.id, known.incarnation)
            11 -> FleetCommand.ReportOverdue(known.id, permit)
            12 -> FleetCommand.ConfirmRestart(known.id, permit)
            13 -> FleetCommand.ReadmitVm(run.operation(), known.id)
            14 -> FleetCommand.GiveUpVm(run.operation(), known.id)
            else -> {
                val incarnation = known.incarnation + random.nextInt(2)
                FleetCommand.RegisterVm(announcement(number, known.pool, incarnation))
            }
        }
    }

    private companion object {
        const val SCHEDULES = 200
        const val STEPS = 120
    }
}
