package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings

/**
 * Grants slots of the targets that this daemon allocates under the current [DaemonView].
 *
 * A credit is the permission to use a slot of a target. Each configured daemon owns a static share of the slots of
 * every target. The remainder of the division, and the shares of daemons that have been without a settings lease for
 * a long time, are granted as leases.
 *
 * A new allocator grants nothing until every configured daemon has reported the slots that it holds, or until all
 * grants of the previous allocator and the exchanges sent under them must have ended. The same applies after a change
 * of the view and after this daemon was without a settings lease.
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

    /** Time since which every holder has to report again. */
    private var settlingSince = start

    /** Time after which all earlier grants and the exchanges sent under them have ended. */
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

    /** Requires new reports, since this daemon may have been excluded from views while it had no settings lease. */
    fun leaseRegained(now: MonotonicTime) {
        settlingSince = now
        clearReports()
    }

    /** Clears all reports; in a view that this daemon missed, another daemon may have granted slots and lent shares. */
    private fun clearReports() {
        for (target in targets.values) {
            target.reporters.clear()
            target.shareHolders.clear()
        }
    }

    /** Returns the reply to [request] of [from], or null if the request is outdated. */
    fun handleRequest(from: DaemonId, request: CreditMessage.Request, now: MonotonicTime): CreditMessage.Grants? {
        if (request.view != view.version || from !in view.live || !isNewer(from, request)) return null
        // A delayed request to an earlier epoch of this daemon may report fewer slots than are held now.
        if (request.allocatorEpoch != epoch) return answer(request, emptyList())
        val grants = request.demands.filter { view.allocator(it.vm) == self }.map { grant(from, it, now) }
        return answer(request, grants)
    }

    private fun answer(request: CreditMessage.Request, grants: List<CreditGrant>) =
        CreditMessage.Grants(view.version, request.epoch, request.sequence, epoch, grants)

    /**
     * Removes the targets that are no longer [known] once none of their granted slots can be in use.
     *
     * A target with a recent request is kept: other daemons may receive its announcement before this daemon does, and
     * they report it only once.
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

    /** Returns the number of leasable slots: the remainder of the division and the shares of long absent daemons. */
    private fun leasableSlots(target: TargetAllocation, slots: Int, settled: Boolean, now: MonotonicTime): Int {
        val share = view.share(slots)
        val remainder = slots - share * view.configured.size
        if (!settled || !view.leased) return remainder
        val lenders = absentSince.values.count { now - maxOf(it, target.since) >= settlingTime }
        return remainder + lenders * share
    }
}

/** Allocation of one target: reports, demands and the slots committed to each daemon beyond its static share. */
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

/** Slots that a daemon may have in use until [until]. */
private class Commitment(val slots: Int, val until: MonotonicTime)
