package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/** Numbers the heartbeat broadcasts of one leadership and tracks when the last confirmed one was sent. */
internal class HeartbeatRounds(startedAt: MonotonicTime) {
    private val unconfirmedRounds = ArrayDeque<SentRound>()

    /** Latest round that was started. */
    var currentRound: Long = 0
        private set

    /** Latest round that a quorum answered. */
    var confirmedRound: Long = 0
        private set

    /** Send time of the latest round that a quorum answered, or null before the first such round. */
    var confirmedAt: MonotonicTime? = null
        private set

    /** Time of the last known contact with a quorum: [confirmedAt], or the start of the leadership before that. */
    var lastQuorumContact: MonotonicTime = startedAt
        private set

    fun startRound(now: MonotonicTime): Long {
        currentRound += 1
        unconfirmedRounds.addLast(SentRound(currentRound, now))
        return currentRound
    }

    fun confirm(round: Long) {
        if (round <= confirmedRound) return
        confirmedRound = round
        while (unconfirmedRounds.isNotEmpty() && unconfirmedRounds.first().round <= round) {
            val first = unconfirmedRounds.removeFirst()
            confirmedAt = first.sentAt
            lastQuorumContact = first.sentAt
        }
    }

    private class SentRound(val round: Long, val sentAt: MonotonicTime)
}
