package org.auburnstream.daemon.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.VmId

/**
 * Collects the announcements that this daemon hears and passes each on in full once, then by id only.
 *
 * A new leader knows none of them, and a message may be lost, so everything is passed on in full again when the
 * leader changes and at every [FULL_EVERY]th turn.
 */
internal class AnnouncementRelay {
    private val lock = Any()
    private val heard = hashMapOf<VmId, Announcement>()
    private val latest = hashMapOf<VmId, Announcement>()
    private var passedTo: DaemonId? = null
    private var turn = 0

    /** Takes an announcement from the listener. */
    fun onAnnouncement(announcement: Announcement): Unit = synchronized(lock) {
        heard[announcement.vm] = announcement
    }

    /** Returns what to pass to [leader] now. */
    fun take(leader: DaemonId): List<FleetMessage> = synchronized(lock) {
        val full = leader != passedTo || turn++ % FULL_EVERY == 0
        passedTo = leader
        val (news, known) = heard.values.partition { full || latest[it.vm] != it }
        heard.values.forEach { latest[it.vm] = it }
        heard.clear()
        buildList {
            news.chunked(MAX_IN_MESSAGE).forEach { add(FleetMessage.Announced(it)) }
            known.chunked(MAX_IN_MESSAGE).forEach { part ->
                add(FleetMessage.Heard(part.map { HeardVm(it.vm, it.incarnation) }))
            }
        }
    }

    private companion object {
        const val FULL_EVERY = 30
        const val MAX_IN_MESSAGE = 256
    }
}
