package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * VMs on which one daemon has requests in progress, after the daemon has applied [revision].
 *
 * @property sequence increases with each report of the daemon, so that late and duplicate reports are recognized.
 * @property inProgress all VMs on which the daemon has a request in progress.
 */
@Serializable
public data class DrainReport(
    val daemon: DaemonId,
    val sequence: Long,
    val revision: FleetRevision,
    val inProgress: Set<VmId>,
)

/**
 * Stores the drain reports and announcements that the leader has received since it became leader.
 *
 * Nothing here is replicated. A new leader starts without any report and counts the silence of a VM only from
 * [startedAt], so that it does not report a VM as lost merely because it has not received an announcement yet.
 */
public class FleetReports(public val startedAt: MonotonicTime) {
    private val drains = hashMapOf<DaemonId, DrainReport>()
    private val announcements = hashMapOf<VmId, ReceivedAnnouncement>()

    /** Records a daemon's [report]; a report that is older than the last one is ignored. */
    public fun onDrainReport(report: DrainReport) {
        val last = drains[report.daemon]
        if (last == null || report.sequence > last.sequence) drains[report.daemon] = report
    }

    /** Records an [announcement] that a daemon received; an announcement from an earlier boot is ignored. */
    public fun onAnnouncement(announcement: Announcement, now: MonotonicTime) {
        val last = announcements[announcement.vm]
        if (last != null && announcement.incarnation < last.announcement.incarnation) return
        announcements[announcement.vm] = ReceivedAnnouncement(announcement, now)
    }

    /** Records that a daemon received another announcement of [vm] with an unchanged [incarnation]. */
    public fun onHeartbeat(vm: VmId, incarnation: Long, now: MonotonicTime) {
        val last = announcements[vm] ?: return
        if (last.announcement.incarnation == incarnation) announcements[vm] = last.copy(at = now)
    }

    /** Returns the latest announcement of each VM whose last contact was less than [maxAge] before [now]. */
    public fun announcements(now: MonotonicTime, maxAge: Duration): List<Announcement> =
        announcements.values.filter { now - it.at < maxAge }.map { it.announcement }

    /** Returns the time since the last announcement of [vm]; time before [startedAt] does not count. */
    public fun silenceOf(vm: Vm, now: MonotonicTime): Duration {
        val received = announcements[vm.id]?.takeIf { it.announcement.incarnation >= vm.incarnation }
        return now - maxOf(startedAt, received?.at ?: startedAt)
    }

    /** Returns whether [daemon] has reported no request in progress on [vm] at or after revision [drain]. */
    public fun isIdle(daemon: DaemonId, vm: VmId, drain: FleetRevision): Boolean {
        val report = drains[daemon] ?: return false
        return report.revision >= drain && vm !in report.inProgress
    }

    /** Removes VMs that are not in [known] and have not announced themselves for [ANNOUNCEMENT_TTL]. */
    public fun prune(known: Set<VmId>, now: MonotonicTime) {
        announcements.entries.removeIf { it.key !in known && now - it.value.at > ANNOUNCEMENT_TTL }
    }

    private data class ReceivedAnnouncement(val announcement: Announcement, val at: MonotonicTime)

    private companion object {
        val ANNOUNCEMENT_TTL: Duration = 60.seconds
    }
}
