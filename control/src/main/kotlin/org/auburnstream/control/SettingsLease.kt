package org.auburnstream.control

import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Lease of this daemon on its settings; the daemon may use the settings while the lease is live.
 *
 * The duration of a grant is measured from the time at which the daemon sent the renewal, not from the receipt of the
 * answer, so a late answer cannot extend the lease. A grant takes effect only after the daemon has applied everything
 * that was committed when the leader issued it. Callers must compare the clock with [expiry] at each use, because a
 * process that was frozen cannot detect the expiry in any other way.
 *
 * @param incarnation random number of this process; grants for an earlier process are ignored.
 */
public class SettingsLease(private val incarnation: Long, private val policy: LeasePolicy = LeasePolicy()) {
    private val sentRenewals = ArrayDeque<SentRenewal>()
    private val pendingGrants = ArrayDeque<PendingGrant>()
    private var sequence = 0L
    private var applied = LogIndex(0)
    private var acknowledged = LogIndex(0)
    private var isAnswered = true

    /** Time at which the lease expires, or null if no grant has taken effect yet. */
    public var expiry: MonotonicTime? = null
        private set

    /** Returns whether the daemon may use its settings at [now]. */
    public fun isLive(now: MonotonicTime): Boolean = remaining(now) > Duration.ZERO

    /** Returns the remaining time of the lease at [now], or zero if it is not live. */
    public fun remaining(now: MonotonicTime): Duration =
        expiry?.let { (it - now).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO

    /** Returns the time at which the next renewal is due. */
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

    /** Creates the renewal to send to the leader at [now], which reports [inForceIndex]. */
    public fun renew(now: MonotonicTime, inForceIndex: LogIndex = LogIndex(0)): LeaseMessage.Renewal {
        while (sentRenewals.isNotEmpty() && now - sentRenewals.first().at >= policy.duration) sentRenewals.removeFirst()
        sequence += 1
        sentRenewals.addLast(SentRenewal(sequence, now))
        isAnswered = false
        acknowledged = applied
        return LeaseMessage.Renewal(incarnation, sequence, applied, inForceIndex)
    }

    /** Processes the leader's answer to a renewal; a late, duplicate or foreign answer is harmless. */
    public fun onGrant(grant: LeaseMessage.Grant) {
        if (grant.incarnation != incarnation) return
        val renewal = sentRenewals.firstOrNull { it.sequence == grant.sequence } ?: return
        if (renewal.sequence == sequence) isAnswered = true
        val grantExpiry = renewal.at + policy.usableDuration(minOf(grant.duration, policy.duration))
        pendingGrants.addLast(PendingGrant(grant.commitIndex, grantExpiry))
        applyPendingGrants()
        while (pendingGrants.size > MAX_PENDING_GRANTS) pendingGrants.removeFirst()
    }

    /** Records that the settings used by the daemon reflect the log up to [index]. */
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
