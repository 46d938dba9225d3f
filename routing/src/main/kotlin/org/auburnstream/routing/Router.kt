package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.CreditAllocator
import org.auburnstream.routing.credit.CreditBook
import org.auburnstream.routing.credit.CreditMessage
import org.auburnstream.routing.credit.DaemonView
import kotlin.random.Random

/**
 * Decides on the requests of one daemon: admission, choice of target, limits, retries and final results.
 *
 * Holds no clock and does nothing itself: each input comes with the reading of the monotonic clock, and the
 * returned effects are to be carried out in order. Not safe for concurrent use.
 *
 * @param view the daemons that share the targets' slots.
 * @param epoch grows with each start of this daemon.
 * @param random spreads the times to come back that refused callers are told.
 */
public class Router(
    private val self: DaemonId,
    dataCentre: DataCentreId,
    view: DaemonView,
    epoch: Long,
    start: MonotonicTime,
    random: Random,
    settings: RoutingSettings = RoutingSettings(),
) {
    private val credits = CreditBook(settings.credit, view, epoch)
    private val allocator = CreditAllocator(self, settings.credit, view, epoch, start)
    private val state = RoutingState(settings, dataCentre, credits)
    private val completion = Completion(state, random)
    private val dispatch = Dispatch(state, completion)
    private val admission = Admission(state, completion, dispatch, ::askForCredits)

    private var lastInput: MonotonicTime? = null

    /** Requests without a final result. */
    public val pending: Int get() = state.requests.size

    /** Returns the load of this daemon by service, for metrics and the fleet. */
    public fun load(): List<ServiceLoad> = state.services().map { (id, service) ->
        ServiceLoad(id, service.queue.size, service.queue.bytes, service.running)
    }

    /** Returns the targets that this daemon knows, for metrics and the fleet. */
    public fun targets(now: MonotonicTime): List<TargetLoad> = state.targets.all().map {
        TargetLoad(
            vm = it.vm,
            service = it.service,
            inUse = credits.inUse(it.vm),
            slots = state.choice.slots(it, now),
            ejected = it.health.ejected,
            serving = state.choice.mayServe(it, now),
        )
    }

    /** Returns the VMs that run requests of this daemon, also those that it has given up as targets. */
    public fun busyVms(): Set<VmId> = credits.busyVms()

    /** Takes in what happened at [now] and returns what to do. */
    public fun handle(input: RoutingInput, now: MonotonicTime): List<RoutingEffect> {
        state.effects.clear()
        lastInput?.let { if (now - it > state.settings.freezeGap) state.targets.distrust(now) }
        lastInput = now
        checkLease(now)
        when (input) {
            is RoutingInput.RequestArrived -> admission.arrived(input, now)
            is RoutingInput.ExchangeEnded -> dispatch.ended(input, now)
            is RoutingInput.CallerGone -> admission.callerGone(input.ticket, now)
            is RoutingInput.Announced -> announced(input.announcement, now)
            is RoutingInput.PlacementChanged -> placementChanged(input.placement, now)
            is RoutingInput.PolicyChanged -> state.policyChanged(input.service, input.policy)
            is RoutingInput.SettingsLeaseRenewed -> leaseRenewed(input.until, now)
            is RoutingInput.DaemonsChanged -> daemonsChanged(input.view, now)
            is RoutingInput.CreditReceived -> creditReceived(input.from, input.message, now)
            RoutingInput.Stopping -> state.stopping = true
            RoutingInput.Tick -> tick(now)
        }
        return if (state.effects.isEmpty()) emptyList() else ArrayList(state.effects)
    }

    private fun announced(announcement: Announcement, now: MonotonicTime) {
        when (val result = state.targets.announced(announcement, now)) {
            is AnnouncementResult.Stale -> {
                state.effects += RoutingEffect.RefuseAnnouncement(announcement.vm, result.newest)
                return
            }

            is AnnouncementResult.Renewed -> credits.targetChanged(announcement.vm, announcement.slots)
            is AnnouncementResult.Added -> {
                result.replaced?.let { state.effects += RoutingEffect.CloseIdle(it.vm, it.address) }
                result.target?.let { credits.targetChanged(it.vm, announcement.slots) }
            }
        }
        askForCredits(now)
        announcement.service?.let { dispatch.startWaiting(it, now) }
    }

    private fun placementChanged(placement: Placement?, now: MonotonicTime) {
        state.choice.placement = placement
        admission.giveUpHopeless(now)
        dispatch.startAllWaiting(now)
    }

    private fun leaseRenewed(until: MonotonicTime, now: MonotonicTime) {
        val wasLive = state.leaseLive
        state.leaseUntil = until
        state.leaseLive = now < until
        if (state.leaseLive && !wasLive) allocator.leaseRegained(now)
        credits.leaseChanged(state.leaseLive)
        dispatch.startAllWaiting(now)
    }

    /** Checked before each input, since a daemon that was frozen may find its lease run out at any of them. */
    private fun checkLease(now: MonotonicTime) {
        val until = state.leaseUntil ?: return
        if (!state.leaseLive || now < until) return
        state.leaseLive = false
        credits.leaseChanged(live = false)
        for (service in state.services().values) {
            completion.giveUpQueue(service, NotRunReason.SETTINGS_LEASE_EXPIRED, now) { true }
        }
    }

    private fun daemonsChanged(view: DaemonView, now: MonotonicTime) {
        credits.viewChanged(view)
        allocator.viewChanged(view, now)
        askForCredits(now)
    }

    private fun creditReceived(from: DaemonId, message: CreditMessage, now: MonotonicTime) {
        when (message) {
            is CreditMessage.Request -> {
                if (!state.leaseLive) return
                val grants = allocator.request(from, message, now) ?: return
                state.effects += RoutingEffect.SendCredit(from, grants)
            }

            is CreditMessage.Grants -> {
                credits.granted(from, message)
                askForCredits(now)
                dispatch.startAllWaiting(now)
            }
        }
    }

    private fun askForCredits(now: MonotonicTime) {
        for ((allocatorId, request) in credits.requests(now, ::wanted)) {
            if (allocatorId != self) {
                state.effects += RoutingEffect.SendCredit(allocatorId, request)
                continue
            }
            allocator.request(self, request, now)?.let { credits.granted(self, it) }
        }
    }

    private fun wanted(vm: VmId): Int {
        val target = state.targets[vm] ?: return 0
        val waiting = state.serviceOrNull(target.service)?.queue?.size ?: 0
        return minOf(target.announcement.slots, credits.inUse(vm) + waiting)
    }

    private fun tick(now: MonotonicTime) {
        for (target in state.targets.expire(now)) {
            credits.forget(target.vm)
            state.effects += RoutingEffect.CloseIdle(target.vm, target.address)
        }
        allocator.purge(now) { state.targets[it] != null }
        state.targets.all().forEach { it.health.tick(now) }
        admission.giveUpHopeless(now)
        askForCredits(now)
        dispatch.startAllWaiting(now)
    }
}
