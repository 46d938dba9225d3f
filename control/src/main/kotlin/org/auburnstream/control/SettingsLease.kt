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
    private val sent = ArrayDeque<SentRenewal>()
    private val waiting = ArrayDeque<WaitingGrant>()
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
        val last = sent.lastOrNull()?.at ?: return MonotonicTime.Zero
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
        while (sent.isNotEmpty() && now - sent.first().at >= policy.duration) sent.removeFirst()
        sequence += 1
        sent.addLast(SentRenewal(sequence, now))
        isAnswered = false
        acknowledged = applied
        return LeaseMessage.Renewal(incarnation, sequence, applied, inForceIndex)
    }

    /** Takes the leader's answer to a renewal; one that is late, doubled or for another process does no harm. */
    public fun onGrant(grant: LeaseMessage.Grant) {
        if (grant.incarnation != incarnation) return
        val renewal = sent.firstOrNull { it.sequence == grant.sequence } ?: return
        if (renewal.sequence == sequence) isAnswered = true
        val until = renewal.at + policy.usable(minOf(grant.duration, policy.duration))
        waiting.addLast(WaitingGrant(grant.commitIndex, until))
        extend()
        while (waiting.size > MAX_WAITING) waiting.removeFirst()
    }

    /** Tells that the settings that the daemon acts on reflect the log up to [index]. */
    public fun onApplied(index: LogIndex) {
        if (index <= applied) return
        applied = index
        extend()
    }

    private fun extend() {
        val usable = waiting.filter { it.commitIndex <= applied }
        if (usable.isEmpty()) return
        waiting.removeAll { it.commitIndex <= applied }
        val longest = usable.maxOf { it.until }
        expiry = maxOf(expiry ?: longest, longest)
    }

    private class SentRenewal(val sequence: Long, val at: MonotonicTime)

    private class WaitingGrant(val commitIndex: LogIndex, val until: MonotonicTime)

    private companion object {
        const val MAX_WAITING = 64
    }
}
