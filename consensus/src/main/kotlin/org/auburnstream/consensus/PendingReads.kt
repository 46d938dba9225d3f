package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Tracks linearizable reads until a quorum confirms the leadership with a heartbeat round started after the read. */
internal class PendingReads(private val outbox: Outbox) {
    private val awaitingRound = ArrayDeque<PendingRead>()

    /** Reads that arrived before the first commit of this leadership; their read index is not known yet. */
    private val deferred = ArrayList<ReadId>()

    /** Latest heartbeat round that a read waits for. */
    var latestAwaitedRound: Long = 0
        private set

    fun deferUntilFirstCommit(id: ReadId) {
        deferred.add(id)
    }

    /** Adds a read of the state at [index], which a quorum's answers to [round] confirm. */
    fun add(id: ReadId, index: LogIndex, round: Long) {
        awaitingRound.add(PendingRead(id, index, round))
        latestAwaitedRound = round
    }

    /** Returns and removes the reads that waited for the first commit. */
    fun takeDeferred(): List<ReadId> = deferred.toList().also { deferred.clear() }

    fun confirm(round: Long) {
        while (awaitingRound.isNotEmpty() && awaitingRound.first().round <= round) {
            val read = awaitingRound.removeFirst()
            outbox.emit(Effect.CompleteRead(read.id, read.index))
        }
    }

    fun rejectAll() {
        (deferred + awaitingRound.map { it.id }).forEach { outbox.emit(Effect.RejectRead(it)) }
        deferred.clear()
        awaitingRound.clear()
    }

    private class PendingRead(val id: ReadId, val index: LogIndex, val round: Long)
}
