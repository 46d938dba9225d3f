package org.auburnstream.daemon

import org.auburnstream.control.DaemonLease
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against assuming that a lease has ended too early, for example because it was granted by an earlier leader or
 * between two samples.
 */
class LeaseEndsTest {
    private val daemon = DaemonId("d1")
    private val ends = LeaseEnds(longestLease = 3.seconds)

    @Test
    fun newLeaderAssumesEveryLeaseIsLive() {
        ends.sample(leadingTerm = 1, leases = emptyList(), now = at(10.seconds))

        assertEquals(at(13.seconds), ends.endOf(daemon, at(11.seconds)))
    }

    @Test
    fun endOfExpiredLeaseIsKept() {
        sampleEvery(200.milliseconds, from = 0.seconds, to = 20.seconds, lease = 2.seconds)
        sampleEvery(200.milliseconds, from = 20.seconds, to = 30.seconds, lease = null)

        assertEquals(at(22.seconds), ends.endOf(daemon, at(30.seconds)))
    }

    @Test
    fun leaseIsAssumedAfterGapBetweenSamples() {
        sampleEvery(200.milliseconds, from = 0.seconds, to = 20.seconds, lease = null)
        ends.sample(leadingTerm = 1, leases = emptyList(), now = at(25.seconds))

        assertEquals(at(28.seconds), ends.endOf(daemon, at(25.seconds)))
    }

    @Test
    fun leaseIsAssumedAfterTermChange() {
        sampleEvery(200.milliseconds, from = 0.seconds, to = 20.seconds, lease = null)
        ends.sample(leadingTerm = 3, leases = emptyList(), now = at(20.2.seconds))

        assertEquals(at(23.2.seconds), ends.endOf(daemon, at(21.seconds)))
    }

    private fun sampleEvery(interval: Duration, from: Duration, to: Duration, lease: Duration?) {
        var time = from
        while (time <= to) {
            val leases = listOfNotNull(lease?.let { DaemonLease(daemon, LogIndex(1), it) })
            ends.sample(leadingTerm = 1, leases = leases, now = at(time))
            time += interval
        }
    }

    private fun at(time: Duration) = MonotonicTime.Zero + time
}
