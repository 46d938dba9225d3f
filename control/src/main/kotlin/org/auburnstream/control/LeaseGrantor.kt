package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * A leader's proof that it leads.
 *
 * @property term term of the leadership.
 * @property commitIndex last index known to be committed, once an entry of [term] is committed.
 * @property quorumContact when the leader sent the latest messages that a quorum answered.
 */
public data class Leadership(val term: Long, val commitIndex: LogIndex, val quorumContact: MonotonicTime)

/** A lease that may still hold a change back, and until when it may. */
public data class BlockingLease(val daemon: DaemonId?, val expiry: MonotonicTime)

/**
 * The leader's record of the settings leases of all daemons.
 *
 * A grant counts from when a quorum last confirmed the leadership, so every lease of a leader that was replaced has
 * run out one lease after its successor was elected. A new leader therefore assumes for that long that every daemon
 * may hold a lease of an earlier leader. A change is in force once no daemon can hold a lease that was granted before
 * the change was committed, unless it has acknowledged the change.
 */
public class LeaseGrantor(private val policy: LeasePolicy = LeasePolicy()) {
    private val holders = HashMap<HolderKey, Holder>()
    private var term: Long? = null
    private var earlierLeasesExpiry = MonotonicTime.Zero

    /** Tells that this daemon leads [newTerm]; [now] must not be earlier than the election. */
    public fun onLeadershipAcquired(newTerm: Long, now: MonotonicTime) {
        if (newTerm == term) return
        term = newTerm
        holders.clear()
        earlierLeasesExpiry = now + policy.assumedLifetime
    }

    /** Tells that this daemon leads no longer. */
    public fun onLeadershipLost() {
        term = null
        holders.clear()
    }

    /**
     * Answers [renewal] of [daemon], received at [now].
     *
     * @return the grant, or null if [leadership] is not of the present term or its confirmation is too old.
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
     * Returns what holds the change at [index] back at [now]; empty once it is in force.
     *
     * @param committedBy a time at which this daemon, as the leader or not, knew that the change was committed. Every
     * lease granted before the change was committed has run out one lease later.
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

    /** Forgets what has run out. */
    public fun prune(now: MonotonicTime) {
        holders.values.forEach { it.prune(now) }
        holders.values.removeAll { it.latestExpiry <= now }
    }

    /** Returns the live leases at [now], one for each daemon, ordered by daemon. */
    public fun leases(now: MonotonicTime): List<DaemonLease> = holders
        .filterValues { it.latestExpiry > now }
        .map { (key, holder) -> DaemonLease(key.daemon, holder.applied, holder.latestExpiry - now) }
        .groupBy { it.daemon }
        .map { (_, leases) -> leases.maxBy { it.remaining } }
        .sortedBy { it.daemon }

    private data class HolderKey(val daemon: DaemonId, val incarnation: Long)

    /** What one process of a daemon has acknowledged and may still hold. */
    private class Holder {
        var applied = LogIndex(0)
        private val grants = ArrayDeque<GrantRecord>()

        val latestExpiry: MonotonicTime get() = grants.maxOfOrNull { it.expiry } ?: MonotonicTime.Zero

        fun recordGrant(commitIndex: LogIndex, expiry: MonotonicTime) {
            // Grants with the same commit index are told apart by nothing that matters but the latest end.
            val last = grants.lastOrNull()
            if (last != null && last.commitIndex == commitIndex) {
                last.expiry = maxOf(last.expiry, expiry)
                return
            }
            // An earlier grant holds back what was committed since, until the daemon has acknowledged all of that.
            val mergedExpiry = maxOf(expiry, latestExpiry)
            if (applied >= commitIndex) grants.clear()
            grants.addLast(GrantRecord(commitIndex, mergedExpiry))
        }

        fun prune(now: MonotonicTime) {
            grants.removeAll { it.expiry <= now }
        }

        fun latestExpiryBefore(index: LogIndex, now: MonotonicTime): MonotonicTime? =
            grants.filter { it.commitIndex < index && it.expiry > now }.maxOfOrNull { it.expiry }
    }

    private class GrantRecord(val commitIndex: LogIndex, var expiry: MonotonicTime)
}

/** A live lease as the leader sees it. */
public data class DaemonLease(val daemon: DaemonId, val appliedIndex: LogIndex, val remaining: Duration)
