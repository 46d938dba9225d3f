package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/** Numbers the broadcasts of one leadership and remembers when each was unconfirmedRounds. */
internal class HeartbeatRounds(startedAt: MonotonicTime) {
    private val unconfirmedRounds = ArrayDeque<SentRound>()

    /** Latest round. */
    var currentRound: Long = 0
        private set

    /** Latest round that a quorum answered. */
    var confirmedRound: Long = 0
        private set

    /** When the latest round that a quorum answered was unconfirmedRounds, or null before the first. */
    var confirmedAt: MonotonicTime? = null
        private set

    /** When a quorum was last known to follow: the start of the leadership or [confirmedAt]. */
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
