package org.auburnstream.bench.consensus

import org.auburnstream.bench.Table
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MembershipChange
import org.auburnstream.consensus.MembershipResult
import org.auburnstream.consensus.ReplicaSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Compares ways to replace a dead voter of three by a spare.
 *
 * The joint change runs in the replica. The others are worked out from its time for one commit and from the quorums
 * that their steps need.
 */
public object MembershipCost {
    /** Replaces a dead voter in groups with different times of link and sync. */
    public fun run(seed: Long): List<Table> {
        val rows = (0 until RUNS).flatMap { run -> measure(seed + run) }
        return listOf(table(rows.groupBy { it.way }.map { (way, same) -> average(way, same) }))
    }

    private fun measure(seed: Long): List<MembershipCostRow> {
        val settings = ReplicaSettings.Default.copy(automaticReplacement = false)
        val oneWay = ((seed % LATENCIES + 1) * LATENCY_STEP_MICROSECONDS).microseconds
        val group = VirtualGroup(seed, VOTERS, durableLearners = 1, settings = settings, oneWay = oneWay)
        group.awaitFormed()
        group.runUntil(2.seconds)
        val leader = checkNotNull(group.leader)
        val spare = leader.replica.configuration.learners.single().id
        val lost = leader.replica.configuration.voters.first { it != leader.id }
        group.nodes.getValue(lost.daemon).isDown = true
        val started = group.time
        val entriesBefore = leader.replica.lastIndex.value
        leader.change(MembershipChange.Replace(lost, spare))
        check(group.runUntil(10.seconds) { leader.result is MembershipResult.Committed }) { "not replaced: $seed" }
        val total = group.time - started
        val entries = (leader.replica.lastIndex.value - entriesBefore).toInt()
        return ways(Replacement(leader.id, lost, spare, leader.replica.configuration.voters), total / entries)
    }

    private fun ways(change: Replacement, commit: Duration): List<MembershipCostRow> {
        val new = change.voters
        val old = new - change.spare + change.lost
        val joint = listOf(Step(listOf(old, new), listOf(old)), Step(listOf(new), listOf(old, new)))
        val four = old + change.spare
        val addFirst = listOf(Step(listOf(four), listOf(old)), Step(listOf(new), listOf(four)))
        val two = old - change.lost
        val removeFirst = listOf(Step(listOf(two), listOf(old)), Step(listOf(new), listOf(two)))
        return listOf(
            row("joint, two entries", joint, change, commit),
            row("single entry and barrier", joint, change, commit),
            row("one at a time, add first", addFirst, change, commit),
            row("one at a time, remove first", removeFirst, change, commit),
        )
    }

    private fun row(way: String, steps: List<Step>, change: Replacement, commit: Duration): MembershipCostRow {
        val fatal = steps.map { step -> change.voters.count { step.stopsWithout(it, change) } }
        val milliseconds = commit.toDouble(DurationUnit.MILLISECONDS)
        return MembershipCostRow(
            way = way,
            entries = steps.size,
            milliseconds = milliseconds * steps.size,
            fatalMembers = fatal.max(),
            exposureMilliseconds = fatal.sum() * milliseconds,
        )
    }

    private fun average(way: String, rows: List<MembershipCostRow>) = MembershipCostRow(
        way = way,
        entries = rows.maxOf { it.entries },
        milliseconds = rows.map { it.milliseconds }.average(),
        fatalMembers = rows.maxOf { it.fatalMembers },
        exposureMilliseconds = rows.map { it.exposureMilliseconds }.average(),
    )

    private fun table(rows: List<MembershipCostRow>) = Table(
        name = "consensus-membership-cost",
        columns = listOf("way", "entries", "change ms", "members whose loss stops it", "exposure member-ms"),
        rows = rows.map { listOf(it.way, it.entries, it.milliseconds, it.fatalMembers, it.exposureMilliseconds) },
    )

    /** Replacement of [lost] by [spare], after which [voters] vote. */
    private class Replacement(val leader: MemberId, val lost: MemberId, val spare: MemberId, val voters: Set<MemberId>)

    /**
     * One entry of a change.
     *
     * @property ofLeader sets of voters of which the leader needs majorities.
     * @property ofOthers those of a member that has not received the entry yet, which counts if the leader is lost.
     */
    private class Step(private val ofLeader: List<Set<MemberId>>, private val ofOthers: List<Set<MemberId>>) {
        fun stopsWithout(member: MemberId, change: Replacement): Boolean {
            val sets = if (member == change.leader) ofOthers else ofLeader
            val alive = change.voters - member
            return sets.any { voters -> (voters intersect alive).size <= voters.size / 2 }
        }
    }

    private const val VOTERS = 3
    private const val RUNS = 100
    private const val LATENCIES = 5
    private const val LATENCY_STEP_MICROSECONDS = 400
}

/**
 * Cost of one way to replace a voter.
 *
 * @property exposureMilliseconds time during which the loss of one more member would stop the group, summed over them.
 * @property fatalMembers members whose loss amid the change would stop the group until one returns.
 */
public data class MembershipCostRow(
    val way: String,
    val entries: Int,
    val milliseconds: Double,
    val fatalMembers: Int,
    val exposureMilliseconds: Double,
)
