package org.auburnstream.consensus

import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/** What a leader knows of one recipient of its log. */
internal class PeerProgress(var nextIndex: LogIndex, now: MonotonicTime) {
    /** Last index that the recipient holds durably. */
    var matchIndex: LogIndex = NoIndex

    /** Whether the recipient has answered in this leadership. */
    var hasAnswered: Boolean = false

    /** When the recipient last answered; the start of the leadership before its first answer. */
    var lastContact: MonotonicTime = now

    /** Latest round that the recipient answered. */
    var lastAckedRound: Long = 0

    /** Messages with entries that were sent and not answered. */
    var inFlightBatches: Int = 0

    /** When entries or a part of a snapshot were last sent or acknowledged. */
    var lastActivity: MonotonicTime = now

    /** Snapshot being sent, or null. */
    var transfer: SnapshotTransfer? = null

    /** Takes back what was sent without an answer, so that it is sent again. */
    fun resetToMatch() {
        nextIndex = matchIndex + 1
        inFlightBatches = 0
    }
}

/** Snapshot being sent, of which the recipient holds the first [offset] bytes. */
internal data class SnapshotTransfer(val metadata: SnapshotMetadata, val offset: Long)
