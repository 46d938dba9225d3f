package org.auburnstream.daemon.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.VmId

/**
 * Collects the announcements that this daemon hears and passes each on in full once, then by id only.
 *
 * A new leader knows none of them, and a message may be lost, so everything is passed on in full again when the
 * leader changes and at every [FULL_RESEND_INTERVAL]th turn.
 */
internal class AnnouncementRelay {
    private val lock = Any()
    private val unsent = hashMapOf<VmId, Announcement>()
    private val lastSent = hashMapOf<VmId, Announcement>()
    private var lastLeader: DaemonId? = null
    private var drainCount = 0

    /** Takes an announcement from the listener. */
    fun onAnnouncement(announcement: Announcement): Unit = synchronized(lock) {
        unsent[announcement.vm] = announcement
    }

    /** Returns what to pass to [leader] now. */
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
