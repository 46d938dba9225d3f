package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.AppendRequest
import org.auburnstream.consensus.ConsensusMessage.AppendResponse
import org.auburnstream.consensus.ConsensusMessage.HandOver
import org.auburnstream.consensus.ConsensusMessage.Heartbeat
import org.auburnstream.consensus.ConsensusMessage.HeartbeatResponse
import org.auburnstream.consensus.ConsensusMessage.SnapshotResponse
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/**
 * State of a replica while it leads a term: replicates and commits entries, confirms reads and changes the membership.
 *
 * A new instance is created for each leadership; [dispose] ends it.
 */
internal class Leader(private val core: ReplicaCore) {
    private val log = core.log
    private val progress = HashMap<MemberId, PeerProgress>()
    private val rounds = HeartbeatRounds(core.now)
    private val reads = PendingReads(core.outbox)
    private val membership = MembershipManager(core, progress) { append(EntryPayload.Membership(it)) }
    private val firstIndex = log.lastIndex + 1

    private var nextHeartbeatAt: MonotonicTime = core.now

    /** Separate from [nextHeartbeatAt], since reads and commits reset the heartbeat timer with each broadcast. */
    private var nextPeerCheckAt: MonotonicTime = core.now

    /** Time at which [tick] is due. */
    val deadline: MonotonicTime
        get() = minOf(nextHeartbeatAt, nextPeerCheckAt)

    /** Send time of the latest heartbeat that a quorum answered, or null before the first such heartbeat. */
    val quorumContactTime: MonotonicTime?
        get() = if (core.configuration.isQuorum { it == core.id }) core.now else rounds.confirmedAt

    private val hasCommittedOwnEntry: Boolean
        get() = core.commitIndex >= firstIndex

    /** Appends the first entry of the term and broadcasts a heartbeat. */
    fun start() {
        append(EntryPayload.NoOp)
        broadcast()
    }

    /** Steps down if no quorum has answered within [ReplicaSettings.electionTimeoutMax]. */
    fun checkQuorum() {
        val isOnlyVoter = core.configuration.isQuorum { it == core.id }
        if (!isOnlyVoter &&
            core.now - rounds.lastQuorumContact > core.settings.electionTimeoutMax
        ) {
            core.becomeFollower(core.term, null)
        }
    }

    fun tick() {
        if (core.now >= nextHeartbeatAt) broadcast()
        if (core.now < nextPeerCheckAt) return
        nextPeerCheckAt = core.now + core.settings.heartbeatInterval
        progress.forEach { (id, peer) -> resend(id, peer) }
        if (hasCommittedOwnEntry) membership.tick()
    }

    fun propose(id: ProposalId, command: ByteArray) {
        val refusal = when {
            command.size > core.settings.maxCommandBytes -> ProposalRefusal.TOO_LARGE
            core.proposals.size >= core.settings.maxPendingProposals -> ProposalRefusal.OVERLOADED
            core.proposals.bytes + command.size > core.settings.maxPendingBytes -> ProposalRefusal.OVERLOADED
            else -> null
        }
        if (refusal != null) return core.outbox.emit(Effect.RejectProposal(id, refusal))
        core.proposals.add(id, append(EntryPayload.Command(command)))
    }

    fun read(id: ReadId) {
        if (!hasCommittedOwnEntry) return reads.deferUntilFirstCommit(id)
        // Reads that arrive while a round is unconfirmed share the next round.
        val noRoundPending = reads.latestAwaitedRound <= rounds.confirmedRound
        reads.add(id, core.commitIndex, rounds.currentRound + 1)
        if (noRoundPending) broadcast()
    }

    /**
     * Steps down and asks the voter with the longest log to campaign.
     *
     * The leader steps down first, so that it takes no decision while its successor is elected.
     */
    fun handOver() {
        if (!core.settings.allowsHandOver) return
        val successor = progress.entries
            .filter { (id, peer) -> core.configuration.isVoter(id) && peer.hasAnswered && isInContact(peer) }
            .maxWithOrNull(compareBy({ it.value.matchIndex.value }, { it.value.lastContact.nanoseconds }))
            ?.key ?: return
        val term = core.term
        core.becomeFollower(term, newLeader = null)
        core.resetElectionDeadline()
        core.outbox.send(successor, HandOver(term))
    }

