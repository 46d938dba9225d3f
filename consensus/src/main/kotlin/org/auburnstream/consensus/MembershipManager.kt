package org.auburnstream.consensus

import org.auburnstream.consensus.MembershipChange.AddLearner
import org.auburnstream.consensus.MembershipChange.Demote
import org.auburnstream.consensus.MembershipChange.Promote
import org.auburnstream.consensus.MembershipChange.Readmit
import org.auburnstream.consensus.MembershipChange.Remove
import org.auburnstream.consensus.MembershipChange.Replace
import org.auburnstream.model.DaemonId

/**
 * Executes membership changes as the leader, one at a time, and replaces lost voters.
 *
 * A change of the voters takes two entries: a joint configuration and, once that is committed, the new configuration.
 * A change of the learners does not affect the quorum and takes one entry.
 *
 * @property append appends a configuration to the log.
 */
internal class MembershipManager(
    private val core: ReplicaCore,
    private val progress: Map<MemberId, PeerProgress>,
    private val append: (Configuration) -> Unit,
) {
    private var pendingRequest: MembershipRequestId? = null

    private val isChangeInProgress: Boolean
        get() = core.log.configuration.index > core.commitIndex || core.configuration.isJoint

    fun request(id: MembershipRequestId, change: MembershipChange) {
        val refusal = refusalOf(change)
        if (refusal != null) return complete(id, MembershipResult.Refused(refusal))
        pendingRequest = id
        startChange(change)
    }

    /** Admits [member] as a learner unless it is a member, was removed by an operator, or a change is in progress. */
    fun admit(member: Member) {
        val known = member.id in core.configuration.recipients || member.id.daemon in core.configuration.removed
        if (!known && !isChangeInProgress) startChange(AddLearner(member))
    }

    /** Appends the next configuration of a joint change, or completes the change, once its entry is committed. */
    fun onCommitted() {
        if (core.log.configuration.index > core.commitIndex) return
        if (core.configuration.isJoint) return append(core.configuration.copy(outgoingVoters = emptySet()))
        pendingRequest?.let { complete(it, MembershipResult.Committed(core.configuration)) }
        pendingRequest = null
        if (!core.isVoter) core.becomeFollower(core.term, newLeader = null)
    }

    /** Replaces a voter that has not answered for too long, or whose daemon restarted without its data. */
    fun tick() {
        if (!core.settings.automaticReplacement || isChangeInProgress) return
        for (lost in core.configuration.voters.filter(::isLost)) {
            val spare = findSpare(lost) ?: continue
            if (canCommitReplacement(lost, spare)) return startChange(Replace(lost, spare))
        }
    }

    /**
     * Whether a quorum of the current voters and a quorum of the voters after the change are responsive.
     *
     * A joint configuration that cannot be committed still applies to every later election. If its voters included a
     * spare that has just lost its disk, the group could never elect a leader again.
     */
    private fun canCommitReplacement(lost: MemberId, spare: MemberId): Boolean {
        val current = core.configuration.voters
        return listOf(current, current - lost + spare).all { voters ->
            voters.count(::isResponsive) > voters.size / 2 && isResponsive(spare)
        }
    }

    private fun isResponsive(id: MemberId): Boolean {
        val peer = progress[id] ?: return id == core.id
        return peer.hasAnswered &&
            core.now - peer.lastContact < core.settings.heartbeatInterval * RESPONSIVE_HEARTBEAT_INTERVALS
    }

    /** Reports the pending request as unknown, since a later leader may complete its change. */
    fun abandonRequest() {
        pendingRequest?.let { complete(it, MembershipResult.Unknown) }
        pendingRequest = null
    }

    fun failureTolerance(): FailureTolerance {
        val configuration = core.configuration
        val healthy = configuration.voters.filter(::isHealthy)
        val furtherLosses = listOf(configuration.voters, configuration.outgoingVoters)
            .filter { it.isNotEmpty() }
            .minOfOrNull { voters -> voters.count(::isHealthy) - (voters.size / 2 + 1) } ?: 0
        return FailureTolerance(
            voters = configuration.voters.size,
            healthyVoters = healthy.size,
            spares = configuration.learners.count { it.durable && isHealthy(it.id) },
            furtherLosses = maxOf(0, furtherLosses),
            changeInProgress = isChangeInProgress,
        )
    }

    private fun startChange(change: MembershipChange) {
        val old = core.configuration
        val new = old.withChange(change)
        append(if (new.voters == old.voters) new else new.copy(outgoingVoters = old.voters))
    }

    private fun refusalOf(change: MembershipChange): MembershipRefusal? {
        if (isChangeInProgress) return MembershipRefusal.CHANGE_IN_PROGRESS
        val configuration = core.configuration
        return when (change) {
            is AddLearner -> MembershipRefusal.NO_SUCH_MEMBER.takeIf { configuration.isVoter(change.member.id) }
            is Readmit -> MembershipRefusal.NO_SUCH_MEMBER.takeIf { change.daemon !in configuration.removed }
            is Promote -> promotionRefusal(configuration.learnerOf(change.daemon))
            is Demote -> voterRemovalRefusal(configuration.voterOf(change.daemon)?.id)
            is Replace -> when {
                !configuration.isVoter(change.lost) -> MembershipRefusal.NO_SUCH_MEMBER
                else -> promotionRefusal(configuration.learners.firstOrNull { it.id == change.replacement })
            }
            is Remove -> when (val voter = configuration.voterOf(change.daemon)) {
                null -> MembershipRefusal.NO_SUCH_MEMBER.takeIf { configuration.learnerOf(change.daemon) == null }
                else -> voterRemovalRefusal(voter.id)
            }
        }
    }

    private fun promotionRefusal(learner: Member?): MembershipRefusal? = when {
        learner == null -> MembershipRefusal.NO_SUCH_MEMBER
        !learner.durable -> MembershipRefusal.NOT_DURABLE
        !isHealthy(learner.id) -> MembershipRefusal.NOT_CAUGHT_UP
        else -> null
    }

    private fun voterRemovalRefusal(voter: MemberId?): MembershipRefusal? = when {
        voter == null -> MembershipRefusal.NO_SUCH_MEMBER
        core.configuration.voters.size == 1 -> MembershipRefusal.LAST_VOTER
        else -> null
    }

    private fun isLost(voter: MemberId): Boolean {
        val peer = progress[voter] ?: return false
        val silence = core.now - peer.lastContact
        val superseded = core.configuration.learners.any { it.id.daemon == voter.daemon && isInContact(it.id) }
        return silence >= core.settings.replacementDelay || superseded
    }

    /** Returns a healthy durable learner, preferably of the same daemon, then in the same data centre; null if none. */
    private fun findSpare(lost: MemberId): MemberId? {
        val lostDataCentre = core.configuration.member(lost)?.dataCentre
        return core.configuration.learners
            .filter { it.durable && isHealthy(it.id) }
            .sortedWith(compareBy({ it.id.daemon != lost.daemon }, { it.dataCentre != lostDataCentre }, { it.id }))
            .firstOrNull()
            ?.id
    }

    private fun isHealthy(id: MemberId): Boolean {
        if (id == core.id) return true
        val peer = progress[id] ?: return false
        return isInContact(id) && peer.matchIndex + core.settings.maxPromotionLag >= core.log.lastIndex
    }

    private fun isInContact(id: MemberId): Boolean {
        val peer = progress[id] ?: return false
        return peer.hasAnswered && core.now - peer.lastContact < core.settings.contactTimeout
    }

    private fun complete(id: MembershipRequestId, result: MembershipResult) {
        core.outbox.emit(Effect.CompleteMembership(id, result))
    }

    private companion object {
        /** A working member answers every heartbeat; this tolerates the loss of one. */
        const val RESPONSIVE_HEARTBEAT_INTERVALS = 3
    }
}

