package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.CreditAllocator
import org.auburnstream.routing.credit.CreditMessage
import org.auburnstream.routing.credit.CreditTracker
import org.auburnstream.routing.credit.DaemonView
import kotlin.random.Random

/**
 * Routes the requests of one daemon: admission, target selection, concurrency limits, retries and final results.
 *
 * Deterministic and free of I/O: each input comes with the current time of the monotonic clock, and the caller must
 * execute the returned effects in order. Not safe for concurrent use.
 *
 * @param view initial set of the daemons that share the slots of the targets.
 * @param epoch number of this daemon's start; increases with each start.
 * @param random source of the jitter of the retry delays that are returned to rejected callers.
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
    private val credits = CreditTracker(settings.credit, view, epoch)
    private val allocator = CreditAllocator(self, settings.credit, view, epoch, start)
    private val state = RoutingState(settings, dataCentre, credits)
    private val completer = RequestCompleter(state, random)
    private val dispatcher = Dispatcher(state, completer)
    private val admission = AdmissionControl(state, completer, dispatcher, ::requestCredits)

    private var lastInputAt: MonotonicTime? = null

    /** Number of requests without a final result. */
    public val pending: Int get() = state.requests.size

    /** Returns the load of this daemon by service, for metrics and the fleet controller. */
    public fun load(): List<ServiceLoad> = state.services().map { (id, service) ->
        ServiceLoad(id, service.queue.size, service.queue.bytes, service.running)
    }

    /** Returns the registered targets of this daemon, for metrics and the fleet controller. */
    public fun targets(now: MonotonicTime): List<TargetLoad> = state.targets.all().map {
        TargetLoad(
            vm = it.vm,
            service = it.service,
            inUse = credits.inUse(it.vm),
            slots = state.selector.slots(it, now),
            ejected = it.health.ejected,
            serving = state.selector.mayServe(it, now),
        )
    }

    /** Returns the VMs that run requests of this daemon, including those that are no longer registered as targets. */
    public fun busyVms(): Set<VmId> = credits.busyVms()

    /** Processes [input] at time [now] and returns the effects to execute. */
    public fun handle(input: RoutingInput, now: MonotonicTime): List<RoutingEffect> {
        state.effects.clear()
        lastInputAt?.let { if (now - it > state.settings.freezeThreshold) state.targets.suspendAll(now) }
        lastInputAt = now
        checkLease(now)
        when (input) {
            is RoutingInput.RequestArrived -> admission.admit(input, now)
            is RoutingInput.ExchangeEnded -> dispatcher.exchangeEnded(input, now)
            is RoutingInput.CallerDisconnected -> admission.callerDisconnected(input.ticket, now)
            is RoutingInput.TargetAnnounced -> targetAnnounced(input.announcement, now)
            is RoutingInput.PlacementChanged -> placementChanged(input.placement, now)
            is RoutingInput.PolicyChanged -> state.policyChanged(input.service, input.policy)
            is RoutingInput.SettingsLeaseRenewed -> leaseRenewed(input.until, now)
            is RoutingInput.DaemonViewChanged -> daemonViewChanged(input.view, now)
            is RoutingInput.CreditMessageReceived -> creditMessageReceived(input.from, input.message, now)
            RoutingInput.Stopping -> state.stopping = true
            RoutingInput.Tick -> tick(now)
        }
        return if (state.effects.isEmpty()) emptyList() else ArrayList(state.effects)
    }

    private fun targetAnnounced(announcement: Announcement, now: MonotonicTime) {
        when (val result = state.targets.update(announcement, now)) {
            is AnnouncementResult.Stale -> {
                state.effects += RoutingEffect.RefuseAnnouncement(announcement.vm, result.newest)
                return
            }

            is AnnouncementResult.Renewed -> credits.updateTarget(announcement.vm, announcement.slots)
            is AnnouncementResult.Added -> {
                result.replaced?.let { state.effects += RoutingEffect.CloseIdleConnections(it.vm, it.address) }
                result.target?.let { credits.updateTarget(it.vm, announcement.slots) }
            }
        }
        requestCredits(now)
        announcement.service?.let { dispatcher.startQueued(it, now) }
    }

    private fun placementChanged(placement: Placement?, now: MonotonicTime) {
        state.selector.placement = placement
        admission.failUnservable(now)
        dispatcher.startAllQueued(now)
    }

    private fun leaseRenewed(until: MonotonicTime, now: MonotonicTime) {
        val wasLive = state.leaseLive
        state.leaseExpiresAt = until
        state.leaseLive = now < until
        if (state.leaseLive && !wasLive) allocator.leaseRegained(now)
        credits.leaseChanged(state.leaseLive)
        dispatcher.startAllQueued(now)
    }

    /** Checks the lease before each input, since the lease may have expired while the daemon was frozen. */
    private fun checkLease(now: MonotonicTime) {
        val until = state.leaseExpiresAt ?: return
        if (!state.leaseLive || now < until) return
        state.leaseLive = false
        credits.leaseChanged(live = false)
        for (service in state.services().values) {
            completer.failQueued(service, NotRunReason.SETTINGS_LEASE_EXPIRED, now) { true }
        }
    }

    private fun daemonViewChanged(view: DaemonView, now: MonotonicTime) {
        credits.viewChanged(view)
        allocator.viewChanged(view, now)
        requestCredits(now)
    }

    private fun creditMessageReceived(from: DaemonId, message: CreditMessage, now: MonotonicTime) {
        when (message) {
            is CreditMessage.Request -> {
                if (!state.leaseLive) return
                val grants = allocator.handleRequest(from, message, now) ?: return
                state.effects += RoutingEffect.SendCreditMessage(from, grants)
            }

            is CreditMessage.Grants -> {
                credits.applyGrants(from, message)
                requestCredits(now)
                dispatcher.startAllQueued(now)
            }
        }
    }

    private fun requestCredits(now: MonotonicTime) {
        for ((allocatorId, request) in credits.dueRequests(now, ::wantedSlots)) {
            if (allocatorId != self) {
                state.effects += RoutingEffect.SendCreditMessage(allocatorId, request)
                continue
            }
            allocator.handleRequest(self, request, now)?.let { credits.applyGrants(self, it) }
        }
    }

    private fun wantedSlots(vm: VmId): Int {
        val target = state.targets[vm] ?: return 0
        val waiting = state.serviceOrNull(target.service)?.queue?.size ?: 0
        return minOf(target.announcement.slots, credits.inUse(vm) + waiting)
    }

    private fun tick(now: MonotonicTime) {
        for (target in state.targets.expire(now)) {
            credits.removeTarget(target.vm)
            state.effects += RoutingEffect.CloseIdleConnections(target.vm, target.address)
        }
        allocator.removeUnusedTargets(now) { state.targets[it] != null }
        state.targets.all().forEach { it.health.resetEjectionsIfStable(now) }
        admission.failUnservable(now)
        requestCredits(now)
        dispatcher.startAllQueued(now)
    }
}
