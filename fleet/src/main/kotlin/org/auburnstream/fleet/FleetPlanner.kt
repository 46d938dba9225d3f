package org.auburnstream.fleet

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What the planner waits for.
 *
 * @property lossTimeout time without an announcement after which a VM counts as lost.
 * @property retryInterval time after which an unconfirmed request to the platform is repeated.
 * @property maxRegistrations most registrations proposed by one plan.
 */
public data class FleetTimings(
    val lossTimeout: Duration = 10.seconds,
    val retryInterval: Duration = 2.seconds,
    val maxRegistrations: Int = 64,
) {
    public companion object {
        /** Timings for a fleet whose VMs announce themselves about once a second. */
        public val Default: FleetTimings = FleetTimings()
    }
}

/**
 * What the leader should do now.
 *
 * @property commands proposals for the replicated log, in this order.
 * @property requests acts whose permits are already replicated.
 * @property notices facts that operators should see.
 */
public data class FleetPlan(
    val commands: List<FleetCommand> = emptyList(),
    val requests: List<PlatformRequest> = emptyList(),
    val notices: List<FleetNotice> = emptyList(),
)

/** Fact that operators should see. */
public sealed interface FleetNotice {
    /** A VM announces what does not fit the replicated record. */
    public data class AnnouncementRefused(val vm: VmId, val reason: FleetRefusal) : FleetNotice

    /** A drain was given up because it could no longer lead to a permit. */
    public data class DrainGivenUp(val vm: VmId, val reason: FleetRefusal) : FleetNotice

    /** A drain waits for these daemons. */
    public data class DrainWaits(val vm: VmId, val daemons: List<DaemonId>) : FleetNotice

    /** A VM went silent although nobody stopped it. */
    public data class UnplannedLoss(val vm: VmId) : FleetNotice

    /** A VM is not back from a planned act; its pool is held. */
    public data class NotReturned(val vm: VmId) : FleetNotice

    /** A running wave starts nothing for this reason. */
    public data class WaveWaits(val wave: WaveId, val reason: FleetRefusal) : FleetNotice
}

/**
 * Proposes what the fleet needs next, from the replicated state and what the leader has heard.
 *
 * The plan is only a proposal: [FleetState] checks each command again when it is applied. The planner keeps nothing
 * but the times of its requests to the platform, so a new leader's planner goes on where the last one stopped.
 *
 * @param usage what the workers reported; filled by the caller.
 * @param moves chooses the moves between pools.
 * @param leaseEndOf latest end of the settings lease that a daemon can hold, on this process's clock.
 */
