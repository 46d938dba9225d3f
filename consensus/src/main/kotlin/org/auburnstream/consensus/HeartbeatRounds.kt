package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/** Numbers the broadcasts of one leadership and remembers when each was sent. */
internal class HeartbeatRounds(startedAt: MonotonicTime) {
    private val sent = ArrayDeque<SentRound>()

    /** Latest round. */
    var current: Long = 0
        private set

    /** Latest round that a quorum answered. */
    var confirmed: Long = 0
        private set

    /** When the latest round that a quorum answered was sent, or null before the first. */
    var confirmedAt: MonotonicTime? = null
        private set

    /** When a quorum was last known to follow: the start of the leadership or [confirmedAt]. */
    var lastQuorum: MonotonicTime = startedAt
        private set

    fun start(now: MonotonicTime): Long {
        current += 1
        sent.addLast(SentRound(current, now))
        return current
    }

    fun confirm(round: Long) {
        if (round <= confirmed) return
        confirmed = round
        while (sent.isNotEmpty() && sent.first().round <= round) {
            val first = sent.removeFirst()
            confirmedAt = first.at
            lastQuorum = first.at
        }
    }

    private class SentRound(val round: Long, val at: MonotonicTime)
}
