package org.auburnstream.bench.routing

import org.auburnstream.bench.Table

/** Sums the rows of each policy up over the flooded services: the mean, and the worst of them. */
internal fun floodTable(rows: List<FloodRow>): Table = Table(
    name = "flood",
    columns =
    listOf(
        "policy",
        "burst use",
        "burst s",
        "deadline s",
        "flood",
        "flooded share of pool, mean",
        "flooded share of pool, least",
        "others keep, mean",
        "others keep, least",
        "urgent start s, most",
        "lost",
    ),
    rows = rows.groupBy {
        FloodCase(it.policy, it.burstUse, it.burstSeconds, it.deadlineSeconds, it.flood)
    }.map(::cells),
)

private data class FloodCase(
    val policy: String,
    val burstUse: Double,
    val burstSeconds: Double,
    val deadlineSeconds: Double,
    val flood: String,
)

private fun cells(group: Map.Entry<FloodCase, List<FloodRow>>): List<Any> {
    val (case, rows) = group
    return listOf(
        case.policy,
        case.burstUse,
        case.burstSeconds,
        case.deadlineSeconds,
        case.flood,
        rows.map { it.floodedShareOfPool }.average(),
        rows.minOf { it.floodedShareOfPool },
        rows.map { it.othersKeptShare }.average(),
        rows.minOf { it.othersKeptShare },
        rows.maxOf { it.urgentStartMaxSeconds },
        rows.sumOf { it.floodedLost },
    )
}
