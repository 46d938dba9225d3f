package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks changes from their commit until they are in force, and records the daemons that delayed them.
 *
 * Runs on every daemon, because a change that is in force stays in force under the next leader.
 *
 * Keeps the commit times of the latest [MAX_COMMIT_POINTS] steps of the commit index and
 * [MAX_TRACKED_CHANGES] tracked changes.
 */
public class RollOutTracker(private val grantor: LeaseGrantor, private val policy: LeasePolicy = LeasePolicy()) {
    private val commitPoints = ArrayDeque<CommitPoint>()
    private val tracked = LinkedHashMap<LogIndex, TrackedChange>()
    private val pending = ArrayList<TrackedChange>()

    /**
     * Index up to which all changes are known to be in force under any leader.
     *
     * Every daemon forwards it in its lease messages, so it survives a change of the leader.
     */
    public var inForceIndex: LogIndex = LogIndex(0)
        private set

    /** Records that all changes up to [index] are known to be in force, for example from another daemon. */
    public fun onKnownInForce(index: LogIndex) {
        inForceIndex = maxOf(inForceIndex, index)
    }

    /** Records that this daemon, whether leader or not, knows at [now] that the log is committed up to [index]. */
    public fun onCommitted(index: LogIndex, now: MonotonicTime) {
        if (commitPoints.isNotEmpty() && commitPoints.last().index >= index) return
        commitPoints.addLast(CommitPoint(index, now))
        if (commitPoints.size > MAX_COMMIT_POINTS) commitPoints.removeFirst()
    }

    /**
     * Stops tracking individual changes because this daemon became the leader or ceased to be the leader.
     *
     * Known commit times and [inForceIndex] remain valid.
     */
    public fun onLeadershipChanged() {
        tracked.clear()
        pending.clear()
    }

    /** Updates all tracked changes for the current leases and the time [now]. */
    public fun advance(now: MonotonicTime) {
        // All leases granted before a commit, by any leader, have expired one lease duration after it.
        commitPoints.lastOrNull { it.at + policy.assumedLifetime <= now }?.let { onKnownInForce(it.index) }
        pending.removeAll { it.advance(now) }
    }

    /** Returns the progress of the change at [index] at time [now] and starts tracking the change. */
    public fun progress(index: LogIndex, now: MonotonicTime): RollOutProgress {
        // This daemon does not yet know that an index beyond the known commit index is committed.
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

    /** Time at which this daemon first knew that the log was committed up to [index]. */
    private class CommitPoint(val index: LogIndex, val at: MonotonicTime)

    /** Roll-out state of one change. */
    private inner class TrackedChange(private val index: LogIndex, private val committedAt: MonotonicTime) {
        private val blockedUntil = HashMap<DaemonId?, MonotonicTime>()
        private val finished = mutableListOf<BlockingDaemon>()
        private var inForceAt: MonotonicTime? = null

        /** Updates the set of blocking daemons and returns whether the change is in force. */
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
