package org.auburnstream.daemon.rollout

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.auburnstream.control.Leadership
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tells whether, and since which confirmation by a quorum, this daemon leads its group. */
public fun interface LeadershipSource {
    /** Returns the proof, or null if this daemon does not lead or has committed nothing in its term. */
    public fun confirmedLeadership(): Leadership?
}

/**
 * [LeadershipSource] on a replica.
 *
 * A new leader does not know what its predecessors committed until an entry of its own term is. A read that a quorum
 * confirms in the same term shows that, once for each term.
 *
 * @param quorumContact returns when the latest messages that a quorum answered were sent, or null.
 */
public class GroupLeadership(
    private val scope: CoroutineScope,
    private val group: ReplicatedGroup,
    private val quorumContact: () -> MonotonicTime?,
) : LeadershipSource {
    @Volatile
    private var confirmedTerm: Long? = null

    /** Begins to confirm each leadership of this daemon. */
    public fun start() {
        scope.launch {
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
        // The contact is read before the index: a grant then never counts from later than what its index reflects.
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
            // A read answered by a successor reflects entries that this replica has not committed.
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
