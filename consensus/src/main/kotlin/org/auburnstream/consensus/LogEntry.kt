package org.auburnstream.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.LogIndex

/** Entry of the replicated log. */
@Serializable
public data class LogEntry(
    @SerialName("i") val index: LogIndex,
    @SerialName("t") val term: Long,
    @SerialName("p") val payload: EntryPayload,
) {
    /** Upper estimate of the encoded size in bytes. */
    val approximateBytes: Int
        get() = ENTRY_OVERHEAD_BYTES + payload.approximateBytes
}

/** Content of a log entry. */
@Serializable
public sealed interface EntryPayload {
    /** Upper estimate of the encoded size in bytes. */
    public val approximateBytes: Int

    /** Command for the state machine. */
    @Serializable
    @SerialName("c")
    public class Command(@SerialName("b") public val bytes: ByteArray) : EntryPayload {
        override val approximateBytes: Int
            get() = bytes.size

        override fun equals(other: Any?): Boolean = other is Command && bytes.contentEquals(other.bytes)

        override fun hashCode(): Int = bytes.contentHashCode()

        override fun toString(): String = "Command(${bytes.size} bytes)"
    }

    /** Entry by which a new leader commits what earlier leaders left behind. */
    @Serializable
    @SerialName("n")
    public data object NoOp : EntryPayload {
        override val approximateBytes: Int
            get() = 0
    }

    /** Change of the group's members; in force from the moment the entry is appended. */
    @Serializable
    @SerialName("m")
    public data class Membership(@SerialName("c") val configuration: Configuration) : EntryPayload {
        override val approximateBytes: Int
            get() = (configuration.members.size + configuration.outgoingVoters.size) * MEMBER_BYTES
    }
}

/** Term and vote that a replica must never forget. */
@Serializable
public data class HardState(val term: Long = 0, val vote: MemberId? = null)

/** What a snapshot stands for: everything up to [index], whose entry has [term], under [configuration]. */
@Serializable
public data class SnapshotMetadata(
    @SerialName("i") val index: LogIndex,
    @SerialName("t") val term: Long,
    @SerialName("c") val configuration: Configuration,
)

/** State that a replica finds in its store when it starts. */
public data class RestoredState(
    val hardState: HardState = HardState(),
    val snapshot: SnapshotMetadata? = null,
    val snapshotBytes: Long = 0,
    val entries: List<LogEntry> = emptyList(),
) {
    /** Whether the store holds nothing of a group yet. */
    val isEmpty: Boolean
        get() = snapshot == null && entries.isEmpty()
}

private const val ENTRY_OVERHEAD_BYTES = 32
private const val MEMBER_BYTES = 128
