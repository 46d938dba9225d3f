package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/** What this daemon knows of one announced target. */
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

    /** Set after a freeze of this daemon until the target announces itself afresh. */
    var suspended: Boolean = false
    val health: TargetHealth = TargetHealth(settings, now)
    val runTime: RunTimeEstimate = RunTimeEstimate()
    val address: TargetAddress get() = TargetAddress(announcement.address, announcement.port)

    fun renew(next: Announcement, now: MonotonicTime) {
        announcement = next
        lastAnnouncedAt = now
        suspended = false
    }
}
