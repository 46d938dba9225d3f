package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/** The targets that announced themselves to this daemon, by service and by VM. */
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

    /** Takes in [announcement] unless it is of an earlier incarnation of the VM. */
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

    /** Removes and returns the targets whose announcements stopped. */
    fun expire(now: MonotonicTime): List<Target> {
        val expired = byVm.values.filter { isAnnouncementOverdue(it, now) }
        expired.forEach(::remove)
        return expired
    }

    /**
     * Suspends all targets after this daemon was frozen: announcements that were sent during the freeze are received
     * only now and prove nothing about the present.
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

/** What an announcement changed. */
internal sealed interface AnnouncementResult {
    /** A new target, or a new incarnation in place of [replaced]; [target] is null if the VM runs no service. */
    data class Added(val target: Target?, val replaced: Target?) : AnnouncementResult

    data class Renewed(val target: Target) : AnnouncementResult

    /** A later incarnation, [newest], is known. */
    data class Stale(val newest: Long) : AnnouncementResult
}
