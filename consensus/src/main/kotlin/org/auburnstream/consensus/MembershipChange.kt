package org.auburnstream.consensus

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/** Change of a group's members. */
@Serializable
public sealed interface MembershipChange {
    /** Admits [member] as a learner, also after it was removed. */
    @Serializable
    public data class AddLearner(val member: Member) : MembershipChange

    /** Lets [daemon], which was removed, join again as a learner when it asks. */
    @Serializable
    public data class Readmit(val daemon: DaemonId) : MembershipChange

    /** Gives the learner of [daemon] a vote. */
    @Serializable
    public data class Promote(val daemon: DaemonId) : MembershipChange

    /** Takes the vote of [daemon], which stays as a learner. */
    @Serializable
    public data class Demote(val daemon: DaemonId) : MembershipChange

    /** Gives the learner of [replacement] the vote of [lost], which becomes a learner. */
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

    /** The change was not made. */
    @Serializable
    public data class Refused(val reason: MembershipRefusal) : MembershipResult

    /** The leader changed before the change was committed; it may or may not take effect. */
    @Serializable
    public data object Unknown : MembershipResult
}

/** Why a membership change was refused. */
@Serializable
public enum class MembershipRefusal {
    /** This replica does not lead. */
    NOT_LEADER,

    /** Another change is not committed yet. */
    CHANGE_IN_PROGRESS,

    /** The named member does not exist in the needed role. */
    NO_SUCH_MEMBER,

    /** The member lags too far behind or is not in contact. */
    NOT_CAUGHT_UP,

    /** The member keeps no log on disk. */
    NOT_DURABLE,

    /** The last voter cannot go. */
    LAST_VOTER,
}
