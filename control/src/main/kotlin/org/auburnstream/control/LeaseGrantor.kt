package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Evidence that a daemon leads the control group.
 *
 * @property term term of the leadership.
 * @property commitIndex last index known to be committed; valid once an entry of [term] is committed.
 * @property quorumContact send time of the latest messages that a quorum answered.
 */
public data class Leadership(val term: Long, val commitIndex: LogIndex, val quorumContact: MonotonicTime)

/**
 * Lease that can still delay a change.
 *
 * @property daemon holder of the lease, or null for the leases that earlier leaders may have granted.
 * @property expiry latest time at which the lease can still be live.
 */
public data class BlockingLease(val daemon: DaemonId?, val expiry: MonotonicTime)

/**
 * Grants settings leases to the daemons while this daemon leads, and records them to find the leases that delay a
 * change.
 *
 * A lease is measured from the last quorum confirmation of the leadership. All leases of a replaced leader therefore
 * expire within one lease duration after the election of its successor, and a new leader assumes during that time
 * that every daemon may hold such a lease. A change is in force once every daemon that can still hold a lease granted
 * before the commit of the change has acknowledged the change.
 */
public class LeaseGrantor(private val policy: LeasePolicy = LeasePolicy()) {
    private val holders = HashMap<HolderKey, Holder>()
    private var term: Long? = null
    private var earlierLeasesExpiry = MonotonicTime.Zero

    /** Records that this daemon leads [newTerm]; [now] must not be earlier than the election. */
    public fun onLeadershipAcquired(newTerm: Long, now: MonotonicTime) {
        if (newTerm == term) return
        term = newTerm
        holders.clear()
        earlierLeasesExpiry = now + policy.assumedLifetime
    }

    /** Records that this daemon no longer leads. */
    public fun onLeadershipLost() {
        term = null
        holders.clear()
    }

    /**
     * Handles [renewal] from [daemon], received at [now], and records the acknowledged index.
     *
     * @return the grant, or null if [leadership] is not for the current term or its quorum contact is older than the
     * lease duration.
     */
    public fun onRenewal(
        daemon: DaemonId,
        renewal: LeaseMessage.Renewal,
        leadership: Leadership,
        now: MonotonicTime,
    ): LeaseMessage.Grant? {
        if (leadership.term != term) return null
        val base = minOf(now, leadership.quorumContact)
        val duration = policy.duration - (now - base)
        val holder = holders.getOrPut(HolderKey(daemon, renewal.incarnation)) { Holder() }
        holder.applied = maxOf(holder.applied, renewal.appliedIndex)
        if (duration <= Duration.ZERO) return null
        holder.recordGrant(leadership.commitIndex, base + policy.assumedLifetime)
        return LeaseMessage.Grant(
            incarnation = renewal.incarnation,
            sequence = renewal.sequence,
            term = leadership.term,
            commitIndex = leadership.commitIndex,
            duration = duration,
        )
    }

    /**
     * Returns the leases that delay the change at [index] at time [now]; the list is empty once the change is in force.
     *
     * @param committedBy time at which this daemon, whether leader or not, knew that the change was committed. Every
     * lease granted before the commit expires within one lease duration of that time.
     */
    public fun blockingLeases(index: LogIndex, committedBy: MonotonicTime, now: MonotonicTime): List<BlockingLease> {
        val blocking = mutableListOf<BlockingLease>()
        val earlierExpiry = minOf(earlierLeasesExpiry, committedBy + policy.assumedLifetime)
        if (now < earlierExpiry) blocking += BlockingLease(daemon = null, expiry = earlierExpiry)
        for ((key, holder) in holders) {
            if (holder.applied >= index) continue
            val expiry = holder.latestExpiryBefore(index, now) ?: continue
            blocking += BlockingLease(key.daemon, expiry)
        }
        return blocking
    }

    /** Removes expired grants and daemons without a live lease. */
    public fun prune(now: MonotonicTime) {
        holders.values.forEach { it.prune(now) }
        holders.values.removeAll { it.latestExpiry <= now }
    }

    /** Returns the live leases at [now], ordered by daemon; of several for one daemon, the longest. */
    public fun leases(now: MonotonicTime): List<DaemonLease> = holders
        .filterValues { it.latestExpiry > now }
        .map { (key, holder) -> DaemonLease(key.daemon, holder.applied, holder.latestExpiry - now) }
        .groupBy { it.daemon }
        .map { (_, leases) -> leases.maxBy { it.remaining } }
        .sortedBy { it.daemon }

    private data class HolderKey(val daemon: DaemonId, val incarnation: Long)

    /** Acknowledged index and unexpired grants of one process of a daemon. */
    private class Holder {
        var applied = LogIndex(0)
        private val grants = ArrayDeque<GrantRecord>()

        val latestExpiry: MonotonicTime get() = grants.maxOfOrNull { it.expiry } ?: MonotonicTime.Zero

        fun recordGrant(commitIndex: LogIndex, expiry: MonotonicTime) {
            // Of several grants with the same commit index, only the latest expiry matters.
            val last = grants.lastOrNull()
            if (last != null && last.commitIndex == commitIndex) {
                last.expiry = maxOf(last.expiry, expiry)
                return
            }
            // An earlier grant delays all later commits until the daemon has acknowledged them.
            val mergedExpiry = maxOf(expiry, latestExpiry)
            if (applied >= commitIndex) grants.clear()
            grants.addLast(GrantRecord(commitIndex, mergedExpiry))
        }

        fun prune(now: MonotonicTime) {
            grants.removeAll { it.expiry <= now }
        }

        /** Returns the latest expiry of a live grant with a commit index below [index], or null if there is none. */
        fun latestExpiryBefore(index: LogIndex, now: MonotonicTime): MonotonicTime? =
            grants.filter { it.commitIndex < index && it.expiry > now }.maxOfOrNull { it.expiry }
    }

    private class GrantRecord(val commitIndex: LogIndex, var expiry: MonotonicTime)
}

/** Live lease as recorded by the leader. */
public data class DaemonLease(val daemon: DaemonId, val appliedIndex: LogIndex, val remaining: Duration)
