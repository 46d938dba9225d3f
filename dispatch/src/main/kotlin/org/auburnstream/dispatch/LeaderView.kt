package org.auburnstream.dispatch

import org.auburnstream.model.DaemonId

/**
 * Concludes from the statuses that the control processes publish who leads.
 *
 * A process that is gone or frozen does not withdraw what it published last, so its status counts only while its link
 * is open. Without an open link, the latest statuses are the best that is known.
 *
 * @property isConnected whether the link to a process is open.
 */
internal class LeaderView(private val isConnected: (DaemonId) -> Boolean) {
    private val statuses = HashMap<DaemonId, GroupStatus>()

    /** The status with the highest term; within a term, one that names the leader. */
    val newest: GroupStatus
        get() {
            val current = statuses.filterKeys(isConnected).values.ifEmpty { statuses.values }
            return current.maxWithOrNull(compareBy({ it.term }, { it.leader != null })) ?: Unknown
        }

    /** Records the latest [status] that the process [from] published. */
    fun update(from: DaemonId, status: GroupStatus) {
        statuses[from] = status
    }

    private companion object {
        val Unknown = GroupStatus(term = 0, leader = null, members = emptyList())
    }
}
