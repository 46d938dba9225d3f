package org.auburnstream.consensus

import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/** Tracks the replication to one recipient; [nextIndex] is the next entry to send to it. */
internal class PeerProgress(var nextIndex: LogIndex, now: MonotonicTime) {
    /** Last index known to be durable on the recipient. */
    var matchIndex: LogIndex = NoIndex

    /** Whether the recipient has answered during this leadership. */
    var hasAnswered: Boolean = false

    /** Time of the recipient's last answer, or the time at which its tracking started before the first one. */
    var lastContact: MonotonicTime = now

    /** Latest heartbeat round that the recipient answered. */
    var lastAckedRound: Long = 0

    /** Number of messages with entries that were sent and not yet answered. */
    var inFlightBatches: Int = 0

    /** Time at which entries or a snapshot chunk were last sent or acknowledged. */
    var lastActivity: MonotonicTime = now

    /** Snapshot transfer in progress, or null. */
    var transfer: SnapshotTransfer? = null

    /** Resets the next index to the first unacknowledged entry, so that the entries after [matchIndex] are resent. */
    fun resetToMatch() {
        nextIndex = matchIndex + 1
        inFlightBatches = 0
    }
}

/** Snapshot transfer in progress; the recipient has the first [offset] bytes. */
internal data class SnapshotTransfer(val metadata: SnapshotMetadata, val offset: Long)
