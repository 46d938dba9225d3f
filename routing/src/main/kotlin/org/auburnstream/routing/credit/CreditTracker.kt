package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings

/**
 * Tracks the slots that this daemon may use at each target and creates the requests to the allocators.
 *
 * @param epoch number of this daemon's start; increases with each start.
 */
internal class CreditTracker(private val settings: CreditSettings, view: DaemonView, private val epoch: Long) {
    private var view = view
    private val allocatorEpochs = HashMap<DaemonId, Long>()
    private val creditsByVm = HashMap<VmId, HeldCredits>()
    private var sequence = 0L
    private var leaseLive = true

    fun updateTarget(vm: VmId, slots: Int) {
        val credits = creditsByVm.getOrPut(vm) { HeldCredits(vm) }
        credits.slots = slots
        credits.removed = false
    }

    /** Removes [vm] as soon as it runs no more requests of this daemon. */
    fun removeTarget(vm: VmId) {
        val credits = creditsByVm[vm] ?: return
        credits.removed = true
        if (credits.inUse == 0) creditsByVm.remove(vm)
    }

    fun viewChanged(next: DaemonView) {
        if (next.version <= view.version) return
        view = next
        creditsByVm.values.forEach { it.reported = false }
    }

    /** Updates the state of the lease; without a lease the shares may be lent to others and must be requested again. */
    fun leaseChanged(live: Boolean) {
        leaseLive = live
        if (live) return
        creditsByVm.values.forEach {
            it.mayUseShare = false
            it.reported = false
        }
    }

    /** Returns the maximum number of slots of [vm] that may be in use at [now]. */
    fun limit(vm: VmId, now: MonotonicTime): Int {
        val credits = creditsByVm[vm] ?: return 0
        if (credits.removed || view.leased && !leaseLive) return 0
        return usableShare(credits) + credits.leasedSlots(now)
    }

    /** Returns this daemon's share of [count] slots or connections that are divided evenly among the daemons. */
    fun staticShare(count: Int): Int = view.share(count)

    /** Returns the number of slots of [vm] that requests of this daemon use. */
    fun inUse(vm: VmId): Int = creditsByVm[vm]?.inUse ?: 0

    /** Returns the VMs with slots in use, including removed targets. */
    fun busyVms(): Set<VmId> = creditsByVm.values.filter { it.inUse > 0 }.mapTo(HashSet()) { it.vm }

    fun acquire(vm: VmId) {
        creditsByVm.getValue(vm).inUse++
    }

    fun release(vm: VmId) {
        val credits = creditsByVm.getValue(vm)
        credits.inUse--
        if (credits.removed && credits.inUse == 0) creditsByVm.remove(vm)
    }

    /**
     * Returns the requests to send at [now], by allocator.
     *
     * @param wanted number of slots that this daemon could use at a target, including those in use.
     */
    fun dueRequests(now: MonotonicTime, wanted: (VmId) -> Int): Map<DaemonId, CreditMessage.Request> {
        if (!settings.leasing || !leaseLive) return emptyMap()
        val due = creditsByVm.values.filter { isDue(it, wanted(it.vm), now) }
        if (due.isEmpty()) return emptyMap()
        sequence++
        return due
            .groupBy { view.allocator(it.vm) }
            .mapNotNull { (allocator, targets) -> allocator?.let { it to createRequest(it, targets, now, wanted) } }
            .toMap()
    }

    /** Applies the grants of [message], unless it belongs to another view, epoch or request. */
    fun applyGrants(from: DaemonId, message: CreditMessage.Grants) {
        if (message.view != view.version || message.epoch != epoch) return
        val known = allocatorEpochs[from]
        if (known == null || message.allocatorEpoch > known) return requireReports(from, message.allocatorEpoch)
        if (message.allocatorEpoch < known) return
        for (grant in message.grants) {
            val credits = creditsByVm[grant.vm] ?: continue
            if (view.allocator(grant.vm) != from || credits.requestSequence != message.sequence) continue
            credits.awaitingReply = false
            credits.grantedSlots = grant.slots
            credits.grantExpiresAt = credits.requestedAt + settings.lease
            credits.mayUseShare = credits.mayUseShare || grant.share
            credits.reported = true
        }
    }

    /** Reports all held slots again, since the allocator [from] restarted and lost the earlier reports. */
    private fun requireReports(from: DaemonId, epoch: Long) {
        allocatorEpochs[from] = epoch
        for (credits in creditsByVm.values.filter { view.allocator(it.vm) == from }) {
            credits.reported = false
            credits.lastRequestAt = null
        }
    }

    private fun usableShare(credits: HeldCredits): Int =
        if (!view.leased || credits.mayUseShare) view.share(credits.slots) else 0

    private fun isDue(credits: HeldCredits, wanted: Int, now: MonotonicTime): Boolean {
        val waited = now - (credits.lastRequestAt ?: return true)
        if (waited >= settings.renewalInterval && mustReport(credits)) return true
        // A newer request invalidates the reply to the previous one, so there is no gain in outpacing the replies.
        return !credits.awaitingReply && waited >= settings.minDemandInterval && wanted > limit(credits.vm, now)
    }

    private fun mustReport(credits: HeldCredits): Boolean =
        credits.awaitingReply || !credits.reported || credits.held(view) > 0 || view.leased && !credits.mayUseShare

    /** Releases unwanted slots before it reports, so that the allocator can immediately grant them to others. */
    private fun createRequest(
        to: DaemonId,
        targets: List<HeldCredits>,
        now: MonotonicTime,
        wanted: (VmId) -> Int,
    ): CreditMessage.Request {
        val demands =
            targets.map { credits ->
                val wantedBeyondShare = (wanted(credits.vm) - view.share(credits.slots)).coerceAtLeast(0)
                credits.grantedSlots = minOf(credits.leasedSlots(now), wantedBeyondShare)
                credits.requestedAt = now
                credits.lastRequestAt = now
                credits.awaitingReply = true
                credits.requestSequence = sequence
                CreditDemand(credits.vm, credits.slots, wantedBeyondShare, credits.held(view))
            }
        return CreditMessage.Request(view.version, epoch, sequence, allocatorEpochs[to], demands)
    }
}

/** Slots of one target that this daemon holds, and the state of its request for more. */
private class HeldCredits(val vm: VmId) {
    var slots = 0
    var inUse = 0
    var grantedSlots = 0
    var grantExpiresAt = MonotonicTime.Zero
    var requestedAt = MonotonicTime.Zero

    /** Time of the last request, or null if the next request is due at once. */
    var lastRequestAt: MonotonicTime? = null
    var requestSequence = 0L
    var awaitingReply = false
    var reported = false

    /** Whether the allocator has confirmed that this daemon may use its static share. */
    var mayUseShare = false
    var removed = false

    fun leasedSlots(now: MonotonicTime): Int = if (now < grantExpiresAt) grantedSlots else 0

    /** Returns the number of slots beyond the static share that may be in use until the next request. */
    fun held(view: DaemonView): Int = maxOf(grantedSlots, inUse - view.share(slots))
}
