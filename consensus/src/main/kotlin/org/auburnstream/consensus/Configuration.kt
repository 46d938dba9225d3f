package org.auburnstream.consensus

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.auburnstream.model.DaemonId

/**
 * Membership of a group, as recorded in a log entry: its voters, its learners and the removed daemons.
 *
 * While [outgoingVoters] is not empty, the configuration is joint: elections and commits need a quorum of the voters
 * and a quorum of the outgoing voters (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
 * 2014, section 6).
 *
 * @property outgoingVoters voters of the old configuration during a change of the voters, else empty.
 * @property removed daemons that an operator removed; they can rejoin once an operator adds or readmits them.
 */
@Serializable
public data class Configuration(
    val members: List<Member> = emptyList(),
    val outgoingVoters: Set<MemberId> = emptySet(),
    val removed: Set<DaemonId> = emptySet(),
) {
    /** Voters, of the new configuration if this one is joint. */
    @Transient
    val voters: Set<MemberId> = members.filter { it.role == MemberRole.VOTER }.map { it.id }.toSet()

    /** Members that receive the log and do not vote. */
    val learners: List<Member>
        get() = members.filter { it.role == MemberRole.LEARNER }

    /** Whether elections and commits need two quorums. */
    val isJoint: Boolean
        get() = outgoingVoters.isNotEmpty()

    /** All members and outgoing voters; the leader replicates the log to them. */
    @Transient
    val recipients: Set<MemberId> = members.map { it.id }.toSet() + outgoingVoters

    /** Whether [id] votes in this configuration. */
    public fun isVoter(id: MemberId): Boolean = id in voters || id in outgoingVoters

    /** Returns the member [id], or null if there is none. */
    public fun member(id: MemberId): Member? = members.firstOrNull { it.id == id }

    /** Whether the members that satisfy [predicate] form a quorum, or both quorums if joint. */
    public fun isQuorum(predicate: (MemberId) -> Boolean): Boolean =
        isMajority(voters, predicate) && (!isJoint || isMajority(outgoingVoters, predicate))

    /** Returns the largest value that a quorum of the voters has reached; [value] returns the value of one voter. */
    public fun quorumValue(value: (MemberId) -> Long): Long {
        val incoming = majorityValue(voters, value)
        if (!isJoint) return incoming
        return minOf(incoming, majorityValue(outgoingVoters, value))
    }

    /** Returns this configuration with [member] added, or replaced if its id is already a member. */
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
