package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Proposals of this replica whose fate is open; they outlive the leadership they were made under. */
internal class PendingProposals(private val outbox: Outbox) {
    private val byIndex = LinkedHashMap<LogIndex, PendingProposal>()

    val size: Int
        get() = byIndex.size

    fun add(id: ProposalId, entry: LogEntry) {
        byIndex.put(entry.index, PendingProposal(id, entry.term))?.let { outbox.emit(Effect.AbandonProposal(it.id)) }
    }

    /** Ends the proposal at the index of the committed [entry]. */
    fun committed(entry: LogEntry) {
        val proposal = byIndex.remove(entry.index) ?: return
        val sameEntry = proposal.term == entry.term
        outbox.emit(
            if (sameEntry) {
                Effect.CompleteProposal(proposal.id, entry.index)
            } else {
                Effect.RejectProposal(proposal.id, ProposalRefusal.SUPERSEDED)
            },
        )
    }

    /** Gives up on the proposals up to [index], whose entries are hidden in a snapshot. */
    fun skippedTo(index: LogIndex) {
        val skipped = byIndex.filterKeys { it <= index }
        skipped.values.forEach { outbox.emit(Effect.AbandonProposal(it.id)) }
        byIndex.keys.removeAll(skipped.keys)
    }

    private class PendingProposal(val id: ProposalId, val term: Long)
}