    fun changeMembership(id: MembershipRequestId, change: MembershipChange) {
        if (!hasCommittedOwnEntry) {
            val result = MembershipResult.Refused(MembershipRefusal.CHANGE_IN_PROGRESS)
            return core.outbox.emit(Effect.CompleteMembership(id, result))
        }
        membership.request(id, change)
    }

    fun onJoinRequest(member: Member) {
        if (hasCommittedOwnEntry) membership.admit(member)
    }

    fun onHeartbeatResponse(from: MemberId, response: HeartbeatResponse) {
        if (stepDownIfNewerTerm(from, response.term)) return
        val reconnected = progress[from]?.let { !isInContact(it) } ?: false
        val peer = recordContact(from, response.term) ?: return
        if (reconnected) resend(from, peer)
        peer.lastAckedRound = maxOf(peer.lastAckedRound, response.round)
        confirmRounds()
    }

    fun onAppendResponse(from: MemberId, response: AppendResponse) {
        if (stepDownIfNewerTerm(from, response.term)) return
        val peer = recordContact(from, response.term) ?: return
        if (response.success) recordMatch(peer, response.matchIndex) else backtrack(peer, response)
        replicate(from, peer)
    }

    fun onSnapshotResponse(from: MemberId, response: SnapshotResponse) {
        if (stepDownIfNewerTerm(from, response.term)) return
        val peer = recordContact(from, response.term) ?: return
        val transfer = peer.transfer ?: return
        if (response.index != transfer.metadata.index) return
        peer.lastActivity = core.now
        if (response.done) {
            peer.transfer = null
            recordMatch(peer, response.index)
            replicate(from, peer)
        } else if (response.nextOffset != transfer.offset) {
            sendSnapshotFrom(from, peer, transfer.copy(offset = response.nextOffset))
        }
    }

    /** Commits entries that are durable on a quorum; those of earlier terms only together with one of this term. */
    fun advanceCommit() {
        val quorumIndex = core.configuration.quorumValue { voter ->
            if (voter == core.id) core.outbox.durableIndex.value else progress[voter]?.matchIndex?.value ?: 0
        }
        val index = LogIndex(quorumIndex)
        if (index <= core.commitIndex || log.termAt(index) != core.term) return
        core.commitTo(index)
        reads.takeDeferred().forEach(::read)
        membership.onCommitted()
        if (core.commitIndex == log.lastIndex) broadcast()
    }

    /** Returns how many further voter losses the group survives at present. */
    fun failureTolerance(): FailureTolerance = membership.failureTolerance()

    /** Ends the leadership: rejects pending reads and reports a pending membership request as unknown. */
    fun dispose() {
        reads.rejectAll()
        membership.abandonRequest()
    }

    private fun append(payload: EntryPayload): LogEntry {
        val entry = LogEntry(log.lastIndex + 1, core.term, payload)
        log.append(entry)
        core.outbox.recordEntry(entry)
        updateRecipients()
        progress.forEach { (id, peer) -> replicate(id, peer) }
        core.outbox.afterPersist { if (core.role == RaftRole.LEADER && core.term == entry.term) advanceCommit() }
        return entry
    }

    private fun updateRecipients() {
        val recipients = core.configuration.recipients - core.id
        progress.keys.retainAll(recipients)
        recipients.forEach { progress.getOrPut(it) { PeerProgress(log.lastIndex, core.now) } }
    }

    private fun broadcast() {
        val round = rounds.startRound(core.now)
        nextHeartbeatAt = core.now + core.settings.heartbeatInterval
        progress.forEach { (id, peer) ->
            core.outbox.send(id, Heartbeat(core.term, round, minOf(core.commitIndex, peer.matchIndex)))
        }
        confirmRounds()
    }

