package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** Message about settings leases or change roll-out, exchanged between a daemon and the control group leader. */
@Serializable
public sealed interface LeaseMessage {
    /**
     * Requests an extension of the lease and acknowledges the settings up to [appliedIndex].
     *
     * @property incarnation random number of the daemon's process.
     * @property sequence number that increases with each renewal of one process.
     * @property inForceIndex index up to which the sender knows all changes to be in force; a lower bound of the
     * actual index.
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
     * Grants a lease of [duration], measured from the time at which the daemon sent the renewal [sequence].
     *
     * The grant takes effect once the daemon has applied the log up to [commitIndex].
     *
     * @property inForceIndex same meaning as in [Renewal].
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

    /** Asks the leader whether the change at [index] is in force; the [Report] repeats the number [query]. */
    @Serializable
    @SerialName("q")
    public data class Query(@SerialName("q") val query: Long, @SerialName("x") val index: LogIndex) : LeaseMessage

    /** Response to a [Query]. */
    @Serializable
    @SerialName("p")
    public data class Report(@SerialName("q") val query: Long, @SerialName("p") val progress: RollOutProgress) :
        LeaseMessage
}

/**
 * Progress of the roll-out of a change.
 *
 * @property elapsed time from the commit, as observed by the leader, until the change was in force, or until now.
 * @property heldBackBy daemons that delay the change, or that delayed it once it is in force; longest wait first.
 */
@Serializable
public data class RollOutProgress(
    @SerialName("f") val inForce: Boolean,
    @SerialName("e") val elapsed: Duration,
    @SerialName("h") val heldBackBy: List<BlockingDaemon> = emptyList(),
)

/**
 * Daemon that delays or delayed the roll-out of a change.
 *
 * @property daemon the daemon, or null for the leases that earlier leaders may have granted.
 * @property cause event that ended the wait, or that will end it at the latest.
 * @property waited length of the wait.
 */
@Serializable
public data class BlockingDaemon(
    @SerialName("d") val daemon: DaemonId?,
    @SerialName("c") val cause: HoldCause,
    @SerialName("w") val waited: Duration,
)

/** Event that ends the wait for a daemon. */
@Serializable
public enum class HoldCause {
    /** The daemon acknowledged the change. */
    ACKNOWLEDGEMENT,

    /** The lease of the daemon expired. */
    LEASE,
}
