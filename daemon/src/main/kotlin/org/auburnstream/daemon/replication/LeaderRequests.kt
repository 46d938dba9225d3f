package org.auburnstream.daemon.replication

import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.MembershipRequestId
import org.auburnstream.consensus.ProposalId
import org.auburnstream.consensus.ProposalRefusal
import org.auburnstream.consensus.ReadId
import org.auburnstream.consensus.Replica
import org.auburnstream.consensus.ReplicaInput
import org.auburnstream.model.LogIndex

/**
 * Executes requests of local callers and other daemons on this replica while it leads, and tracks them until the
 * replica completes them.
 *
 * @property handleInput passes an input to the replica and executes the resulting effects.
 */
internal class LeaderRequests(private val replica: Replica, private val handleInput: (ReplicaInput) -> Unit) {
    private var lastId = 0L
    private val proposals = HashMap<ProposalId, (ReplyBody) -> Unit>()
    private val committed = HashMap<LogIndex, (ReplyBody) -> Unit>()
    private val reads = HashMap<ReadId, (ReplyBody) -> Unit>()
    private val changes = HashMap<MembershipRequestId, (ReplyBody) -> Unit>()

    fun execute(body: RequestBody, reply: (ReplyBody) -> Unit) {
        lastId += 1
        when (body) {
            is RequestBody.Propose -> {
                proposals[ProposalId(lastId)] = reply
                handleInput(ReplicaInput.Propose(ProposalId(lastId), body.command))
            }
            RequestBody.Read -> {
                reads[ReadId(lastId)] = reply
                handleInput(ReplicaInput.ReadRequested(ReadId(lastId)))
            }
            is RequestBody.ChangeMembership -> {
                changes[MembershipRequestId(lastId)] = reply
                handleInput(ReplicaInput.MembershipRequested(MembershipRequestId(lastId), body.change))
            }
            RequestBody.Status -> {
                val tolerance = replica.failureTolerance ?: return reply(ReplyBody.NotLeader)
                reply(ReplyBody.Status(replica.configuration, tolerance))
            }
        }
    }

    fun onCompleted(effect: Effect.CompleteProposal) {
        proposals.remove(effect.id)?.let { committed[effect.index] = it }
    }

    fun onRejected(effect: Effect.RejectProposal) {
        proposals.remove(effect.id)?.invoke(replyTo(effect.reason))
    }

    fun onAbandoned(effect: Effect.AbandonProposal) {
        proposals.remove(effect.id)?.invoke(ReplyBody.Unknown)
    }

    fun onApplied(index: LogIndex, response: ByteArray) {
        committed.remove(index)?.invoke(ReplyBody.Committed(index, response))
    }

    fun onReadReady(effect: Effect.CompleteRead) {
        reads.remove(effect.id)?.invoke(ReplyBody.ReadAt(effect.index))
    }

    fun onReadRejected(effect: Effect.RejectRead) {
        reads.remove(effect.id)?.invoke(ReplyBody.NotLeader)
    }

    fun onMembershipCompleted(effect: Effect.CompleteMembership) {
        changes.remove(effect.id)?.invoke(ReplyBody.MembershipCompleted(effect.result))
    }

    /** Replies to all open requests when the replica stops. */
    fun abandonAll() {
        val open = proposals.values + committed.values + changes.values
        open.forEach { it(ReplyBody.Unknown) }
        reads.values.forEach { it(ReplyBody.Rejected(RejectReason.STOPPED)) }
    }

    private fun replyTo(refusal: ProposalRefusal): ReplyBody = when (refusal) {
        ProposalRefusal.NOT_LEADER -> ReplyBody.NotLeader
        ProposalRefusal.OVERLOADED -> ReplyBody.Rejected(RejectReason.OVERLOADED)
        ProposalRefusal.TOO_LARGE -> ReplyBody.Rejected(RejectReason.TOO_LARGE)
        ProposalRefusal.SUPERSEDED -> ReplyBody.Rejected(RejectReason.NO_LEADER)
    }
}
