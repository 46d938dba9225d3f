package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Follows changes from commitment until they are in force, and remembers who held each back.
 *
 * Runs on every daemon, because what one knows to be in force stays true under the next leader.
 *
 * Keeps the commit times of the latest [MAX_COMMIT_POINTS] steps of the commit index and
 * [MAX_TRACKED_CHANGES] tracked changes.
 */
public class RollOutTracker(private val grantor: LeaseGrantor, private val policy: LeasePolicy = LeasePolicy()) {
    private val commitPoints = ArrayDeque<CommitPoint>()
    private val tracked = LinkedHashMap<LogIndex, TrackedChange>()
    private val pending = ArrayList<TrackedChange>()

    /** Everything up to here is in force, whoever leads; outlives a leader because every daemon passes it on. */
    public var inForceIndex: LogIndex = LogIndex(0)
        private set

    /** Tells that another daemon knows everything up to [index] to be in force. */
    public fun onKnownInForce(index: LogIndex) {
        inForceIndex = maxOf(inForceIndex, index)
    }

    /** Tells that this daemon, leading or not, knows at [now] that everything up to [index] is committed. */
    public fun onCommitted(index: LogIndex, now: MonotonicTime) {
        if (commitPoints.isNotEmpty() && commitPoints.last().index >= index) return
        commitPoints.addLast(CommitPoint(index, now))
        if (commitPoints.size > MAX_COMMIT_POINTS) commitPoints.removeFirst()
    }

    /** Tells that this daemon begins or ends to lead; what it knows of commitments stays true. */
    public fun onLeadershipChanged() {
        tracked.clear()
        pending.clear()
    }

    /** Brings everything up to date with the leases and the time [now]. */
    public fun advance(now: MonotonicTime) {
        // Leases granted before a change was committed have run out one lease later, also those of other leaders.
        commitPoints.lastOrNull { it.at + policy.assumedLifetime <= now }?.let { onKnownInForce(it.index) }
        pending.removeAll { it.advance(now) }
    }

    /** Returns how far the change at [index] is at [now], and watches it from now on. */
    public fun progress(index: LogIndex, now: MonotonicTime): RollOutProgress {
        // An index beyond the known commit index is not accepted yet as far as this leader can tell.
        val position = commitPoints.binarySearchBy(index) { it.index }
        val commitPoint = commitPoints.getOrNull(if (position < 0) -position - 1 else position)
        if (commitPoint == null) return RollOutProgress(inForce = false, Duration.ZERO)
        val change = tracked[index] ?: track(index, commitPoint.at)
        if (change in pending && change.advance(now)) pending.remove(change)
        return change.progress(now)
    }

    private fun track(index: LogIndex, committedAt: MonotonicTime): TrackedChange {
        if (tracked.size >= MAX_TRACKED_CHANGES) tracked.remove(tracked.keys.first())?.let(pending::remove)
        val change = TrackedChange(index, committedAt)
        tracked[index] = change
        pending += change
        return change
    }

    private class CommitPoint(val index: LogIndex, val at: MonotonicTime)

    private inner class TrackedChange(private val index: LogIndex, private val committedAt: MonotonicTime) {
        private val blockedUntil = HashMap<DaemonId?, MonotonicTime>()
        private val finished = mutableListOf<BlockingDaemon>()
        private var inForceAt: MonotonicTime? = null

        /** Returns whether the change is in force. */
        fun advance(now: MonotonicTime): Boolean {
            val blocking = if (index <= inForceIndex) emptyList() else grantor.blockingLeases(index, committedAt, now)
            val present = blocking.groupBy { it.daemon }.mapValues { (_, same) -> same.maxOf { it.expiry } }
            (blockedUntil.keys - present.keys).forEach { daemon -> recordEndOfWait(daemon, now) }
            blockedUntil.clear()
            blockedUntil.putAll(present)
            if (blocking.isNotEmpty()) return false
            inForceAt = now
            onKnownInForce(index)
            return true
        }

        fun progress(now: MonotonicTime): RollOutProgress {
            val end = inForceAt ?: now
            val blocking = blockedUntil.keys.map { BlockingDaemon(it, HoldCause.LEASE, end - committedAt) }
            val reported = if (blocking.isEmpty()) finished else blocking
            return RollOutProgress(inForceAt != null, end - committedAt, reported.sortedByDescending { it.waited })
        }

        private fun recordEndOfWait(daemon: DaemonId?, now: MonotonicTime) {
            val expiry = blockedUntil.getValue(daemon)
            val expired = expiry <= now
            val at = if (expired) expiry else now
            val cause = if (expired) HoldCause.LEASE else HoldCause.ACKNOWLEDGEMENT
            finished += BlockingDaemon(daemon, cause, (at - committedAt).coerceAtLeast(Duration.ZERO))
        }
    }

    private companion object {
        const val MAX_COMMIT_POINTS = 4_096
        const val MAX_TRACKED_CHANGES = 256
    }
}
