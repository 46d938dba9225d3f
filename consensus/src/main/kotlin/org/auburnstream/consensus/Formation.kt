package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.JoinRequest
import org.auburnstream.consensus.ConsensusMessage.JoinResponse
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/**
 * Forms the group when it does not exist yet, and asks for admission to it afterwards.
 *
 * The first of [initialVoters] writes the first entry once all of them have answered that they hold nothing; the
 * entry names the incarnation of each. A voter that comes back without its data has another incarnation and hears
 * from the others that the group exists, so it asks for admission as a learner.
 */
internal class Formation(
    private val core: ReplicaCore,
    private val initialVoters: Set<DaemonId>,
    private val peers: () -> Set<DaemonId>,
) {
    private val fresh = HashMap<DaemonId, FreshPeer>()
    private var groupExists = false
    private var nextRequest = core.now

    /** When [tick] is due. */
    val deadline: MonotonicTime
        get() = nextRequest

    private val isOutside: Boolean
        get() = core.id !in core.configuration.recipients

    private val isFresh: Boolean
        get() = core.log.lastIndex == NoIndex

    fun tick() {
        if (core.now < nextRequest) return
        nextRequest = core.now + core.settings.joinInterval
        // A member that no leader talks to may have been left out by a change that it has not seen.
        if (!isOutside && core.leader != null) return
        for (peer in peers() - core.id.daemon) {
            val request = JoinRequest(core.self.copy(role = MemberRole.LEARNER))
            core.outbox.emit(Effect.Send(peer, Envelope(core.group, core.id, message = request)))
        }
        form()
    }

    fun onJoinRequest(from: MemberId) {
        val first = core.log.entry(FIRST_INDEX)
        val genesis = first?.takeIf { it.payload is EntryPayload.Membership && it.payload.configuration.isVoter(from) }
        core.outbox.send(from, JoinResponse(core.self, isFresh, genesis))
    }

    fun onJoinResponse(response: JoinResponse) {
        if (!isFresh) return
        if (response.fresh) {
            fresh[response.member.id.daemon] = FreshPeer(response.member, core.now)
            return form()
        }
        groupExists = true
        val genesis = response.genesis ?: return
        val payload = genesis.payload as? EntryPayload.Membership ?: return
        if (genesis.index == FIRST_INDEX && payload.configuration.isVoter(core.id)) adopt(genesis)
    }

    private fun form() {
        if (!isFresh || groupExists || core.self.id.daemon != initialVoters.minOrNull()) return
        val others = (initialVoters - core.id.daemon).map { fresh[it] ?: return }
        val oldest = core.now - core.settings.joinInterval * FRESH_INTERVALS
        if (others.any { it.heardAt < oldest }) return
        val members = (others.map { it.member } + core.self).map { it.copy(role = MemberRole.VOTER) }
        val configuration = Configuration(members.sortedBy { it.id })
        val genesis = LogEntry(FIRST_INDEX, FIRST_TERM, EntryPayload.Membership(configuration))
        adopt(genesis)
        val announcement = JoinResponse(core.self, fresh = false, genesis)
        core.outbox.afterPersist { others.forEach { core.outbox.send(it.member.id, announcement) } }
    }

    private fun adopt(genesis: LogEntry) {
        core.log.append(genesis)
        core.outbox.recordEntry(genesis)
        if (core.term < genesis.term) core.recordHardState(HardState(genesis.term))
        core.resetElectionDeadline()
        fresh.clear()
    }

    private class FreshPeer(val member: Member, val heardAt: MonotonicTime)

    private companion object {
        val FIRST_INDEX = LogIndex(1)
        const val FIRST_TERM = 1L
        const val FRESH_INTERVALS = 3
    }
}
