package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Tracks proposals of this replica that are neither committed nor rejected; they outlast its leadership. */
internal class PendingProposals(private val outbox: Outbox) {
    private val byIndex = LinkedHashMap<LogIndex, PendingProposal>()

    val size: Int
        get() = byIndex.size

    /** Total size of the pending commands. */
    var bytes: Int = 0
        private set

    fun add(id: ProposalId, entry: LogEntry) {
        remove(entry.index)?.let { outbox.emit(Effect.AbandonProposal(it.id)) }
        byIndex[entry.index] = PendingProposal(id, entry.term, entry.payload.approximateBytes)
        bytes += entry.payload.approximateBytes
    }

    /** Completes the proposal at the index of the committed [entry], or rejects it if another entry took its index. */
    fun onCommitted(entry: LogEntry) {
        val proposal = remove(entry.index) ?: return
        val sameEntry = proposal.term == entry.term
        outbox.emit(
            if (sameEntry) {
                Effect.CompleteProposal(proposal.id, entry.index)
            } else {
                Effect.RejectProposal(proposal.id, ProposalRefusal.SUPERSEDED)
            },
        )
    }

    /** Abandons the proposals up to [index]: a snapshot replaced their entries, so their outcome is unknown. */
    fun abandonUpTo(index: LogIndex) {
        val skipped = byIndex.keys.filter { it <= index }
        skipped.mapNotNull(::remove).forEach { outbox.emit(Effect.AbandonProposal(it.id)) }
    }

    private fun remove(index: LogIndex): PendingProposal? = byIndex.remove(index)?.also { bytes -= it.bytes }

    private class PendingProposal(val id: ProposalId, val term: Long, val bytes: Int)
}
