package org.auburnstream.consensus

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.auburnstream.model.DaemonId

/**
 * Members of a group, as recorded in its log.
 *
 * While [outgoingVoters] is not empty the configuration is joint: every decision needs a quorum of the voters and a
 * quorum of the outgoing voters (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
 * section 6).
 *
 * @property removed daemons that an operator removed; they are not admitted again until an operator adds them.
 */
@Serializable
public data class Configuration(
    val members: List<Member> = emptyList(),
    val outgoingVoters: Set<MemberId> = emptySet(),
    val removed: Set<DaemonId> = emptySet(),
) {
    /** Members that vote, of the new configuration if this one is joint. */
    @Transient
    val voters: Set<MemberId> = members.filter { it.role == MemberRole.VOTER }.map { it.id }.toSet()

    /** Members that receive the log without a vote. */
    val learners: List<Member>
        get() = members.filter { it.role == MemberRole.LEARNER }

    /** Whether decisions need two quorums. */
    val isJoint: Boolean
        get() = outgoingVoters.isNotEmpty()

    /** Everyone that the leader sends the log to. */
    @Transient
    val recipients: Set<MemberId> = members.map { it.id }.toSet() + outgoingVoters

    /** Whether [id] votes in this configuration. */
    public fun isVoter(id: MemberId): Boolean = id in voters || id in outgoingVoters

    /** Returns the member [id], or null. */
    public fun member(id: MemberId): Member? = members.firstOrNull { it.id == id }

    /** Whether the members that satisfy [predicate] form a quorum, two quorums if the configuration is joint. */
    public fun isQuorum(predicate: (MemberId) -> Boolean): Boolean =
        isMajority(voters, predicate) && (!isJoint || isMajority(outgoingVoters, predicate))

    /** Returns the largest value that a quorum has reached, given the [value] that each voter has reached. */
    public fun quorumValue(value: (MemberId) -> Long): Long {
        val incoming = majorityValue(voters, value)
        if (!isJoint) return incoming
        return minOf(incoming, majorityValue(outgoingVoters, value))
    }

    /** Returns this configuration with [member] in place of every member with the same id. */
    public fun with(member: Member): Configuration =
        copy(members = (members.filterNot { it.id == member.id } + member).sortedBy { it.id })

    /** Returns this configuration without the member [id]. */
    public fun without(id: MemberId): Configuration = copy(members = members.filterNot { it.id == id })
}

private fun isMajority(voters: Set<MemberId>, predicate: (MemberId) -> Boolean): Boolean =
    voters.count(predicate) > voters.size / 2

private fun majorityValue(voters: Set<MemberId>, value: (MemberId) -> Long): Long {
    if (voters.isEmpty()) return 0
    return voters.map(value).sortedDescending()[voters.size / 2]
}
