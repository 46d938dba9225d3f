package org.auburnstream.daemon.rollout

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.auburnstream.control.Leadership
import org.auburnstream.daemon.launchRestarting
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Provides the confirmed leadership of this daemon in its group. */
public fun interface LeadershipSource {
    /**
     * Returns the term, commit index and latest quorum contact of this daemon's leadership, or null if it does not lead
     * or has not committed an entry in its term.
     */
    public fun confirmedLeadership(): Leadership?
}

/**
 * [LeadershipSource] of a replica.
 *
 * A new leader does not know which entries its predecessors committed until an entry of its own term is committed.
 * Once per term, this class confirms the leadership with a read that a quorum confirms in the same term.
 *
 * @param quorumContact returns the send time of the latest messages that a quorum answered, or null.
 */
public class GroupLeadership(
    private val scope: CoroutineScope,
    private val group: ReplicatedGroup,
    private val quorumContact: () -> MonotonicTime?,
) : LeadershipSource {
    @Volatile
    private var confirmedTerm: Long? = null

    /** Starts confirming each new leadership term of this daemon. */
    public fun start() {
        scope.launchRestarting("leadership") {
            var requestedTerm: Long? = null
            group.status.collect { status ->
                val term = status.leadingTerm() ?: return@collect
                if (term != requestedTerm) {
                    requestedTerm = term
                    launch { confirm(term) }
                }
            }
        }
    }

    override fun confirmedLeadership(): Leadership? {
        // Reads the contact before the commit index, so that a lease never starts later than its index was current.
        val contact = quorumContact() ?: return null
        val status: ReplicaStatus = group.status.value
        val term = status.leadingTerm() ?: return null
        if (term != confirmedTerm) return null
        return Leadership(term, status.commitIndex, contact)
    }

    private suspend fun confirm(term: Long) {
        val status: StateFlow<ReplicaStatus> = group.status
        while (status.value.leadingTerm() == term) {
            val read = group.readBarrier(READ_TIMEOUT)
            // If a successor answered the read, it reflects entries that this replica has not committed.
            if (read is ReadResult.Ready && status.value.confirms(term, read.index)) {
                confirmedTerm = term
                return
            }
            delay(RETRY_DELAY)
        }
    }

    private fun ReplicaStatus.confirms(term: Long, index: LogIndex): Boolean =
        leadingTerm() == term && commitIndex >= index

    private fun ReplicaStatus.leadingTerm(): Long? = term.takeIf { role == ReplicaRole.LEADER }

    private companion object {
        val READ_TIMEOUT = 2.seconds
        val RETRY_DELAY = 50.milliseconds
    }
}
