package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.JoinRequest
import org.auburnstream.consensus.ConsensusMessage.JoinResponse
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/**
 * Forms the group if it does not exist yet, else requests admission to it.
 *
 * The initial voter with the smallest id writes the first log entry (genesis) once all the others have recently
 * reported an empty log; the entry lists the incarnation of each voter. A voter that restarts without its data has a
 * new incarnation and learns from the other voters that the group exists, so it requests admission as a learner.
 *
 * @property initialVoters daemons that form the group.
 * @property peers returns the daemons that are asked for admission.
 */
internal class GroupBootstrap(
    private val core: ReplicaCore,
    private val initialVoters: Set<DaemonId>,
    private val peers: () -> Set<DaemonId>,
) {
    private val emptyPeers = HashMap<DaemonId, EmptyPeer>()
    private var groupExists = false
    private var nextRequestAt = core.now

    /** Time at which [tick] is due. */
    val deadline: MonotonicTime
        get() = nextRequestAt

    private val isNonMember: Boolean
        get() = core.id !in core.configuration.recipients

    private val isLogEmpty: Boolean
        get() = core.log.lastIndex == NoIndex

    fun tick() {
        if (core.now < nextRequestAt) return
        nextRequestAt = core.now + core.settings.joinInterval
        // A member without a leader may have been removed by a change that it has not received.
        if (!isNonMember && core.leader != null) return
        for (peer in peers() - core.id.daemon) {
            val request = JoinRequest(core.self.copy(role = MemberRole.LEARNER))
            core.outbox.emit(Effect.Send(peer, Envelope(core.group, core.id, message = request)))
        }
        formIfReady()
    }

    fun onJoinRequest(from: MemberId) {
        val first = core.log.entry(FIRST_INDEX)
        val genesis = first?.takeIf { it.payload is EntryPayload.Membership && it.payload.configuration.isVoter(from) }
        core.outbox.send(from, JoinResponse(core.self, isLogEmpty, genesis))
    }

    fun onJoinResponse(response: JoinResponse) {
        if (!isLogEmpty) return
        if (response.senderIsEmpty) {
            emptyPeers[response.member.id.daemon] = EmptyPeer(response.member, core.now)
            return formIfReady()
        }
        groupExists = true
        val genesis = response.genesis ?: return
        val payload = genesis.payload as? EntryPayload.Membership ?: return
        if (genesis.index == FIRST_INDEX && payload.configuration.isVoter(core.id)) adoptGenesis(genesis)
    }

    private fun formIfReady() {
        if (!isLogEmpty || groupExists || core.self.id.daemon != initialVoters.minOrNull()) return
        val otherVoters = (initialVoters - core.id.daemon).map { emptyPeers[it] ?: return }
        val oldestValidResponse = core.now - core.settings.joinInterval * EMPTY_RESPONSE_VALIDITY_INTERVALS
        if (otherVoters.any { it.respondedAt < oldestValidResponse }) return
        val members = (otherVoters.map { it.member } + core.self).map { it.copy(role = MemberRole.VOTER) }
        val configuration = Configuration(members.sortedBy { it.id })
        val genesis = LogEntry(FIRST_INDEX, FIRST_TERM, EntryPayload.Membership(configuration))
        adoptGenesis(genesis)
        val announcement = JoinResponse(core.self, senderIsEmpty = false, genesis)
        core.outbox.afterPersist { otherVoters.forEach { core.outbox.send(it.member.id, announcement) } }
    }

    private fun adoptGenesis(genesis: LogEntry) {
        core.log.append(genesis)
        core.outbox.recordEntry(genesis)
        if (core.term < genesis.term) core.recordHardState(HardState(genesis.term))
        core.resetElectionDeadline()
        emptyPeers.clear()
    }

    /** Initial voter that reported an empty log at [respondedAt]. */
    private class EmptyPeer(val member: Member, val respondedAt: MonotonicTime)

    private companion object {
        val FIRST_INDEX = LogIndex(1)
        const val FIRST_TERM = 1L
        const val EMPTY_RESPONSE_VALIDITY_INTERVALS = 3
    }
}
