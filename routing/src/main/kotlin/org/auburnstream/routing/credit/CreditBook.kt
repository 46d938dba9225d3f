package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings

/**
 * Slots that this daemon may use at each target, and the requests by which it gets more.
 *
 * @param epoch grows with each start of this daemon.
 */
internal class CreditBook(private val settings: CreditSettings, view: DaemonView, private val epoch: Long) {
    private var view = view
    private val allocatorEpochs = HashMap<DaemonId, Long>()
    private val accounts = HashMap<VmId, CreditAccount>()
    private var sequence = 0L
    private var leaseLive = true

    fun targetChanged(vm: VmId, slots: Int) {
        val account = accounts.getOrPut(vm) { CreditAccount(vm) }
        account.slots = slots
        account.gone = false
    }

    /** Forgets [vm] once nothing of this daemon runs there any more. */
    fun forget(vm: VmId) {
        val account = accounts[vm] ?: return
        account.gone = true
        if (account.inUse == 0) accounts.remove(vm)
    }

    fun viewChanged(next: DaemonView) {
        if (next.version <= view.version) return
        view = next
        accounts.values.forEach { it.reported = false }
    }

    /** A daemon whose lease ran out may have lent its shares unknowingly, so it has to ask for them again. */
    fun leaseChanged(live: Boolean) {
        leaseLive = live
        if (live) return
        accounts.values.forEach {
            it.sharing = false
            it.reported = false
        }
    }

    /** Returns how many slots of [vm] may be in use at [now]. */
    fun limit(vm: VmId, now: MonotonicTime): Int {
        val account = accounts[vm] ?: return 0
        if (account.gone || view.leased && !leaseLive) return 0
        return share(account) + account.leased(now)
    }

    /** This daemon's part of [count] things that the configured daemons share evenly. */
    fun share(count: Int): Int = view.share(count)

    /** Slots of [vm] that this daemon's requests occupy. */
    fun inUse(vm: VmId): Int = accounts[vm]?.inUse ?: 0

    /** VMs with slots in use, gone targets included. */
    fun busyVms(): Set<VmId> = accounts.values.filter { it.inUse > 0 }.mapTo(HashSet()) { it.vm }

    fun take(vm: VmId) {
        accounts.getValue(vm).inUse++
    }

    fun release(vm: VmId) {
        val account = accounts.getValue(vm)
        account.inUse--
        if (account.gone && account.inUse == 0) accounts.remove(vm)
    }

    /**
     * Returns the requests to send now, by allocator.
     *
     * @param wanted slots that could be put to use at a target, those in use included.
     */
    fun requests(now: MonotonicTime, wanted: (VmId) -> Int): Map<DaemonId, CreditMessage.Request> {
        if (!settings.leasing || !leaseLive) return emptyMap()
        val due = accounts.values.filter { isDue(it, wanted(it.vm), now) }
        if (due.isEmpty()) return emptyMap()
        sequence++
        return due
            .groupBy { view.allocator(it.vm) }
            .mapNotNull { (allocator, part) -> allocator?.let { it to request(it, part, now, wanted) } }
            .toMap()
    }

    fun granted(from: DaemonId, message: CreditMessage.Grants) {
        if (message.view != view.version || message.epoch != epoch) return
        val known = allocatorEpochs[from]
        if (known == null || message.allocatorEpoch > known) return reportAgain(from, message.allocatorEpoch)
        if (message.allocatorEpoch < known) return
        for (grant in message.grants) {
            val account = accounts[grant.vm] ?: continue
            if (view.allocator(grant.vm) != from || account.sequence != message.sequence) continue
            account.awaiting = false
            account.extra = grant.slots
            account.until = account.asked + settings.lease
            account.sharing = account.sharing || grant.share
            account.reported = true
        }
    }

    /** The allocator [from] started anew and knows nothing of what this daemon holds. */
    private fun reportAgain(from: DaemonId, epoch: Long) {
        allocatorEpochs[from] = epoch
        for (account in accounts.values.filter { view.allocator(it.vm) == from }) {
            account.reported = false
            account.lastAsked = null
        }
    }

    private fun share(account: CreditAccount): Int =
        if (!view.leased || account.sharing) view.share(account.slots) else 0

    private fun isDue(account: CreditAccount, wanted: Int, now: MonotonicTime): Boolean {
        val waited = now - (account.lastAsked ?: return true)
        if (waited >= settings.renewal && mustReport(account)) return true
        // A newer request voids the answer to the one before, so asking faster than answers come would gain nothing.
        return !account.awaiting && waited >= settings.shortageInterval && wanted > limit(account.vm, now)
    }

    private fun mustReport(account: CreditAccount): Boolean =
        account.awaiting || !account.reported || account.held(view) > 0 || view.leased && !account.sharing

    /** Gives up what is not wanted before it reports, so that the allocator may grant it to others at once. */
    private fun request(
        to: DaemonId,
        part: List<CreditAccount>,
        now: MonotonicTime,
        wanted: (VmId) -> Int,
    ): CreditMessage.Request {
        val demands =
            part.map { account ->
                val more = (wanted(account.vm) - view.share(account.slots)).coerceAtLeast(0)
                account.extra = minOf(account.leased(now), more)
                account.asked = now
                account.lastAsked = now
                account.awaiting = true
                account.sequence = sequence
                CreditDemand(account.vm, account.slots, more, account.held(view))
            }
        return CreditMessage.Request(view.version, epoch, sequence, allocatorEpochs[to], demands)
    }
}

/** This daemon's slots of one target. */
private class CreditAccount(val vm: VmId) {
    var slots = 0
    var inUse = 0
    var extra = 0
    var until = MonotonicTime.Zero
    var asked = MonotonicTime.Zero
    var lastAsked: MonotonicTime? = null
    var sequence = 0L
    var awaiting = false
    var reported = false
    var sharing = false
    var gone = false

    fun leased(now: MonotonicTime): Int = if (now < until) extra else 0

    /** Slots that may be in use beyond the static share until the next request. */
    fun held(view: DaemonView): Int = maxOf(extra, inUse - view.share(slots))
}
