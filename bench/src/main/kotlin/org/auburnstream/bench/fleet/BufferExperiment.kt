package org.auburnstream.bench.fleet

import org.auburnstream.fleet.MovePlanner
import org.auburnstream.fleet.MoveTimings
import org.auburnstream.fleet.Pool
import kotlin.random.Random
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * One way to hold the buffer, over four weeks.
 *
 * @property bufferVmHours VM-hours held above the targets.
 * @property worstSpentShare most that any service spent of its budget in any run; 1 is all of it.
 * @property isBudgetKept true if no service exceeded its budget and every wave ended.
 * @property waveHours longest wave, or null if one did not end.
 * @property plannedViolations planned acts that broke a budget.
 */
public data class BufferRow(
    val policy: String,
    val bufferVms: Int,
    val bufferVmHours: Double,
    val isBudgetKept: Boolean,
    val worstSpentShare: Double,
    val plannedVmHours: Double,
    val unplannedVmHours: Double,
    val moves: Int,
    val mostMovesOfOneVmInWave: Int,
    val waveHours: Double?,
    val plannedViolations: Int,
)

/** Moves in two hours of bursts, where each service in turn asks for five times its mean for some seconds. */
public data class BurstRow(val policy: String, val bufferVms: Int, val moves: Int)

/**
 * Compares a shared spare pool with a fixed buffer for each service and with undamped moves.
 *
 * Each way gets the smallest buffer with which every service keeps the same budget under the same losses: single VMs
 * at the target rate, one rack, and one maintenance wave, in every seeded run.
 */
public object BufferExperiment {
    private const val RUNS = 12
    private const val MAX_SPARES = 8
    private const val MAX_OWN_BUFFER = 3
    private val Length = 28.days
    private val WaveAt = 7.days

    /** Runs every way on the same seeded losses. */
    public fun run(seed: Long): List<BufferRow> {
        val losses = (0 until RUNS).map { LossSchedule.of(Length, Random(seed * RUNS + it)) }
        val shared = (0..MAX_SPARES).asSequence().map { row(sharedArm(it), losses) }.untilKept()
        val fixed = fixedRows(losses)
        val greedy = row(greedyArm(shared.last().bufferVms), losses)
        return shared + fixed + greedy
    }

    /** Gives each service that exceeds its budget one VM more until none does. */
    private fun fixedRows(losses: List<List<Loss>>): List<BufferRow> {
        val rows = mutableListOf<BufferRow>()
        var own = Targets.map { 0 }
        while (own.max() <= MAX_OWN_BUFFER) {
            val arm = BufferArm("fixed buffer per service", own)
            val outcomes = runsOf(arm, losses)
            rows += rowOf(arm, outcomes)
            if (rows.last().isBudgetKept) break
            val worst = Targets.indices.map { service -> outcomes.maxOf { it.spentShares[service] } }
            own =
                own.mapIndexed { service, held ->
                    if (worst[service] > 1 ||
                        worst[service] == worst.max()
                    ) {
                        held + 1
                    } else {
                        held
                    }
                }
        }
        return rows
    }

    /** Runs two hours of bursts without losses, for damped and undamped moves. */
    public fun runBursts(): List<BurstRow> =
        listOf(MoveTimings.Default to "damped moves", MoveTimings.Undamped to "greedy moves").map { (timings, name) ->
            val arm = BufferArm(name, spares = BURST_SPARES, moves = MovePlanner(timings, ::burstDemand)::plan)
            val outcome = FleetRun(arm, emptyList(), BurstLength).run(waveAt = null, BurstTick, BurstTick)
            BurstRow(name, arm.buffer, outcome.moves)
        }

    private const val BURST_SPARES = 4
    private val BurstLength = 2.hours
    private val BurstTick = 5.seconds
    private val BurstTurn = 10.seconds

    /** In its turn a service asks for five times its mean, far above what any spare pool holds. */
    private fun burstDemand(pool: Pool, at: Instant): Int {
        val turn = (at.toEpochMilliseconds() / BurstTurn.inWholeMilliseconds % Targets.size).toInt()
        return if (pool.id.value == "pool$turn") BURST_SPARES else 0
    }

    private fun sharedArm(spares: Int) = BufferArm("shared spare pool", spares = spares, moves = MovePlanner()::plan)

    private fun greedyArm(spares: Int) =
        BufferArm("greedy moves", spares = spares, moves = MovePlanner(MoveTimings.Undamped)::plan)

    private fun Sequence<BufferRow>.untilKept(): List<BufferRow> {
        val rows = mutableListOf<BufferRow>()
        for (row in this) {
            rows += row
            if (row.isBudgetKept) break
        }
        return rows
    }

    private fun row(arm: BufferArm, losses: List<List<Loss>>): BufferRow = rowOf(arm, runsOf(arm, losses))

    private fun runsOf(arm: BufferArm, losses: List<List<Loss>>): List<FleetOutcome> =
        losses.map { FleetRun(arm, it, Length).run(WaveAt) }

    private fun rowOf(arm: BufferArm, outcomes: List<FleetOutcome>): BufferRow {
        val waves = outcomes.map { it.waveLength }
        val worst = outcomes.maxOf { it.spentShares.max() }
        return BufferRow(
            policy = arm.name,
            bufferVms = arm.buffer,
            bufferVmHours = arm.buffer * Length.toDouble(DurationUnit.HOURS),
            isBudgetKept = worst <= 1 && waves.none { it == null },
            worstSpentShare = worst,
            plannedVmHours = outcomes.sumOf { it.planned.toDouble(DurationUnit.HOURS) } / RUNS,
            unplannedVmHours = outcomes.sumOf { it.unplanned.toDouble(DurationUnit.HOURS) } / RUNS,
            moves = outcomes.sumOf { it.moves },
            mostMovesOfOneVmInWave = outcomes.maxOf { it.mostMovesOfOneVm },
            waveHours = if (null in waves) null else waves.maxOf { it!!.toDouble(DurationUnit.HOURS) },
            plannedViolations = outcomes.sumOf { it.violations },
        )
    }
}
