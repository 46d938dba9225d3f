package org.auburnstream.daemon.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.VmId

/**
 * Buffers the VM announcements that this daemon receives and forwards them to the fleet leader.
 *
 * An announcement is sent in full when it differs from the last one of its VM, and otherwise as a heartbeat with the
 * VM's id and incarnation. A new leader has no announcements and a message may be lost, so buffered announcements are
 * sent in full after a change of leader and on every [FULL_RESEND_INTERVAL]th call of [drainMessages].
 */
internal class AnnouncementRelay {
    private val lock = Any()
    private val unsent = hashMapOf<VmId, Announcement>()
    private val lastSent = hashMapOf<VmId, Announcement>()
    private var lastLeader: DaemonId? = null
    private var drainCount = 0

    /** Buffers an announcement that the listener received. */
    fun onAnnouncement(announcement: Announcement): Unit = synchronized(lock) {
        unsent[announcement.vm] = announcement
    }

    /** Returns the buffered announcements as messages to [leader] and clears the buffer. */
    fun drainMessages(leader: DaemonId): List<FleetMessage> = synchronized(lock) {
        val full = leader != lastLeader || drainCount++ % FULL_RESEND_INTERVAL == 0
        lastLeader = leader
        val (changed, unchanged) = unsent.values.partition { full || lastSent[it.vm] != it }
        unsent.values.forEach { lastSent[it.vm] = it }
        unsent.clear()
        buildList {
            changed.chunked(MAX_ENTRIES_PER_MESSAGE).forEach { add(FleetMessage.Announced(it)) }
            unchanged.chunked(MAX_ENTRIES_PER_MESSAGE).forEach { part ->
                add(FleetMessage.Heartbeats(part.map { VmHeartbeat(it.vm, it.incarnation) }))
            }
        }
    }

    private companion object {
        const val FULL_RESEND_INTERVAL = 30
        const val MAX_ENTRIES_PER_MESSAGE = 256
    }
}
