package org.auburnstream.bench.consensus

import org.auburnstream.bench.Table
import org.auburnstream.daemon.replication.ReplicationCodec
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.seconds

/** Measures what a group sends while nothing changes, by the number of daemons, on virtual time. */
public object RestCost {
    /** Measures groups of three voters and a growing number of learners. */
    public fun run(seed: Long): List<Table> {
        measure(seed, DAEMONS.first())
        return listOf(table(DAEMONS.map { measure(seed, it) }))
    }

    private fun measure(seed: Long, daemons: Int): RestCostRow {
        val group = VirtualGroup(seed, VOTERS, daemons - VOTERS)
        group.awaitFormed()
        val leader = checkNotNull(group.leader).id.daemon
        val sent = HashMap<Boolean, Traffic>()
        group.onSend = { from, envelope ->
            val traffic = sent.getOrPut(from == leader) { Traffic() }
            traffic.messages += 1
            traffic.bytes += ReplicationCodec.encode(envelope).size + FRAME_HEADER_BYTES
        }
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        group.runUntil(PERIOD)
        val processorNanoseconds = threads.currentThreadCpuTime - before
        val byLeader = sent.getValue(true)
        val byOthers = sent.getValue(false)
        val seconds = PERIOD.inWholeSeconds.toDouble()
        return RestCostRow(
            daemons = daemons,
            leaderMessages = (byLeader.messages + byOthers.messages) / seconds,
            leaderBytes = (byLeader.bytes + byOthers.bytes) / seconds,
            followerMessages = (byLeader.messages + byOthers.messages) / seconds / (daemons - 1),
            followerBytes = (byLeader.bytes + byOthers.bytes) / seconds / (daemons - 1),
            processorMicroseconds = processorNanoseconds / NANOSECONDS_IN_MICROSECOND / seconds / daemons,
        )
    }

    private fun table(rows: List<RestCostRow>) = Table(
        name = "consensus-rest-cost",
        columns = listOf(
            "daemons",
            "leader messages/s",
            "leader bytes/s",
            "follower messages/s",
            "follower bytes/s",
            "mean processor us/s",
        ),
        rows = rows.map {
            listOf(
                it.daemons,
                it.leaderMessages,
                it.leaderBytes,
                it.followerMessages,
                it.followerBytes,
                it.processorMicroseconds,
            )
        },
    )

    private class Traffic {
        var messages = 0L
        var bytes = 0L
    }

    private const val VOTERS = 3
    private const val FRAME_HEADER_BYTES = 5
    private const val NANOSECONDS_IN_MICROSECOND = 1000.0
    private val DAEMONS = listOf(4, 6, 8, 12, 24, 48)
    private val PERIOD = 60.seconds
}

/**
 * Messages and bytes a second, sent and received together, of the leader and of each other daemon.
 *
 * @property processorMicroseconds processor time a second of the decisions and the encoding, mean of all daemons.
 */
public data class RestCostRow(
    val daemons: Int,
    val leaderMessages: Double,
    val leaderBytes: Double,
    val followerMessages: Double,
    val followerBytes: Double,
    val processorMicroseconds: Double,
)
