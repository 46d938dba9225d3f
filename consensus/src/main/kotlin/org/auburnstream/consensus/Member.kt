package org.auburnstream.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId

/** Identifies one life of a daemon's data folder; a folder that was lost or wiped gets another one. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toULong().toString(HEXADECIMAL)
}

/** Identifies a member of a group: votes and acknowledgements of another incarnation never count for it. */
@Serializable
public data class MemberId(@SerialName("d") val daemon: DaemonId, @SerialName("i") val incarnation: Incarnation) :
    Comparable<MemberId> {
    override fun compareTo(other: MemberId): Int =
        compareValuesBy(this, other, { it.daemon.value }, { it.incarnation.value })

    override fun toString(): String = "$daemon/$incarnation"
}

/** What a member may do in its group. */
@Serializable
public enum class MemberRole {
    /** Votes, and counts for the commitment of entries. */
    VOTER,

    /** Receives the log only. */
    LEARNER,
}

/**
 * Member of a group.
 *
 * @property durable whether the member keeps its log on a disk; only such a member can be a voter.
 * @property dataCentre place of the member; a lost voter is replaced in its own data centre if possible.
 */
@Serializable
public data class Member(
    @SerialName("m") val id: MemberId,
    @SerialName("r") val role: MemberRole = MemberRole.LEARNER,
    @SerialName("p") val durable: Boolean = true,
    @SerialName("c") val dataCentre: DataCentreId? = null,
)

private const val HEXADECIMAL = 16
