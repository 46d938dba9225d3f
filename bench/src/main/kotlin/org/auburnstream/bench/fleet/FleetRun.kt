package org.auburnstream.bench.fleet

import org.auburnstream.fleet.AvailabilityBudget
import org.auburnstream.fleet.DrainReport
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetInvariantChecker
import org.auburnstream.fleet.FleetPlanner
import org.auburnstream.fleet.FleetReports
import org.auburnstream.fleet.FleetResult
import org.auburnstream.fleet.FleetState
import org.auburnstream.fleet.MaintenanceWindow
import org.auburnstream.fleet.MovePolicy
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.Pool
import org.auburnstream.fleet.ServiceSpec
import org.auburnstream.fleet.VmPhase
import org.auburnstream.fleet.WavePace
import org.auburnstream.fleet.WaveSpec
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * How a run holds its buffer.
 *
 * @property ownBuffers VMs that each service holds above its target.
 * @property spares VMs of the spare pool, 0 for no spare pool.
 * @property moves chooses the moves.
 */
internal class BufferArm(
    val name: String,
    val ownBuffers: List<Int> = Targets.map { 0 },
    val spares: Int = 0,
    val moves: MovePolicy = { _, _, _ -> emptyList() },
) {
    /** VMs held above the targets of all services. */
    val buffer: Int get() = ownBuffers.sum() + spares
}

/** VMs that the five services need. */
internal val Targets: List<Int> = listOf(6, 6, 8, 9, 6)

/** What a run led to. */
internal class FleetOutcome(
    val moves: Int,
    val mostMovesOfOneVm: Int,
    val waveLength: Duration?,
    val spentShares: List<Double>,
    val planned: Duration,
    val unplanned: Duration,
    val violations: Int,
)

/** Drives the real state and planner over virtual weeks with the VMs, platform and losses of [losses]. */
internal class FleetRun(private val arm: BufferArm, private val losses: List<Loss>, private val length: Duration) {
    private val state = FleetState()
    private val checker = FleetInvariantChecker()
    private val planner = FleetPlanner(moves = arm.moves) { MonotonicTime.Zero }
    private val reports = FleetReports(MonotonicTime.Zero)
    private val vms = mutableListOf<BenchVm>()
    private val movesOf = hashMapOf<VmId, Int>()
    private val movesInWave = hashMapOf<VmId, Int>()
    private var elapsed = Duration.ZERO
    private var sequence = 0L
    private var violations = 0
    private val wave = WaveId("wave")

    private val at: Instant get() = Origin + elapsed
    private val now: MonotonicTime get() = MonotonicTime.Zero + elapsed

    fun run(waveAt: Duration?, tick: Duration = 15.seconds, calmTick: Duration = 10.minutes): FleetOutcome {
        build()
        val events = ArrayDeque(losses.sortedBy { it.at })
        var pendingWave = waveAt
        while (elapsed < length) {
            val step = if (isCalm()) calmTick else tick
            val next = listOfNotNull(events.firstOrNull()?.at, pendingWave).minOrNull() ?: length
            elapsed = if (next > elapsed) minOf(elapsed + step, next) else elapsed + step
            while (events.isNotEmpty() && events.first().at <= elapsed) strike(events.removeFirst())
            if (pendingWave != null && pendingWave <= elapsed) {
                startWave()
                pendingWave = null
            }
            turn()
        }
        return outcome()
    }

    private fun build() {
        apply(FleetCommand.RegisterDaemon(Daemon))
        Targets.forEachIndexed { number, target ->
            val service = ServiceId("service$number")
            val budget = AvailabilityBudget(allowance = length * target * ALLOWED_SHARE)
            apply(FleetCommand.DefineService(operation(), ServiceSpec(service, target, budget)))
            apply(FleetCommand.DefinePool(operation(), Pool(PoolId("pool$number"), listOf(service))))
        }
        apply(FleetCommand.DefinePool(operation(), Pool(Spare, spare = true)))
        Targets.forEachIndexed { number, target -> repeat(target) { add(PoolId("pool$number")) } }
        arm.ownBuffers.forEachIndexed { number, own -> repeat(own) { add(PoolId("pool$number")) } }
        repeat(arm.spares) { add(Spare) }
        for (pool in state.pools.keys.toList()) {
            val nightly = MaintenanceWindow(pool, null, Origin + NIGHT_START, NIGHT_LENGTH, 1.days)
            apply(FleetCommand.DeclareWindows(operation(), pool, listOf(nightly)))
        }
    }

