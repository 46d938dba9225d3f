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
 * Keeps the commit times of the latest [MAX_MARKS] steps of the commit index and [MAX_WATCHED] watched changes.
 */
public class RollOut(private val grantor: LeaseGrantor, private val policy: LeasePolicy = LeasePolicy()) {
    private val marks = ArrayDeque<CommitMark>()
    private val watched = LinkedHashMap<LogIndex, Watch>()
    private val open = ArrayList<Watch>()

    /** Everything up to here is in force, whoever leads; outlives a leader because every daemon passes it on. */
    public var inForceIndex: LogIndex = LogIndex(0)
        private set

    /** Tells that another daemon knows everything up to [index] to be in force. */
    public fun learn(index: LogIndex) {
        inForceIndex = maxOf(inForceIndex, index)
    }

    /** Tells that this daemon, leading or not, knows at [now] that everything up to [index] is committed. */
    public fun onCommitted(index: LogIndex, now: MonotonicTime) {
        if (marks.isNotEmpty() && marks.last().index >= index) return
        marks.addLast(CommitMark(index, now))
        if (marks.size > MAX_MARKS) marks.removeFirst()
    }

    /** Tells that this daemon begins or ends to lead; what it knows of commitments stays true. */
    public fun onLeadershipChanged() {
        watched.clear()
        open.clear()
    }

    /** Brings everything up to date with the leases and the time [now]. */
    public fun advance(now: MonotonicTime) {
        // Leases granted before a change was committed have run out one lease later, also those of other leaders.
        marks.lastOrNull { it.at + policy.assumed <= now }?.let { learn(it.index) }
        open.removeAll { it.advance(now) }
    }

    /** Returns how far the change at [index] is at [now], and watches it from now on. */
    public fun progress(index: LogIndex, now: MonotonicTime): RollOutProgress {
        // An index beyond the known commit index is not accepted yet as far as this leader can tell.
        val position = marks.binarySearchBy(index) { it.index }
        val mark = marks.getOrNull(if (position < 0) -position - 1 else position)
        if (mark == null) return RollOutProgress(inForce = false, Duration.ZERO)
        val watch = watched[index] ?: watch(index, mark.at)
        if (watch in open && watch.advance(now)) open.remove(watch)
        return watch.progress(now)
    }

    private fun watch(index: LogIndex, committedAt: MonotonicTime): Watch {
        if (watched.size >= MAX_WATCHED) watched.remove(watched.keys.first())?.let(open::remove)
        val watch = Watch(index, committedAt)
        watched[index] = watch
        open += watch
        return watch
    }

    private class CommitMark(val index: LogIndex, val at: MonotonicTime)

    private inner class Watch(private val index: LogIndex, private val committedAt: MonotonicTime) {
        private val holding = HashMap<DaemonId?, MonotonicTime>()
        private val released = mutableListOf<HeldBack>()
        private var inForceAt: MonotonicTime? = null

        /** Returns whether the change is in force. */
        fun advance(now: MonotonicTime): Boolean {
            val holds = if (index <= inForceIndex) emptyList() else grantor.holds(index, committedAt, now)
            val present = holds.groupBy { it.daemon }.mapValues { (_, same) -> same.maxOf { it.until } }
            (holding.keys - present.keys).forEach { daemon -> release(daemon, now) }
            holding.clear()
            holding.putAll(present)
            if (holds.isNotEmpty()) return false
            inForceAt = now
            learn(index)
            return true
        }

        fun progress(now: MonotonicTime): RollOutProgress {
            val end = inForceAt ?: now
            val open = holding.keys.map { HeldBack(it, HoldCause.LEASE, end - committedAt) }
            val held = if (open.isEmpty()) released else open
            return RollOutProgress(inForceAt != null, end - committedAt, held.sortedByDescending { it.waited })
        }

        private fun release(daemon: DaemonId?, now: MonotonicTime) {
            val until = holding.getValue(daemon)
            val byLease = until <= now
            val at = if (byLease) until else now
            val cause = if (byLease) HoldCause.LEASE else HoldCause.ACKNOWLEDGEMENT
            released += HeldBack(daemon, cause, (at - committedAt).coerceAtLeast(Duration.ZERO))
        }
    }

    private companion object {
        const val MAX_MARKS = 4_096
        const val MAX_WATCHED = 256
    }
}
