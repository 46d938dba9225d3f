package org.auburnstream.bench.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.bench.Table
import org.auburnstream.control.Leadership
import org.auburnstream.control.LeaseGrantor
import org.auburnstream.control.LeaseMessage
import org.auburnstream.control.SettingsLease
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

/** Counts the messages and bytes of the settings leases at rest, as daemons grow, under virtual time. */
public object LeaseTraffic {
    /** Lets groups of growing size renew their leases for [LENGTH] without any change. */
    public fun run(seed: Long): List<Table> {
        val columns = listOf("daemons", "messages/s at the leader", "bytes/s at the leader", "bytes/s at a follower")
        return listOf(Table("lease-traffic", columns, SIZES.map { measure(it, Random(seed)) }))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun measure(daemons: Int, random: Random): List<Any> {
        val grantor = LeaseGrantor().apply { onLeadershipAcquired(newTerm = 1, now = MonotonicTime.Zero) }
        val leases = List(daemons) { SettingsLease(random.nextLong()).apply { onApplied(INDEX) } }
        var messages = 0L
        var bytes = 0L
        var now = MonotonicTime.Zero
        while (now < MonotonicTime.Zero + LENGTH) {
            now += STEP
            // The leader's own lease, the first, needs no message.
            leases.drop(1).filter { now >= it.nextRenewal() }.forEachIndexed { index, lease ->
                val renewal = lease.renew(now, INDEX)
                val grant =
                    grantor.onRenewal(DaemonId("d$index"), renewal, Leadership(1, INDEX, now), now)
                        ?: return@forEachIndexed
                lease.onGrant(grant)
                messages += 2
                bytes +=
                    listOf(renewal, grant).sumOf { Cbor.encodeToByteArray(LeaseMessage.serializer(), it).size + 1L }
            }
        }
        val seconds = LENGTH.toDouble(DurationUnit.SECONDS)
        return listOf(daemons, messages / seconds, bytes / seconds, bytes / seconds / (daemons - 1))
    }

    private val SIZES = listOf(3, 6, 7, 14)
    private val LENGTH = 1.minutes
    private val STEP = 10.milliseconds
    private val INDEX = LogIndex(100_000)
}
