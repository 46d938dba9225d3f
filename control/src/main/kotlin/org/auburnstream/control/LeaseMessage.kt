package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** Message about settings leases and roll-out between a daemon and the leader of the control group. */
@Serializable
public sealed interface LeaseMessage {
    /**
     * Asks the leader for a longer lease and acknowledges the settings up to [appliedIndex].
     *
     * @property incarnation random number of the daemon's process.
     * @property sequence grows with each renewal of one process.
     * @property inForceIndex everything up to here is known to be in force; never wrong, maybe behind.
     */
    @Serializable
    @SerialName("r")
    public data class Renewal(
        @SerialName("i") val incarnation: Long,
        @SerialName("s") val sequence: Long,
        @SerialName("a") val appliedIndex: LogIndex,
        @SerialName("f") val inForceIndex: LogIndex = LogIndex(0),
    ) : LeaseMessage

    /**
     * Lets the daemon act on its settings for [duration] from when it sent the renewal [sequence], once it has
     * applied the log up to [commitIndex].
     *
     * @property inForceIndex as in [Renewal].
     */
    @Serializable
    @SerialName("g")
    public data class Grant(
        @SerialName("i") val incarnation: Long,
        @SerialName("s") val sequence: Long,
        @SerialName("t") val term: Long,
        @SerialName("c") val commitIndex: LogIndex,
        @SerialName("d") val duration: Duration,
        @SerialName("f") val inForceIndex: LogIndex = LogIndex(0),
    ) : LeaseMessage

    /** Asks the leader whether the change at [index] is in force; [query] is given back. */
    @Serializable
    @SerialName("q")
    public data class Query(@SerialName("q") val query: Long, @SerialName("x") val index: LogIndex) : LeaseMessage

    /** Answer to a [Query]. */
    @Serializable
    @SerialName("p")
    public data class Report(@SerialName("q") val query: Long, @SerialName("p") val progress: RollOutProgress) :
        LeaseMessage
}

/**
 * Progress of a change towards being in force.
 *
 * @property elapsed time since the leader saw the change committed, until it was in force or until now.
 * @property heldBackBy daemons that are or were waited for, the longest wait first.
 */
@Serializable
public data class RollOutProgress(
    @SerialName("f") val inForce: Boolean,
    @SerialName("e") val elapsed: Duration,
    @SerialName("h") val heldBackBy: List<BlockingDaemon> = emptyList(),
)

/**
 * A daemon that a change waited for.
 *
 * @property daemon the daemon, or null for the leases that earlier leaders may have granted.
 * @property cause what ended the wait, or will end it at the latest.
 */
@Serializable
public data class BlockingDaemon(
    @SerialName("d") val daemon: DaemonId?,
    @SerialName("c") val cause: HoldCause,
    @SerialName("w") val waited: Duration,
)

/** What ends the wait for a daemon. */
@Serializable
public enum class HoldCause {
    /** The daemon acknowledged the change. */
    ACKNOWLEDGEMENT,

    /** The daemon's lease ran out. */
    LEASE,
}
