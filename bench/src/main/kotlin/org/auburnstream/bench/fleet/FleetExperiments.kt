package org.auburnstream.bench.fleet

import org.auburnstream.bench.Experiment
import org.auburnstream.bench.PlotRequest
import org.auburnstream.bench.Table

private const val NOT_ENDED = "not ended"

/** Experiments on the fleet. */
public val FleetExperiments: List<Experiment> =
    listOf(
        Experiment(
            name = "fleet-buffer",
            description = "buffer, moves and wave length of a shared spare pool against two baselines",
            run = { seed -> listOf(bufferTable(BufferExperiment.run(seed)), burstTable(BufferExperiment.runBursts())) },
        ),
        Experiment(
            name = "fleet-planning",
            description = "time to plan and live heap by the size of the fleet",
            plots =
            listOf(
                PlotRequest("fleet-planning", "workers", "median plan ms"),
                PlotRequest("fleet-planning", "workers", "live heap KiB"),
            ),
            run = { listOf(planningTable(PlanningExperiment.run())) },
        ),
    )

private fun bufferTable(rows: List<BufferRow>) = Table(
    name = "fleet-buffer",
    columns =
    listOf(
        "policy",
        "buffer VMs",
        "buffer VM-h",
        "budget kept",
        "worst spent share",
        "planned VM-h",
        "unplanned VM-h",
        "moves",
        "most moves of one VM in a wave",
        "wave h",
        "planned violations",
    ),
    rows =
    rows.map {
        listOf(
            it.policy,
            it.bufferVms,
            it.bufferVmHours,
            it.isBudgetKept,
            it.worstSpentShare,
            it.plannedVmHours,
            it.unplannedVmHours,
            it.moves,
            it.mostMovesOfOneVmInWave,
            it.waveHours ?: NOT_ENDED,
            it.plannedViolations,
        )
    },
)

private fun burstTable(rows: List<BurstRow>) = Table(
    name = "fleet-bursts",
    columns = listOf("policy", "buffer VMs", "moves in two hours"),
    rows = rows.map { listOf(it.policy, it.bufferVms, it.moves) },
)

private fun planningTable(rows: List<PlanningRow>) = Table(
    name = "fleet-planning",
    columns =
    listOf(
        "workers",
        "pools",
        "jobs",
        "median plan ms",
        "p99 plan ms",
        "max plan ms",
        "live heap KiB",
        "snapshot bytes",
        "apply us",
    ),
    rows =
    rows.map {
        listOf(
            it.workers,
            it.pools,
            it.jobs,
            it.medianPlanMillis,
            it.p99PlanMillis,
            it.maxPlanMillis,
            it.liveHeapKib,
            it.snapshotBytes,
            it.applyMicros,
        )
    },
)
