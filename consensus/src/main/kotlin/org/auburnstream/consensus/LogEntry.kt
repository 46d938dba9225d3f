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

    /** Empty first entry of a new leader; its commit also commits the entries of earlier leaders. */
    @Serializable
    @SerialName("n")
    public data object NoOp : EntryPayload {
        override val approximateBytes: Int
            get() = 0
    }

    /** Change of the group's configuration; it takes effect as soon as the entry is appended. */
    @Serializable
    @SerialName("m")
    public data class Membership(@SerialName("c") val configuration: Configuration) : EntryPayload {
        override val approximateBytes: Int
            get() = (configuration.members.size + configuration.outgoingVoters.size) * MEMBER_BYTES
    }
}

/** Term and vote of a replica, which must survive a restart. */
@Serializable
public data class HardState(val term: Long = 0, val vote: MemberId? = null)

/** Describes a snapshot: it covers the log up to [index], whose entry has [term], under [configuration]. */
@Serializable
public data class SnapshotMetadata(
    @SerialName("i") val index: LogIndex,
    @SerialName("t") val term: Long,
    @SerialName("c") val configuration: Configuration,
)

/** State that a replica reads from its store at startup. */
public data class RestoredState(
    val hardState: HardState = HardState(),
    val snapshot: SnapshotMetadata? = null,
    val snapshotBytes: Long = 0,
    val entries: List<LogEntry> = emptyList(),
) {
    /** Whether the store holds neither a snapshot nor entries. */
    val isEmpty: Boolean
        get() = snapshot == null && entries.isEmpty()
}

private const val ENTRY_OVERHEAD_BYTES = 32
private const val MEMBER_BYTES = 128
