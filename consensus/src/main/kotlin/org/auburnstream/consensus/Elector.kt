package org.auburnstream.consensus

import org.auburnstream.consensus.ConsensusMessage.VoteRequest
import org.auburnstream.consensus.ConsensusMessage.VoteResponse

/**
 * Campaigns and votes.
 *
 * A campaign begins with a trial (pre-vote), so that a replica that was cut off does not raise the term of a working
 * group; votes are refused while the leader is alive (Ongaro, "Consensus: Bridging Theory and Practice", 2014,
 * sections 4.2.3 and 9.6).
 *
 * @property elected called when this replica won an election.
 */
internal class Elector(private val core: ReplicaCore, private val elected: () -> Unit) {
    private val votes = HashSet<MemberId>()
    private var undecided = 0

    /** Starts a campaign if the leader was silent for too long. */
    fun tick() {
        if (core.now < core.electionDeadline) return
        // Another campaign would only queue up behind the vote that the store is still writing.
        if (core.role == RaftRole.CANDIDATE && !core.outbox.isTermDurable) return core.resetCampaignDeadline()
        undecided = if (core.role == RaftRole.FOLLOWER) 0 else undecided + 1
        core.forgetLeader()
        if (core.mayCampaign) return campaign(trial = true)
        core.role = RaftRole.FOLLOWER
        core.resetElectionDeadline()
    }

    fun onVoteRequest(from: MemberId, request: VoteRequest) {
        val leaderAlive = core.role == RaftRole.LEADER || core.isLeaderAlive
        if (leaderAlive || request.term < core.term) {
            core.outbox.send(from, VoteResponse(core.term, granted = false, trial = request.trial))
            return
        }
        if (request.trial) answerTrial(from, request) else answer(from, request)
    }

    fun onVoteResponse(from: MemberId, response: VoteResponse) {
        if (!response.granted) {
            if (response.term > core.term) core.follow(response.term, newLeader = null)
            return
        }
        val expectedRole = if (response.trial) RaftRole.PRE_CANDIDATE else RaftRole.CANDIDATE
        val expectedTerm = if (response.trial) core.term + 1 else core.term
        if (core.role == expectedRole && response.term == expectedTerm) count(from)
    }

    private fun campaign(trial: Boolean) {
        votes.clear()
        // A store that takes longer than the short timeout would never let a vote become durable in time.
        if (undecided < SHORT_CAMPAIGNS) core.resetCampaignDeadline() else core.resetElectionDeadline()
        core.role = if (trial) RaftRole.PRE_CANDIDATE else RaftRole.CANDIDATE
        if (!trial) core.recordHardState(HardState(core.term + 1, core.id))
        val term = if (trial) core.term + 1 else core.term
        val role = core.role
        core.outbox.afterPersist {
            val current = core.role == role && (trial || core.term == term)
            if (current) requestVotes(VoteRequest(term, core.log.lastIndex, core.log.lastTerm, trial))
        }
    }

    private fun requestVotes(request: VoteRequest) {
        (core.configuration.recipients - core.id)
            .filter(core.configuration::isVoter)
            .forEach { core.outbox.send(it, request) }
        count(core.id)
    }

    private fun count(voter: MemberId) {
        votes.add(voter)
        if (!core.configuration.isQuorum { it in votes }) return
        if (core.role == RaftRole.PRE_CANDIDATE) campaign(trial = false) else elected()
    }

    private fun answerTrial(from: MemberId, request: VoteRequest) {
        val granted = request.term > core.term && isUpToDate(request)
        core.outbox.send(from, VoteResponse(if (granted) request.term else core.term, granted, trial = true))
    }

    private fun answer(from: MemberId, request: VoteRequest) {
        if (request.term > core.term) core.follow(request.term, newLeader = null)
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
        const val SHORT_CAMPAIGNS = 4
    }
}
