package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One daemon's requests in progress, as of the moment it had applied [revision].
 *
 * @property sequence grows with each report of the daemon, so that late and doubled ones are recognized.
 * @property inProgress VMs that the daemon has a request in progress on; each other VM has none.
 */
@Serializable
public data class DrainReport(
    val daemon: DaemonId,
    val sequence: Long,
    val revision: FleetRevision,
    val inProgress: Set<VmId>,
)

/**
 * What the leader has received from daemons and VMs since it became leader.
 *
 * Nothing here is replicated: a new leader begins without any report and treats silence since [startedAt] as unknown,
 * not as loss.
 */
public class FleetReports(public val startedAt: MonotonicTime) {
    private val drains = hashMapOf<DaemonId, DrainReport>()
    private val announcements = hashMapOf<VmId, ReceivedAnnouncement>()

    /** Takes a daemon's [report]; an older one than the last is ignored. */
    public fun onDrainReport(report: DrainReport) {
        val last = drains[report.daemon]
        if (last == null || report.sequence > last.sequence) drains[report.daemon] = report
    }

    /** Takes an [announcement] that some daemon received; one of an earlier boot is ignored. */
    public fun onAnnouncement(announcement: Announcement, now: MonotonicTime) {
        val last = announcements[announcement.vm]
        if (last != null && announcement.incarnation < last.announcement.incarnation) return
        announcements[announcement.vm] = ReceivedAnnouncement(announcement, now)
    }

    /** Notes that some daemon heard [vm] again with the [incarnation] that was reported before. */
    public fun onHeartbeat(vm: VmId, incarnation: Long, now: MonotonicTime) {
        val last = announcements[vm] ?: return
        if (last.announcement.incarnation == incarnation) announcements[vm] = last.copy(at = now)
    }

    /** Returns the latest announcement of each VM that was received less than [maxAge] ago. */
    public fun announcements(now: MonotonicTime, maxAge: Duration): List<Announcement> =
        announcements.values.filter { now - it.at < maxAge }.map { it.announcement }

    /** Returns how long [vm] has been silent at [now]; silence before [startedAt] does not count. */
    public fun silenceOf(vm: Vm, now: MonotonicTime): Duration {
        val received = announcements[vm.id]?.takeIf { it.announcement.incarnation >= vm.incarnation }
        return now - maxOf(startedAt, received?.at ?: startedAt)
    }

    /** Returns whether [daemon] reported that it has nothing in progress on [vm] since [drain]. */
    public fun isIdle(daemon: DaemonId, vm: VmId, drain: FleetRevision): Boolean {
        val report = drains[daemon] ?: return false
        return report.revision >= drain && vm !in report.inProgress
    }

    /** Forgets VMs that are not among [known] and have been silent for [ANNOUNCEMENT_TTL]. */
    public fun prune(known: Set<VmId>, now: MonotonicTime) {
        announcements.entries.removeIf { it.key !in known && now - it.value.at > ANNOUNCEMENT_TTL }
    }

    private data class ReceivedAnnouncement(val announcement: Announcement, val at: MonotonicTime)

    private companion object {
        val ANNOUNCEMENT_TTL: Duration = 60.seconds
    }
}
