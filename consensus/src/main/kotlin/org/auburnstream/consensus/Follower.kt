package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.AppendRequest
import org.auburnstream.consensus.ConsensusMessage.AppendResponse
import org.auburnstream.consensus.ConsensusMessage.Heartbeat
import org.auburnstream.consensus.ConsensusMessage.HeartbeatResponse
import org.auburnstream.consensus.ConsensusMessage.SnapshotChunk
import org.auburnstream.consensus.ConsensusMessage.SnapshotResponse
import org.auburnstream.model.LogIndex

/** Handles messages from a leader; sends each acknowledgement only once the state that it confirms is durable. */
internal class Follower(private val core: ReplicaCore) {
    private var incomingSnapshot: IncomingSnapshot? = null

    fun onHeartbeat(from: MemberId, heartbeat: Heartbeat) {
        val response = HeartbeatResponse(maxOf(core.term, heartbeat.term), heartbeat.round)
        if (!acceptLeader(from, heartbeat.term)) return core.outbox.send(from, response)
        core.commitTo(minOf(heartbeat.commitIndex, core.log.lastIndex))
        // The response confirms only the term, so it must not wait for entries: a slow sync would end the leadership.
        val term = core.term
        core.outbox.afterTermPersisted { if (core.term == term) core.outbox.send(from, response) }
    }

    fun onAppend(from: MemberId, request: AppendRequest) {
        if (!acceptLeader(from, request.term)) {
            return core.outbox.send(from, AppendResponse(core.term, false, NoIndex, request.previousIndex))
        }
        val isCompacted = request.previousIndex < core.log.baseIndex
        val matches = isCompacted || core.log.termAt(request.previousIndex) == request.previousTerm
        if (!matches) {
            return respondAfterPersist(
                from,
                AppendResponse(core.term, false, retryIndex(request), request.previousIndex),
            )
        }
        request.entries.filter { it.index > core.log.baseIndex }.forEach(::storeEntry)
        val match = request.previousIndex + request.entries.size.toLong()
        core.commitTo(minOf(request.commitIndex, match))
        respondAfterPersist(from, AppendResponse(core.term, true, match, request.previousIndex))
    }

    fun onSnapshotChunk(from: MemberId, chunk: SnapshotChunk) {
        val index = chunk.metadata.index
        if (!acceptLeader(from, chunk.term)) return core.outbox.send(from, SnapshotResponse(core.term, index, 0))
        if (core.log.termAt(index) == chunk.metadata.term || index <= core.commitIndex) {
            core.commitTo(index)
            return respondAfterPersist(from, SnapshotResponse(core.term, index, chunk.totalBytes, done = true))
        }
        val snapshot = addChunk(chunk) ?: return core.outbox.send(from, SnapshotResponse(core.term, index, 0))
        if (!snapshot.isComplete) {
            return core.outbox.send(from, SnapshotResponse(core.term, index, snapshot.receivedBytes))
        }
        incomingSnapshot = null
        core.installSnapshot(chunk.metadata, snapshot.assemble())
        respondAfterPersist(from, SnapshotResponse(core.term, index, chunk.totalBytes, done = true))
    }

    private fun acceptLeader(from: MemberId, term: Long): Boolean {
        if (term < core.term) return false
        check(core.role != RaftRole.LEADER || term > core.term) { "two leaders in term $term: ${core.id} and $from" }
        core.becomeFollower(term, from)
        return true
    }

    private fun storeEntry(entry: LogEntry) {
        val term = core.log.termAt(entry.index)
        if (term == entry.term) return
        if (term != null) {
            check(entry.index > core.commitIndex) { "committed entry ${entry.index} of term $term would be replaced" }
            core.log.truncateFrom(entry.index)
            core.outbox.recordTruncation(entry.index)
        }
        core.log.append(entry)
        core.outbox.recordEntry(entry)
    }

    private fun retryIndex(request: AppendRequest): LogIndex {
        if (request.previousIndex > core.log.lastIndex) return core.log.lastIndex + 1
        return maxOf(core.log.firstIndexOfTerm(request.previousIndex), core.commitIndex + 1)
    }

    /** Sends [response] once all writes recorded so far are durable, unless the term has changed by then. */
    private fun respondAfterPersist(to: MemberId, response: ConsensusMessage) {
        val term = core.term
        core.outbox.afterPersist { if (core.term == term) core.outbox.send(to, response) }
    }

    /** Adds [chunk] to the incoming snapshot and returns it, or returns null if the snapshot exceeds the size limit. */
    private fun addChunk(chunk: SnapshotChunk): IncomingSnapshot? {
        if (chunk.totalBytes > core.settings.maxSnapshotBytes) return null
        val current =
            incomingSnapshot?.takeIf { it.isPartOf(chunk) } ?: IncomingSnapshot(chunk.metadata, chunk.totalBytes)
        incomingSnapshot = current
        current.add(chunk)
        return current
    }

    /** Chunks of a snapshot in the order of their offsets; a chunk at an unexpected offset is ignored. */
    private class IncomingSnapshot(private val metadata: SnapshotMetadata, private val totalBytes: Long) {
        private val chunks = ArrayList<ByteArray>()

        var receivedBytes = 0L
            private set

        val isComplete: Boolean
            get() = receivedBytes == totalBytes

        fun isPartOf(chunk: SnapshotChunk): Boolean = metadata == chunk.metadata && totalBytes == chunk.totalBytes

        fun add(chunk: SnapshotChunk) {
            if (chunk.offset != receivedBytes || receivedBytes + chunk.bytes.size > totalBytes) return
            chunks.add(chunk.bytes)
            receivedBytes += chunk.bytes.size
        }

        fun assemble(): ByteArray {
            val bytes = ByteArray(totalBytes.toInt())
            var position = 0
            for (chunk in chunks) {
                chunk.copyInto(bytes, position)
                position += chunk.size
            }
            return bytes
        }
    }
}