private fun Configuration.learnerOf(daemon: DaemonId): Member? = learners.firstOrNull { it.id.daemon == daemon }

private fun Configuration.voterOf(daemon: DaemonId): Member? =
    members.firstOrNull { it.id.daemon == daemon && it.role == MemberRole.VOTER }

private fun Configuration.withChange(change: MembershipChange): Configuration = when (change) {
    is AddLearner -> {
        val daemon = change.member.id.daemon
        val others = members.filterNot { it.id.daemon == daemon && it.role == MemberRole.LEARNER }
        copy(members = others, removed = removed - daemon).with(change.member.copy(role = MemberRole.LEARNER))
    }
    is Readmit -> copy(removed = removed - change.daemon)
    is Promote -> withRole(checkNotNull(learnerOf(change.daemon)).id, MemberRole.VOTER)
    is Demote -> withRole(checkNotNull(voterOf(change.daemon)).id, MemberRole.LEARNER)
    is Replace -> {
        val promoted = withRole(change.replacement, MemberRole.VOTER)
        // A daemon that restarted without its data never uses its old incarnation again.
        val isSameDaemon = change.lost.daemon == change.replacement.daemon
        if (isSameDaemon) promoted.without(change.lost) else promoted.withRole(change.lost, MemberRole.LEARNER)
    }
    is Remove -> copy(
        members = members.filterNot { it.id.daemon == change.daemon },
        removed = removed + change.daemon,
    )
}

private fun Configuration.withRole(id: MemberId, role: MemberRole): Configuration {
    val member = checkNotNull(member(id)) { "$id is not a member" }
    return with(member.copy(role = role))
}
