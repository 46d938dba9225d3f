package org.auburnstream.daemon

import org.auburnstream.control.DaemonLease
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the latest time at which each daemon's settings lease can end, for a leader that must wait until it has ended.
 *
 * [sample] must be called at least every [MAX_SAMPLE_GAP]. After a longer gap, and on a new leader, leases may have
 * been granted without being observed, so every daemon is assumed to hold a lease for [longestLease] from that sample
 * on.
 *
 * @param longestLease maximum time for which a granted lease can be live.
 */
internal class LeaseEnds(private val longestLease: Duration) {
    private val ends = HashMap<DaemonId, MonotonicTime>()
    private var unobservedUntil: MonotonicTime? = null
    private var lastSample: MonotonicTime? = null
    private var term: Long? = null

    /** Records the [leases] that this daemon granted as leader of [leadingTerm], which is null if it does not lead. */
    @Synchronized
    fun sample(leadingTerm: Long?, leases: List<DaemonLease>, now: MonotonicTime) {
        val previous = lastSample
        val isGap = previous == null || now - previous > MAX_SAMPLE_GAP
        if (leadingTerm == null || leadingTerm != term || isGap) unobservedUntil = now + longestLease
        term = leadingTerm
        lastSample = now
        for (lease in leases) ends[lease.daemon] = now + lease.remaining
    }

    /** Returns the latest time at which the lease of [daemon] can end. */
    @Synchronized
    fun endOf(daemon: DaemonId, now: MonotonicTime): MonotonicTime {
        val unobservedEnd = unobservedUntil ?: (now + longestLease)
        val observedEnd = ends[daemon] ?: return unobservedEnd
        return maxOf(observedEnd, unobservedEnd)
    }

    companion object {
        /** Maximum time between two samples in which no granted lease can be missed. */
        val MAX_SAMPLE_GAP = 1.seconds
    }
}
