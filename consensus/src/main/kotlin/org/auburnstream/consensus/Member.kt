package org.auburnstream.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId

/** Identifies an instance of a daemon's data folder; a folder that was lost or wiped gets a new incarnation. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toULong().toString(HEXADECIMAL)
}

/** Identifies a member of a group; votes and acknowledgements of another incarnation do not count for it. */
@Serializable
public data class MemberId(@SerialName("d") val daemon: DaemonId, @SerialName("i") val incarnation: Incarnation) :
    Comparable<MemberId> {
    override fun compareTo(other: MemberId): Int =
        compareValuesBy(this, other, { it.daemon.value }, { it.incarnation.value })

    override fun toString(): String = "$daemon/$incarnation"
}

/** Role of a member in the configuration of its group. */
@Serializable
public enum class MemberRole {
    /** Votes in elections and counts towards the quorum that commits entries. */
    VOTER,

    /** Receives the log but does not vote. */
    LEARNER,
}

/**
 * Member of a group.
 *
 * @property durable whether the member stores its log on disk; only such a member can be a voter.
 * @property dataCentre data centre of the member; a lost voter is replaced within its data centre if possible.
 */
@Serializable
public data class Member(
    @SerialName("m") val id: MemberId,
    @SerialName("r") val role: MemberRole = MemberRole.LEARNER,
    @SerialName("p") val durable: Boolean = true,
    @SerialName("c") val dataCentre: DataCentreId? = null,
)

private const val HEXADECIMAL = 16
