package org.auburnstream.control

import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * A daemon's lease on its settings: while it is live, the daemon may act on them.
 *
 * A lease runs from when the daemon sent the renewal that was granted, never from the receipt of the answer, so a
 * late answer cannot stretch it. It is extended only once the daemon has applied everything that was committed when
 * the leader granted it. Compare the clock with [expiry] at each use: nothing else tells a process that was frozen.
 *
 * @param incarnation random number of this process, so that answers to an earlier one are passed over.
 */
public class SettingsLease(private val incarnation: Long, private val policy: LeasePolicy = LeasePolicy()) {
    private val sentRenewals = ArrayDeque<SentRenewal>()
    private val pendingGrants = ArrayDeque<PendingGrant>()
    private var sequence = 0L
    private var applied = LogIndex(0)
    private var acknowledged = LogIndex(0)
    private var isAnswered = true

    /** When the lease runs out, or null if there was none yet. */
    public var expiry: MonotonicTime? = null
        private set

    /** Returns whether the daemon may act on its settings at [now]. */
    public fun isLive(now: MonotonicTime): Boolean = remaining(now) > Duration.ZERO

    /** Returns how long the lease is still live at [now]; zero if it is not. */
    public fun remaining(now: MonotonicTime): Duration =
        expiry?.let { (it - now).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    /** Returns when the next renewal is due. */
    public fun nextRenewal(): MonotonicTime {
        val last = sentRenewals.lastOrNull()?.at ?: return MonotonicTime.Zero
        val interval =
            when {
                applied > acknowledged -> policy.acknowledgementDelay
                isAnswered -> policy.renewalInterval
                else -> policy.retryInterval
            }
        return last + interval
    }

    /** Returns the renewal to send to the leader at [now]; [inForceIndex] is passed on. */
    public fun renew(now: MonotonicTime, inForceIndex: LogIndex = LogIndex(0)): LeaseMessage.Renewal {
        while (sentRenewals.isNotEmpty() && now - sentRenewals.first().at >= policy.duration) sentRenewals.removeFirst()
        sequence += 1
        sentRenewals.addLast(SentRenewal(sequence, now))
        isAnswered = false
        acknowledged = applied
        return LeaseMessage.Renewal(incarnation, sequence, applied, inForceIndex)
    }

    /** Takes the leader's answer to a renewal; one that is late, doubled or for another process does no harm. */
    public fun onGrant(grant: LeaseMessage.Grant) {
        if (grant.incarnation != incarnation) return
        val renewal = sentRenewals.firstOrNull { it.sequence == grant.sequence } ?: return
        if (renewal.sequence == sequence) isAnswered = true
        val grantExpiry = renewal.at + policy.usableDuration(minOf(grant.duration, policy.duration))
        pendingGrants.addLast(PendingGrant(grant.commitIndex, grantExpiry))
        applyPendingGrants()
        while (pendingGrants.size > MAX_PENDING_GRANTS) pendingGrants.removeFirst()
    }

    /** Tells that the settings that the daemon acts on reflect the log up to [index]. */
    public fun onApplied(index: LogIndex) {
        if (index <= applied) return
        applied = index
        applyPendingGrants()
    }

    private fun applyPendingGrants() {
        val usable = pendingGrants.filter { it.commitIndex <= applied }
        if (usable.isEmpty()) return
        pendingGrants.removeAll { it.commitIndex <= applied }
        val longest = usable.maxOf { it.expiry }
        expiry = maxOf(expiry ?: longest, longest)
    }

    private class SentRenewal(val sequence: Long, val at: MonotonicTime)

    private class PendingGrant(val commitIndex: LogIndex, val expiry: MonotonicTime)

    private companion object {
        const val MAX_PENDING_GRANTS = 64
    }
}