public class FleetPlanner(
    private val timings: FleetTimings = FleetTimings.Default,
    private val usage: UsageEstimator = UsageEstimator(),
    private val moves: MovePolicy = MovePlanner()::plan,
    private val leaseEndOf: (DaemonId) -> MonotonicTime,
) {
    private val requestRepeater = RequestRepeater(timings.retryInterval)
    private val waves = WavePlanner()
    private val jobs = JobPlanner(usage)

    /** Returns what to do at [now], which is [at] in the time that commands are stamped with. */
    public fun plan(state: FleetState, reports: FleetReports, at: Instant, now: MonotonicTime): FleetPlan {
        val plan = PlanBuilder()
        planRegistrations(state, reports, now, plan)
        planLosses(state, reports, now, plan)
        for (vm in state.vmsInPlannedDisruption()) {
            planDisruption(state, reports, vm, at, now, plan)
        }
        waves.plan(state, at, plan)
        plan.commands += moves(state, at, now)
        jobs.plan(state, at, now, plan)
        requestRepeater.retain(plan.platformRequests)
        return plan.build(requestRepeater.due(plan.platformRequests, now))
    }

    private fun planRegistrations(state: FleetState, reports: FleetReports, now: MonotonicTime, plan: PlanBuilder) {
        for (announcement in reports.announcements(now, timings.lossTimeout)) {
            when (val review = state.review(announcement)) {
                AnnouncementReview.Unchanged -> Unit
                AnnouncementReview.Changed -> plan.registrations += FleetCommand.RegisterVm(announcement)
                is AnnouncementReview.Refused ->
                    plan.notices += FleetNotice.AnnouncementRefused(announcement.vm, review.reason)
            }
            if (plan.registrations.size >= timings.maxRegistrations) return
        }
    }

    private fun planLosses(state: FleetState, reports: FleetReports, now: MonotonicTime, plan: PlanBuilder) {
        for (vm in state.vms.values) {
            val isInService = vm.phase is VmPhase.Active || vm.phase is VmPhase.Draining
            if (!isInService || reports.silenceOf(vm, now) < timings.lossTimeout) continue
            plan.commands += FleetCommand.ReportLost(vm.id, vm.incarnation)
            plan.notices += FleetNotice.UnplannedLoss(vm.id)
        }
    }

    private fun planDisruption(
        state: FleetState,
        reports: FleetReports,
        vm: Vm,
        at: Instant,
        now: MonotonicTime,
        plan: PlanBuilder,
    ) {
        when (val phase = vm.phase) {
            is VmPhase.Draining -> planDrain(state, reports, vm, phase, at, now, plan)
            is VmPhase.Stopped -> {
                if (!phase.confirmed) plan.platformRequests += PlatformRequest.Restart(vm.id, phase.permit)
                planReturn(vm, phase.permit, at >= phase.returnBy, phase.overdue, plan)
            }
            is VmPhase.Moving -> {
                plan.platformRequests += PlatformRequest.Reassign(vm.id, phase.permit, vm.pool)
                planReturn(vm, phase.permit, at >= phase.returnBy, phase.overdue, plan)
            }
            else -> Unit
        }
    }

    private fun planDrain(
        state: FleetState,
        reports: FleetReports,
        vm: Vm,
        phase: VmPhase.Draining,
        at: Instant,
        now: MonotonicTime,
        plan: PlanBuilder,
    ) {
        val refusal = state.refusalOfPermit(vm, at)
        if (refusal != null) {
            plan.commands += FleetCommand.CancelDrain(vm.id, phase.drain)
            plan.notices += FleetNotice.DrainGivenUp(vm.id, refusal)
            return
        }
        if (state.jobsOn(vm.id).isNotEmpty()) return
        val evidence = state.daemons.mapNotNull { evidenceOf(it, reports, vm.id, phase.drain, now) }
        if (evidence.size == state.daemons.size) {
            plan.commands += FleetCommand.Permit(vm.id, phase.drain, evidence)
        } else {
            val daemonsWithoutEvidence = state.daemons - evidence.map { it.daemon }.toSet()
            plan.notices += FleetNotice.DrainWaits(vm.id, daemonsWithoutEvidence.toList())
        }
    }

    private fun evidenceOf(
        daemon: DaemonId,
        reports: FleetReports,
        vm: VmId,
        drain: FleetRevision,
        now: MonotonicTime,
    ): DrainEvidence? = when {
        reports.isIdle(daemon, vm, drain) -> DrainEvidence(daemon, DrainProof.REPORTED_IDLE)
        now >= leaseEndOf(daemon) + LONGEST_REQUEST -> DrainEvidence(daemon, DrainProof.LEASE_EXPIRED)
        else -> null
    }

    private fun planReturn(vm: Vm, permit: FleetRevision, isDue: Boolean, isOverdue: Boolean, plan: PlanBuilder) {
        if (isDue && !isOverdue) plan.commands += FleetCommand.ReportOverdue(vm.id, permit)
        if (isDue) plan.notices += FleetNotice.NotReturned(vm.id)
    }
}

/** Collects the parts of a [FleetPlan]; registrations come first, since they bring VMs back. */
internal class PlanBuilder {
    val registrations = mutableListOf<FleetCommand>()
    val commands = mutableListOf<FleetCommand>()
    val platformRequests = mutableListOf<PlatformRequest>()
    val notices = mutableListOf<FleetNotice>()

    fun build(requests: List<PlatformRequest>): FleetPlan = FleetPlan(registrations + commands, requests, notices)
}

/** Paces the repetition of requests that the platform has not yet confirmed. */
private class RequestRepeater(private val retryInterval: Duration) {
    private val sentAt = hashMapOf<PlatformRequest, MonotonicTime>()

    fun retain(platformRequests: Collection<PlatformRequest>) {
        sentAt.keys.retainAll(platformRequests.toSet())
    }

    fun due(platformRequests: List<PlatformRequest>, now: MonotonicTime): List<PlatformRequest> = platformRequests
        .filter { request -> sentAt[request]?.let { now - it >= retryInterval } ?: true }
        .onEach { sentAt[it] = now }
}
