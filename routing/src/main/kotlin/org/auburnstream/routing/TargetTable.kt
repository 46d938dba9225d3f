package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/** Registry of the targets that announced themselves to this daemon, indexed by service and by VM. */
internal class TargetTable(private val settings: RoutingSettings) {
    private val byVm = HashMap<VmId, Target>()
    private val byService = HashMap<ServiceId, MutableList<Target>>()
    private var renewalsIgnoredUntil = MonotonicTime.Zero
    private val incarnations = HashMap<VmId, Long>()

    val size: Int get() = byVm.size

    operator fun get(vm: VmId): Target? = byVm[vm]

    fun all(): Collection<Target> = byVm.values

    fun of(service: ServiceId): List<Target> = byService[service].orEmpty()

    fun hasService(service: ServiceId): Boolean = service in byService

    fun services(): Set<ServiceId> = byService.keys

    /** Adds or renews the target of [announcement], unless a later incarnation of the VM is known. */
    fun update(announcement: Announcement, now: MonotonicTime): AnnouncementResult {
        val newest = incarnations[announcement.vm]
        if (newest != null && announcement.incarnation < newest) return AnnouncementResult.Stale(newest)
        incarnations[announcement.vm] = announcement.incarnation
        val known = byVm[announcement.vm]
        val service = announcement.service
        if (known != null && known.isSameInstance(announcement)) {
            if (now >= renewalsIgnoredUntil || announcement.leaving) known.renew(announcement, now)
            return AnnouncementResult.Renewed(known)
        }
        val replaced = known?.also { remove(it) }
        if (service == null) return AnnouncementResult.Added(null, replaced)
        val target = Target(announcement, service, now, settings.health)
        target.suspended = now < renewalsIgnoredUntil
        byVm[target.vm] = target
        byService.getOrPut(service) { mutableListOf() } += target
        return AnnouncementResult.Added(target, replaced)
    }

    /** Removes and returns the targets whose announcements have expired. */
    fun expire(now: MonotonicTime): List<Target> {
        val expired = byVm.values.filter { isAnnouncementOverdue(it, now) }
        expired.forEach(::remove)
        return expired
    }

    /**
     * Suspends all targets after this daemon was frozen.
     *
     * Announcements that were sent during the freeze are received only now and may be outdated. Renewals other than
     * departures are therefore ignored for [RoutingSettings.freezeThreshold].
     */
    fun suspendAll(now: MonotonicTime) {
        renewalsIgnoredUntil = now + settings.freezeThreshold
        byVm.values.forEach { it.suspended = true }
    }

    fun isExpired(target: Target, now: MonotonicTime): Boolean = target.suspended || isAnnouncementOverdue(target, now)

    private fun isAnnouncementOverdue(target: Target, now: MonotonicTime): Boolean =
        now - target.lastAnnouncedAt >= settings.announcementExpiry

    private fun remove(target: Target) {
        byVm.remove(target.vm)
        byService[target.service]?.remove(target)
    }

    private fun Target.isSameInstance(next: Announcement): Boolean = announcement.incarnation == next.incarnation &&
        service == next.service &&
        announcement.address == next.address &&
        announcement.port == next.port
}

/** Result of applying an announcement to a [TargetTable]. */
internal sealed interface AnnouncementResult {
    /** A new registration replaces [replaced], if any; [target] is null if the VM runs no service. */
    data class Added(val target: Target?, val replaced: Target?) : AnnouncementResult

    /** The announcement refers to the registered [target]. */
    data class Renewed(val target: Target) : AnnouncementResult

    /** The announcement is outdated: the later incarnation [newest] is known. */
    data class Stale(val newest: Long) : AnnouncementResult
}