    private fun add(pool: PoolId) {
        vms += BenchVm(vms.size, pool)
        apply(FleetCommand.RegisterVm(vms.last().announcement()))
    }

    private fun startWave() {
        val spec = WaveSpec(wave, state.pools.keys.toList(), pace = WavePace.Default)
        apply(FleetCommand.StartWave(operation(), spec))
    }

    private fun strike(loss: Loss) {
        vms.filter { loss.hits(it.number) }.forEach { it.goDown(elapsed + loss.repair) }
    }

    private fun turn() {
        for (vm in vms) {
            if (vm.upAt <= elapsed) reports.onAnnouncement(vm.announcement(), now)
        }
        reports.onDrainReport(DrainReport(Daemon, sequence++, state.revision, emptySet()))
        val plan = planner.plan(state, reports, at, now)
        plan.commands.forEach(::apply)
        plan.requests.forEach(::carryOut)
    }

    private fun carryOut(request: PlatformRequest) {
        val vm = vms.single { it.id == request.vm }
        if (request.permit == vm.permit) return
        vm.permit = request.permit
        if (request is PlatformRequest.Restart) {
            vm.goDown(elapsed + RESTART_TIME)
            apply(FleetCommand.ConfirmRestart(vm.id, request.permit))
        }
        if (request is PlatformRequest.Reassign) {
            vm.pool = request.to
            vm.upAt = elapsed + REASSIGN_TIME
        }
    }

    private fun apply(command: FleetCommand) {
        val result = state.apply(command, at)
        if (result !is FleetResult.Applied) return
        violations += checker.observe(state, command, result).size
        val moved = command is FleetCommand.Permit && state.vms.getValue(command.vm).phase is VmPhase.Moving
        if (!moved) return
        val id = (command as FleetCommand.Permit).vm
        movesOf.merge(id, 1, Int::plus)
        if (state.waves[wave]?.endedAt == null && wave in state.waves) movesInWave.merge(id, 1, Int::plus)
    }

    private fun isCalm(): Boolean {
        val wave = state.waves[wave]
        val isMaintaining = wave != null && wave.endedAt == null && isNight()
        return !isMaintaining && state.vms.values.all { it.phase is VmPhase.Active } && vms.all { it.upAt <= elapsed }
    }

    private fun isNight(): Boolean = state.windowsOf(Spare).any { it.isOpen(at) }

    private fun outcome(): FleetOutcome {
        val budgets = state.services.mapNotNull { state.budgetOf(it, at) }
        val done = state.waves[wave]
        return FleetOutcome(
            moves = movesOf.values.sum(),
            mostMovesOfOneVm = movesInWave.values.maxOrNull() ?: 0,
            waveLength = done?.endedAt?.minus(done.startedAt),
            spentShares = budgets.map { it.spent.total / it.spec.budget.allowance },
            planned = budgets.fold(Duration.ZERO) { sum, budget -> sum + budget.spent.planned },
            unplanned = budgets.fold(Duration.ZERO) { sum, budget -> sum + budget.spent.unplanned },
            violations = violations,
        )
    }

    private var operations = 0

    private fun operation() = OperationId("operation${operations++}")

    private companion object {
        val Origin: Instant = Instant.fromEpochSeconds(1_900_000_000)
        val Spare = PoolId("spare")
        val Daemon = DaemonId("daemon")
        val NIGHT_START = 22.hours
        val NIGHT_LENGTH = 4.hours
        val RESTART_TIME = 10.minutes
        val REASSIGN_TIME = 60.seconds
        const val ALLOWED_SHARE = 0.001
    }
}

private const val DATA_CENTRES = 3

private class BenchVm(val number: Int, var pool: PoolId) {
    val id = VmId("vm$number")
    var upAt = Duration.ZERO
    var permit = org.auburnstream.fleet.FleetRevision.Zero
    private var incarnation = 1L

    fun goDown(until: Duration) {
        upAt = maxOf(upAt, until)
        incarnation++
    }

    fun announcement() = Announcement(
        vm = id,
        incarnation = incarnation,
        dataCentre = DataCentreId("dc${rackOf(number) % DATA_CENTRES}"),
        rack = RackId("rack${rackOf(number)}"),
        pool = pool,
        address = "10.0.0.$number",
        port = 80,
    )
}
