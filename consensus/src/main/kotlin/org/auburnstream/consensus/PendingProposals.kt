package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Proposals of this replica whose fate is open; they outlive the leadership they were made under. */
internal class PendingProposals(private val outbox: Outbox) {
    private val byIndex = LinkedHashMap<LogIndex, PendingProposal>()

    val size: Int
        get() = byIndex.size

    /** Bytes of the commands together. */
    var bytes: Int = 0
        private set

    fun add(id: ProposalId, entry: LogEntry) {
        remove(entry.index)?.let { outbox.emit(Effect.AbandonProposal(it.id)) }
        byIndex[entry.index] = PendingProposal(id, entry.term, entry.payload.approximateBytes)
        bytes += entry.payload.approximateBytes
    }

    /** Ends the proposal at the index of the committed [entry]. */
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

    /** Gives up on the proposals up to [index], whose entries are hidden in a snapshot. */
    fun abandonUpTo(index: LogIndex) {
        val skipped = byIndex.keys.filter { it <= index }
        skipped.mapNotNull(::remove).forEach { outbox.emit(Effect.AbandonProposal(it.id)) }
    }

    private fun remove(index: LogIndex): PendingProposal? = byIndex.remove(index)?.also { bytes -= it.bytes }

    private class PendingProposal(val id: ProposalId, val term: Long, val bytes: Int)
}