    private fun confirmRounds() {
        val confirmed = core.configuration.quorumValue { voter ->
            if (voter == core.id) rounds.currentRound else progress[voter]?.lastAckedRound ?: 0
        }
        rounds.confirm(confirmed)
        reads.confirm(confirmed)
        if (reads.latestAwaitedRound > rounds.currentRound && rounds.currentRound <= rounds.confirmedRound) broadcast()
    }

    private fun replicate(id: MemberId, peer: PeerProgress) {
        if (peer.transfer != null || !isInContact(peer)) return
        while (peer.nextIndex <= log.lastIndex && peer.inFlightBatches < core.settings.maxInFlightBatches) {
            val previous = peer.nextIndex - 1
            val previousTerm = log.termAt(previous) ?: return startTransfer(id, peer)
            val entries = log.batch(peer.nextIndex, core.settings.maxBatchBytes)
            peer.nextIndex += entries.size.toLong()
            peer.inFlightBatches += 1
            peer.lastActivity = core.now
            core.outbox.send(id, AppendRequest(core.term, previous, previousTerm, entries, core.commitIndex))
        }
    }

    private fun resend(id: MemberId, peer: PeerProgress) {
        val isBehind = peer.transfer != null || peer.matchIndex < log.lastIndex
        if (!isBehind || !isInContact(peer) || core.now - peer.lastActivity < core.settings.retransmitTimeout) return
        val transfer = peer.transfer
        if (transfer != null) return sendSnapshotFrom(id, peer, transfer)
        peer.resetToMatch()
        replicate(id, peer)
    }

    private fun startTransfer(id: MemberId, peer: PeerProgress) {
        val metadata = core.snapshot ?: return
        sendSnapshotFrom(id, peer, SnapshotTransfer(metadata, offset = 0))
    }

    /** Sends the next chunk, or restarts the transfer if a newer snapshot has replaced the one in transfer. */
    private fun sendSnapshotFrom(id: MemberId, peer: PeerProgress, transfer: SnapshotTransfer) {
        val latest = core.snapshot ?: return
        val current = if (transfer.metadata == latest) transfer else SnapshotTransfer(latest, offset = 0)
        peer.transfer = current
        peer.lastActivity = core.now
        val bytes = core.settings.snapshotChunkBytes
        core.outbox.emit(Effect.SendSnapshotChunk(id, core.term, current.metadata, current.offset, bytes))
    }

    private fun recordMatch(peer: PeerProgress, match: LogIndex) {
        if (match > peer.matchIndex) {
            peer.matchIndex = match
            peer.lastActivity = core.now
        }
        peer.nextIndex = maxOf(peer.nextIndex, peer.matchIndex + 1)
        peer.inFlightBatches = if (peer.nextIndex == peer.matchIndex + 1) 0 else maxOf(0, peer.inFlightBatches - 1)
        advanceCommit()
    }

    private fun backtrack(peer: PeerProgress, response: AppendResponse) {
        val outdated = response.previousIndex < peer.matchIndex || response.previousIndex >= peer.nextIndex
        if (outdated) return
        peer.nextIndex = maxOf(minOf(response.matchIndex, response.previousIndex), peer.matchIndex + 1)
        peer.inFlightBatches = 0
    }

    /** Records a response of [from] in this term, or returns null if the response must be ignored. */
    private fun recordContact(from: MemberId, term: Long): PeerProgress? {
        if (term != core.term || core.role != RaftRole.LEADER) return null
        val peer = progress[from] ?: return null
        peer.lastContact = core.now
        peer.hasAnswered = true
        return peer
    }

    /** Whether the recipient answered recently; one that did not is sent only heartbeats. */
    private fun isInContact(peer: PeerProgress): Boolean = core.now - peer.lastContact < core.settings.contactTimeout

    private fun stepDownIfNewerTerm(from: MemberId, term: Long): Boolean {
        if (term <= core.term || from !in progress) return false
        core.becomeFollower(term, newLeader = null)
        return true
    }
}
