package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings

/**
 * Grants the slots of the targets that this daemon allocates under the current [DaemonView].
 *
 * Each configured daemon owns a static share of every target. The slots left over by the division, and the shares
 * of daemons that have long been without a settings lease, are granted as leases. A new allocator grants nothing
 * until every configured daemon has reported what it holds, or until everything that its predecessor may have
 * granted, and every exchange sent under it, has ended. So does one whose view changed or whose daemon was without
 * a settings lease.
 */
internal class CreditAllocator(
    private val self: DaemonId,
    private val settings: CreditSettings,
    view: DaemonView,
    private val epoch: Long,
    start: MonotonicTime,
) {
    private var view = view
    private val absentSince = HashMap<DaemonId, MonotonicTime>()
    private val targets = HashMap<VmId, TargetAllocation>()
    private val epochs = HashMap<DaemonId, Long>()
    private val sequences = HashMap<DaemonId, Long>()

    /** Since when every holder has to report anew. */
    private var settlingSince = start
    private val settlingTime = settings.lease + settings.maxExchangeTime

    fun viewChanged(next: DaemonView, now: MonotonicTime) {
        if (next.version <= view.version) return
        view = next
        settlingSince = now
        targets.keys.retainAll { next.allocator(it) == self }
        clearReports()
        for (daemon in next.configured) {
            if (daemon in next.live) absentSince.remove(daemon) else absentSince.getOrPut(daemon) { now }
        }
    }

    /** Tells that this daemon has a settings lease again; without one it may have been left out and not heard of it. */
    fun leaseRegained(now: MonotonicTime) {
        settlingSince = now
        clearReports()
    }

    /** Views may have passed unseen in which another daemon granted slots and lent shares. */
    private fun clearReports() {
        for (target in targets.values) {
            target.reporters.clear()
            target.shareHolders.clear()
        }
    }

    /** Answers [request] of [from], or returns null if it is outdated. */
    fun handleRequest(from: DaemonId, request: CreditMessage.Request, now: MonotonicTime): CreditMessage.Grants? {
        if (request.view != view.version || from !in view.live || !isNewer(from, request)) return null
        // A late copy of a request to an earlier start of this daemon may report less than is held by now.
        if (request.allocatorEpoch != epoch) return answer(request, emptyList())
        val grants = request.demands.filter { view.allocator(it.vm) == self }.map { grant(from, it, now) }
        return answer(request, grants)
    }

    private fun answer(request: CreditMessage.Request, grants: List<CreditGrant>) =
        CreditMessage.Grants(view.version, request.epoch, request.sequence, epoch, grants)

    /**
     * Forgets the targets that are not [known] any more once nothing granted of them can be in use.
     *
     * A target reported of late is kept: the others may hear of it before this daemon does, and report it only once.
     */
    fun removeUnusedTargets(now: MonotonicTime, known: (VmId) -> Boolean) {
        targets.entries.removeIf { (vm, target) ->
            !known(vm) && now - target.lastRequest >= settlingTime && target.committedToOthers(daemon = null, now) == 0
        }
    }

    private fun isNewer(from: DaemonId, request: CreditMessage.Request): Boolean {
        val epoch = epochs[from]
        if (epoch != null && request.epoch < epoch) return false
        if (request.epoch == epoch && request.sequence <= sequences.getValue(from)) return false
        epochs[from] = request.epoch
        sequences[from] = request.sequence
        return true
    }

    private fun grant(from: DaemonId, demand: CreditDemand, now: MonotonicTime): CreditGrant {
        val target = targets.getOrPut(demand.vm) { TargetAllocation(since = now) }
        target.lastRequest = now
        target.reporters += from
        target.wantedSlots[from] = demand.wanted
        val settled = isSettled(target, now)
        val leasable = leasableSlots(target, demand.slots, settled, now)
        val free = leasable - target.committedToOthers(from, now)
        if (free >= 0 && target.reporters.containsAll(view.live)) target.shareHolders += from
        val allowed = if (settled) minOf(free, target.fairShare(leasable)) else demand.held
        val slots = minOf(demand.wanted, allowed).coerceAtLeast(0)
        target.commit(from, maxOf(slots, demand.held), until = now + settlingTime)
        return CreditGrant(demand.vm, slots, share = !view.leased || from in target.shareHolders)
    }

    private fun isSettled(target: TargetAllocation, now: MonotonicTime): Boolean =
        target.reporters.containsAll(view.configured) || now - maxOf(target.since, settlingSince) >= settlingTime

    /** Slots of a target that can be leased: the rest of the division and the shares of long absent daemons. */
    private fun leasableSlots(target: TargetAllocation, slots: Int, settled: Boolean, now: MonotonicTime): Int {
        val share = view.share(slots)
        val remainder = slots - share * view.configured.size
        if (!settled || !view.leased) return remainder
        val lenders = absentSince.values.count { now - maxOf(it, target.since) >= settlingTime }
        return remainder + lenders * share
    }
}

/** What the holders of one target's slots may have in use beyond their static shares. */
private class TargetAllocation(val since: MonotonicTime) {
    var lastRequest = since
    val reporters = HashSet<DaemonId>()
    val wantedSlots = HashMap<DaemonId, Int>()
    val shareHolders = HashSet<DaemonId>()
    private val commitments = HashMap<DaemonId, Commitment>()

    fun commit(daemon: DaemonId, slots: Int, until: MonotonicTime) {
        commitments[daemon] = Commitment(slots, until)
    }

    fun committedToOthers(daemon: DaemonId?, now: MonotonicTime): Int =
        commitments.entries.sumOf { if (it.key != daemon && it.value.until > now) it.value.slots else 0 }

    fun fairShare(leasable: Int): Int = maxOf(1, leasable / wantedSlots.values.count { it > 0 }.coerceAtLeast(1))
}

private class Commitment(val slots: Int, val until: MonotonicTime)
