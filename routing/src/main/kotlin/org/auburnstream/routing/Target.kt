package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/** Target that announced itself to this daemon, with its health and run time estimate. */
internal class Target(
    announcement: Announcement,
    val service: ServiceId,
    now: MonotonicTime,
    settings: HealthSettings,
) {
    val vm: VmId = announcement.vm
    var announcement: Announcement = announcement
        private set
    var lastAnnouncedAt: MonotonicTime = now
        private set

    /** Whether the target is unused since a freeze of this daemon, until a new announcement arrives. */
    var suspended: Boolean = false
    val health: TargetHealth = TargetHealth(settings, now)
    val runTime: RunTimeEstimate = RunTimeEstimate()
    val address: TargetAddress get() = TargetAddress(announcement.address, announcement.port)

    /** Replaces the announcement with [next] and ends a suspension. */
    fun renew(next: Announcement, now: MonotonicTime) {
        announcement = next
        lastAnnouncedAt = now
        suspended = false
    }
}
