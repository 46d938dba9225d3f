package org.auburnstream.bench.consensus

import org.auburnstream.bench.Table
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Compares three and five voters among six daemons in three data centres, every daemon with a disk.
 *
 * Each loss takes the leader, or the voters that hurt most. The result is how long no leader with a quorum stood.
 */
public object VoterPlacement {
    /** Brings about each loss for each number of voters. */
    public fun run(seed: Long): List<Table> {
        val rows = VOTERS.flatMap { voters -> losses.map { loss -> measure(seed, voters, loss) } }
        return listOf(table(rows))
    }

    private fun measure(seed: Long, voters: Int, loss: Loss): VoterPlacementRow {
        val outages = (0 until RUNS).map { run -> outage(seed + run, voters, loss) }
        val ended = outages.filterNotNull()
        return VoterPlacementRow(
            voters = voters,
            loss = loss.name,
            stopped = outages.size - ended.size,
            longestMilliseconds = ended.maxOfOrNull { it.toDouble(DurationUnit.MILLISECONDS) } ?: Double.NaN,
        )
    }

    /** Returns the longest time without a leader after any step of [loss], or null if the group stopped. */
    private fun outage(seed: Long, voters: Int, loss: Loss): Duration? {
        val group = VirtualGroup(seed, voters, DAEMONS - voters)
        group.awaitFormed()
        group.runUntil(SETTLING)
        var longest = Duration.ZERO
        for (step in loss.steps) {
            group.runUntil(step.delay)
            val since = group.time
            step.choose(group).forEach { group.nodes.getValue(it).isDown = true }
            if (!group.runUntil(LIMIT) { hasLeaderSince(group, since) }) return null
            longest = maxOf(longest, group.time - since)
        }
        return longest
    }

    private fun hasLeaderSince(group: VirtualGroup, since: MonotonicTime): Boolean {
        val contact = group.leader?.replica?.quorumContactTime
        return contact != null && contact > since
    }

    private fun table(rows: List<VoterPlacementRow>) = Table(
        name = "consensus-voters",
        columns = listOf("voters", "loss", "runs", "stopped", "longest outage ms"),
        rows = rows.map { listOf(it.voters, it.loss, RUNS, it.stopped, it.longestMilliseconds) },
    )

    private class Loss(val name: String, val steps: List<LossStep>)

    private class LossStep(val delay: Duration, val choose: (VirtualGroup) -> List<DaemonId>)

    private fun leaderOf(group: VirtualGroup): DaemonId = checkNotNull(group.leader) { "no leader" }.id.daemon

    /** The leader and other voters, [count] of them, in different data centres as far as there are any. */
    private fun votersOf(group: VirtualGroup, count: Int): List<DaemonId> {
        val leader = checkNotNull(group.leader) { "no leader" }
        val others = leader.replica.configuration.voters
            .map { it.daemon }
            .filter { it != leader.id.daemon && !group.nodes.getValue(it).isDown }
        return (listOf(leader.id.daemon) + others).take(count)
    }

    private fun dataCentreOfLeader(group: VirtualGroup): List<DaemonId> {
        val members = checkNotNull(group.leader) { "no leader" }.replica.configuration.members
        val place = members.first { it.id.daemon == leaderOf(group) }.dataCentre
        return members.filter { it.dataCentre == place }.map { it.id.daemon }
    }

    private fun oneAfterAnother(gap: Duration) = Loss(
        "a VM, and another after $gap",
        listOf(
            LossStep(Duration.ZERO) { votersOf(it, 1) },
            LossStep(gap) { votersOf(it, 1) },
        ),
    )

    private val losses = listOf(
        Loss("a VM", listOf(LossStep(Duration.ZERO) { votersOf(it, 1) })),
        Loss("a data centre", listOf(LossStep(Duration.ZERO, ::dataCentreOfLeader))),
        Loss("two VMs at once", listOf(LossStep(Duration.ZERO) { votersOf(it, 2) })),
        oneAfterAnother(5.seconds),
        oneAfterAnother(15.seconds),
        Loss(
            "a data centre, and a VM after 15s",
            listOf(
                LossStep(Duration.ZERO, ::dataCentreOfLeader),
                LossStep(15.seconds) { votersOf(it, 1) },
            ),
        ),
    )

    private const val DAEMONS = 6
    private const val RUNS = 50
    private val VOTERS = listOf(3, 5)
    private val SETTLING = 3000.milliseconds
    private val LIMIT = 30.seconds
}

/**
 * Outcome of one loss.
 *
 * @property stopped runs in which no leader stood again.
 * @property longestMilliseconds longest time without a leader among the other runs.
 */
public data class VoterPlacementRow(
    val voters: Int,
    val loss: String,
    val stopped: Int,
    val longestMilliseconds: Double,
)
