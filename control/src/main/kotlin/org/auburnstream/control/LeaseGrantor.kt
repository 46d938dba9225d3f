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
public data class LeaseHold(val daemon: DaemonId?, val until: MonotonicTime)

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
    private var earlierLeasesUntil = MonotonicTime.Zero

    /** When the leases granted by earlier leaders have run out. */
    public val earlierLeaseEnd: MonotonicTime get() = earlierLeasesUntil

    /** Tells that this daemon leads [newTerm]; [now] must not be earlier than the election. */
    public fun onLeadership(newTerm: Long, now: MonotonicTime) {
        if (newTerm == term) return
        term = newTerm
        holders.clear()
        earlierLeasesUntil = now + policy.assumed
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
        holder.granted(leadership.commitIndex, base + policy.assumed)
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
    public fun holds(index: LogIndex, committedBy: MonotonicTime, now: MonotonicTime): List<LeaseHold> {
        val holds = mutableListOf<LeaseHold>()
        val earlierUntil = minOf(earlierLeasesUntil, committedBy + policy.assumed)
        if (now < earlierUntil) holds += LeaseHold(daemon = null, until = earlierUntil)
        for ((key, holder) in holders) {
            if (holder.applied >= index) continue
            val until = holder.grantedBefore(index, now) ?: continue
            holds += LeaseHold(key.daemon, until)
        }
        return holds
    }

    /** Returns the latest end of the leases that this leader granted to [daemon], or an earlier one may have. */
    public fun leaseEndOf(daemon: DaemonId): MonotonicTime {
        val own = holders.filterKeys { it.daemon == daemon }.values.maxOfOrNull { it.latest }
        return maxOf(earlierLeasesUntil, own ?: earlierLeasesUntil)
    }

    /** Forgets what has run out. */
    public fun prune(now: MonotonicTime) {
        holders.values.forEach { it.prune(now) }
        holders.values.removeAll { it.latest <= now }
    }

    /** Returns the live leases at [now], one for each daemon, ordered by daemon. */
    public fun leases(now: MonotonicTime): List<DaemonLease> = holders
        .filterValues { it.latest > now }
        .map { (key, holder) -> DaemonLease(key.daemon, holder.applied, holder.latest - now) }
        .groupBy { it.daemon }
        .map { (_, leases) -> leases.maxBy { it.remaining } }
        .sortedBy { it.daemon }

    private data class HolderKey(val daemon: DaemonId, val incarnation: Long)

    /** What one process of a daemon has acknowledged and may still hold. */
    private class Holder {
        var applied = LogIndex(0)
        private val grants = ArrayDeque<GrantRecord>()

        val latest: MonotonicTime get() = grants.maxOfOrNull { it.until } ?: MonotonicTime.Zero

        fun granted(commitIndex: LogIndex, until: MonotonicTime) {
            // Grants with the same commit index are told apart by nothing that matters but the latest end.
            val last = grants.lastOrNull()
            if (last != null && last.commitIndex == commitIndex) {
                last.until = maxOf(last.until, until)
                return
            }
            // An earlier grant holds back what was committed since, until the daemon has acknowledged all of that.
            val end = maxOf(until, latest)
            if (applied >= commitIndex) grants.clear()
            grants.addLast(GrantRecord(commitIndex, end))
        }

        fun prune(now: MonotonicTime) {
            grants.removeAll { it.until <= now }
        }

        fun grantedBefore(index: LogIndex, now: MonotonicTime): MonotonicTime? =
            grants.filter { it.commitIndex < index && it.until > now }.maxOfOrNull { it.until }
    }

    private class GrantRecord(val commitIndex: LogIndex, var until: MonotonicTime)
}

/** A live lease as the leader sees it. */
public data class DaemonLease(val daemon: DaemonId, val appliedIndex: LogIndex, val remaining: Duration)
