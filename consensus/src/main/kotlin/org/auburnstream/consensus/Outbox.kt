package org.auburnstream.consensus

import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex

/** Collects the effects of an input, batches writes, and defers actions until the preceding writes are durable. */
internal class Outbox(private val self: MemberId, private val group: GroupId, restoredIndex: LogIndex) {
    private var effects = ArrayList<Effect>()
    private val outstandingPersists = ArrayDeque<OutstandingPersist>()
    private val deferredActions = ArrayDeque<DeferredAction>()
    private var lastSequence = 0L
    private var hardStateSequence = 0L
    private var unflushedHardState: HardState? = null
    private var unflushedTruncateFrom: LogIndex? = null
    private val unflushedEntries = ArrayList<LogEntry>()
    private var lastIndex = restoredIndex

    /** Last index up to which the current log is durable. */
    var durableIndex: LogIndex = restoredIndex
        private set

    fun emit(effect: Effect) {
        effects.add(effect)
    }

    fun send(to: MemberId, message: ConsensusMessage) {
        emit(Effect.Send(to.daemon, Envelope(group, self, to.incarnation, message)))
    }

    /** Runs [action] once all writes recorded so far are durable. */
    fun afterPersist(action: () -> Unit) {
        deferredActions.add(DeferredAction(sequenceOfLatestRecord(), action))
    }

    /** Whether the current term and vote are durable. */
    val isTermDurable: Boolean
        get() = unflushedHardState == null && isDurable(hardStateSequence)

    /** Runs [action] once the current term is durable, immediately if it already is. */
    fun afterTermPersisted(action: () -> Unit) {
        if (isTermDurable) action() else afterPersist(action)
    }

    fun recordHardState(state: HardState) {
        unflushedHardState = state
        hardStateSequence = lastSequence + 1
    }

    fun recordEntry(entry: LogEntry) {
        unflushedEntries.add(entry)
        lastIndex = entry.index
    }

    fun recordTruncation(from: LogIndex) {
        unflushedTruncateFrom = minOf(unflushedTruncateFrom ?: from, from)
        unflushedEntries.removeAll { it.index >= from }
        lastIndex = from - 1
        limitDurableTo(lastIndex)
    }

    /** Emits the replacement of the whole log by a snapshot, after all writes recorded so far. */
    fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray) {
        flush()
        lastIndex = metadata.index
        limitDurableTo(lastIndex)
        lastSequence += 1
        emit(Effect.InstallSnapshot(lastSequence, metadata, bytes))
        outstandingPersists.add(OutstandingPersist(lastSequence, lastIndex))
    }

    /** Records that all writes up to [sequence] are durable. */
    fun onPersistCompleted(sequence: Long) {
        while (outstandingPersists.isNotEmpty() && outstandingPersists.first().sequence <= sequence) {
            durableIndex = outstandingPersists.removeFirst().lastIndex
        }
    }

    /** Runs the deferred actions that are due and returns the effects collected since the last call. */
    fun drain(): List<Effect> {
        flush()
        while (deferredActions.isNotEmpty() && isDurable(deferredActions.first().sequence)) {
            deferredActions.removeFirst().action()
            flush()
        }
        val drained = effects
        effects = ArrayList()
        return drained
    }

    private fun limitDurableTo(index: LogIndex) {
        durableIndex = minOf(durableIndex, index)
        outstandingPersists.forEach { it.lastIndex = minOf(it.lastIndex, index) }
    }

    private fun flush() {
        if (unflushedHardState == null && unflushedTruncateFrom == null && unflushedEntries.isEmpty()) return
        lastSequence += 1
        emit(Effect.Persist(lastSequence, unflushedHardState, unflushedTruncateFrom, unflushedEntries.toList()))
        outstandingPersists.add(OutstandingPersist(lastSequence, lastIndex))
        unflushedHardState = null
        unflushedTruncateFrom = null
        unflushedEntries.clear()
    }

    private fun sequenceOfLatestRecord(): Long {
        val unflushed = unflushedHardState != null || unflushedTruncateFrom != null || unflushedEntries.isNotEmpty()
        return if (unflushed) lastSequence + 1 else lastSequence
    }

    private fun isDurable(sequence: Long): Boolean =
        (outstandingPersists.firstOrNull()?.sequence ?: Long.MAX_VALUE) > sequence

    private class OutstandingPersist(val sequence: Long, var lastIndex: LogIndex)

    private class DeferredAction(val sequence: Long, val action: () -> Unit)
}
