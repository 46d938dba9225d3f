package org.auburnstream.consensus

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/** Requested change of a group's membership. */
@Serializable
public sealed interface MembershipChange {
    /** Admits [member] as a learner, even if it was removed before. */
    @Serializable
    public data class AddLearner(val member: Member) : MembershipChange

    /** Allows the removed [daemon] to join again as a learner on its next join request. */
    @Serializable
    public data class Readmit(val daemon: DaemonId) : MembershipChange

    /** Makes the learner of [daemon] a voter. */
    @Serializable
    public data class Promote(val daemon: DaemonId) : MembershipChange

    /** Makes the voter of [daemon] a learner. */
    @Serializable
    public data class Demote(val daemon: DaemonId) : MembershipChange

    /** Makes the learner [replacement] a voter in place of [lost], which becomes a learner. */
    @Serializable
    public data class Replace(val lost: MemberId, val replacement: MemberId) : MembershipChange

    /** Removes every member of [daemon]. */
    @Serializable
    public data class Remove(val daemon: DaemonId) : MembershipChange
}

/** Result of a membership request. */
@Serializable
public sealed interface MembershipResult {
    /** The change is committed. */
    @Serializable
    public data class Committed(val configuration: Configuration) : MembershipResult

    /** The change was rejected and does not take effect. */
    @Serializable
    public data class Refused(val reason: MembershipRefusal) : MembershipResult

    /** The leader changed before the change was committed; it may or may not take effect. */
    @Serializable
    public data object Unknown : MembershipResult
}

/** Why a membership change was refused. */
@Serializable
public enum class MembershipRefusal {
    /** This replica is not the leader. */
    NOT_LEADER,

    /** Another change is not committed yet. */
    CHANGE_IN_PROGRESS,

    /** The named member does not exist or does not have the required role. */
    NO_SUCH_MEMBER,

    /** The member lags too far behind or is not in contact. */
    NOT_CAUGHT_UP,

    /** The member does not store its log on disk. */
    NOT_DURABLE,

    /** The last voter cannot be removed or demoted. */
    LAST_VOTER,
}
