package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Reads that wait until a quorum has confirmed the leadership after they arrived. */
internal class PendingReads(private val outbox: Outbox) {
    private val waiting = ArrayDeque<PendingRead>()

    /** Reads that arrived before this leadership committed its first entry, whose index is not known yet. */
    private val early = ArrayList<ReadId>()

    /** Latest round that a read waits for. */
    var awaitedRound: Long = 0
        private set

    fun addEarly(id: ReadId) {
        early.add(id)
    }

    /** Adds a read of everything up to [index] that [round] must confirm. */
    fun add(id: ReadId, index: LogIndex, round: Long) {
        waiting.add(PendingRead(id, index, round))
        awaitedRound = round
    }

    /** Returns and removes the reads that waited for the first commitment. */
    fun takeEarly(): List<ReadId> = early.toList().also { early.clear() }

    fun confirm(round: Long) {
        while (waiting.isNotEmpty() && waiting.first().round <= round) {
            val read = waiting.removeFirst()
            outbox.emit(Effect.ReadReady(read.id, read.index))
        }
    }

    fun refuseAll() {
        (early + waiting.map { it.id }).forEach { outbox.emit(Effect.ReadRefused(it)) }
        early.clear()
        waiting.clear()
    }

    private class PendingRead(val id: ReadId, val index: LogIndex, val round: Long)
}
