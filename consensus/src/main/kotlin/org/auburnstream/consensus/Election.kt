package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.HandOver
import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.consensus.ConsensusMessage.VoteResponse

/**
 * Runs the election campaigns of this replica and answers the vote requests of others.
 *
 * A campaign starts with a pre-vote, so that a replica that was partitioned does not raise the term of a working group.
 * Votes are refused while the leader is alive (Ongaro, "Consensus: Bridging Theory and Practice", 2014, sections 4.2.3
 * and 9.6).
 *
 * @property onElected called when this replica wins an election.
 */
internal class Election(private val core: ReplicaCore, private val onElected: () -> Unit) {
    private val grantedVotes = HashSet<MemberId>()
    private var undecidedCampaigns = 0

    /** Starts a campaign if the election deadline has passed without contact from a leader. */
    fun tick() {
        if (core.now < core.electionDeadline) return
        // A new campaign would have to wait until the store has persisted the vote of the current one.
        if (core.role == RaftRole.CANDIDATE && !core.outbox.isTermDurable) return core.resetCampaignDeadline()
        undecidedCampaigns = if (core.role == RaftRole.FOLLOWER) 0 else undecidedCampaigns + 1
        core.clearLeader()
        if (core.mayCampaign) return campaign(preVote = true)
        core.role = RaftRole.FOLLOWER
        core.resetElectionDeadline()
    }

    fun onVoteRequest(from: MemberId, request: VoteRequest) {
        val isHandedOver = request.handedOver && core.settings.allowsHandOver
        val leaderAlive = core.role == RaftRole.LEADER || (core.isLeaderAlive && !isHandedOver)
        if (leaderAlive || request.term < core.term) {
            core.outbox.send(from, VoteResponse(core.term, granted = false, preVote = request.preVote))
            return
        }
        if (request.preVote) respondToPreVote(from, request) else respondToVote(from, request)
    }

    fun onVoteResponse(from: MemberId, response: VoteResponse) {
        if (!response.granted) {
            if (response.term > core.term) core.becomeFollower(response.term, newLeader = null)
            return
        }
        val expectedRole = if (response.preVote) RaftRole.PRE_CANDIDATE else RaftRole.CANDIDATE
        val expectedTerm = if (response.preVote) core.term + 1 else core.term
        if (core.role == expectedRole && response.term == expectedTerm) recordVote(from)
    }

    /** Campaigns without a pre-vote if the leader of the current term has stepped down in favour of this replica. */
    fun onHandOver(from: MemberId, message: HandOver) {
        val isFromLeader = message.term == core.term && from == core.leader
        if (!core.settings.allowsHandOver || !isFromLeader || !core.isVoter) return
        undecidedCampaigns = 0
        core.clearLeader()
        campaign(preVote = false, handedOver = true)
    }

    private fun campaign(preVote: Boolean, handedOver: Boolean = false) {
        grantedVotes.clear()
        // If the store needs longer than the campaign timeout to persist a vote, short campaigns never succeed.
        if (undecidedCampaigns < MAX_SHORT_CAMPAIGNS) core.resetCampaignDeadline() else core.resetElectionDeadline()
        core.role = if (preVote) RaftRole.PRE_CANDIDATE else RaftRole.CANDIDATE
        if (!preVote) core.recordHardState(HardState(core.term + 1, core.id))
        val term = if (preVote) core.term + 1 else core.term
        val role = core.role
        core.outbox.afterPersist {
            val current = core.role == role && (preVote || core.term == term)
            if (current) requestVotes(VoteRequest(term, core.log.lastIndex, core.log.lastTerm, preVote, handedOver))
        }
    }

    private fun requestVotes(request: VoteRequest) {
        (core.configuration.recipients - core.id)
            .filter(core.configuration::isVoter)
            .forEach { core.outbox.send(it, request) }
        recordVote(core.id)
    }

    private fun recordVote(voter: MemberId) {
        grantedVotes.add(voter)
        if (!core.configuration.isQuorum { it in grantedVotes }) return
        if (core.role == RaftRole.PRE_CANDIDATE) campaign(preVote = false) else onElected()
    }

    private fun respondToPreVote(from: MemberId, request: VoteRequest) {
        val granted = request.term > core.term && isUpToDate(request)
        core.outbox.send(from, VoteResponse(if (granted) request.term else core.term, granted, preVote = true))
    }

    private fun respondToVote(from: MemberId, request: VoteRequest) {
        if (request.term > core.term) core.becomeFollower(request.term, newLeader = null)
        val vote = core.hardState.vote
        val granted = (vote == null || vote == from) && isUpToDate(request)
        if (granted && vote == null) {
            core.recordHardState(HardState(core.term, from))
            core.resetElectionDeadline()
        }
        val response = VoteResponse(core.term, granted)
        core.outbox.afterPersist { core.outbox.send(from, response) }
    }

    private fun isUpToDate(request: VoteRequest): Boolean {
        val log = core.log
        if (request.lastTerm != log.lastTerm) return request.lastTerm > log.lastTerm
        return request.lastIndex >= log.lastIndex
    }

    private companion object {
        const val MAX_SHORT_CAMPAIGNS = 4
    }
}
