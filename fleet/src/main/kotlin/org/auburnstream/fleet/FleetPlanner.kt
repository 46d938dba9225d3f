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
 * Timeouts and limits of the [FleetPlanner].
 *
 * @property lossTimeout time without an announcement after which a VM is reported as lost.
 * @property retryInterval time after which an unconfirmed request to the platform is repeated.
 * @property maxRegistrations maximum number of registrations proposed by one plan.
 */
public data class FleetTimings(
    val lossTimeout: Duration = 10.seconds,
    val retryInterval: Duration = 2.seconds,
    val maxRegistrations: Int = 64,
) {
    public companion object {
        /** Timings for VMs that announce themselves about once a second. */
        public val Default: FleetTimings = FleetTimings()
    }
}

/**
 * Actions that the leader should take now.
 *
 * @property commands commands to propose to the replicated log, in this order.
 * @property requests requests to the platform whose permits are already replicated.
 * @property notices conditions to report to operators.
 */
public data class FleetPlan(
    val commands: List<FleetCommand> = emptyList(),
    val requests: List<PlatformRequest> = emptyList(),
    val notices: List<FleetNotice> = emptyList(),
)

/** Condition to report to operators; each one is logged in its string form. */
public sealed interface FleetNotice {
    /** A VM sent an announcement that conflicts with its replicated record. */
    public data class AnnouncementRefused(val vm: VmId, val reason: FleetRefusal) : FleetNotice

    /** A drain was cancelled because it could no longer lead to a permit. */
    public data class DrainGivenUp(val vm: VmId, val reason: FleetRefusal) : FleetNotice

    /** A drain waits for evidence from these daemons. */
    public data class DrainWaits(val vm: VmId, val daemons: List<DaemonId>) : FleetNotice

    /** A VM stopped announcing itself without a planned stop. */
    public data class UnplannedLoss(val vm: VmId) : FleetNotice

    /** A VM has not returned in time from a planned disruption; maintenance of its pool is on hold. */
    public data class NotReturned(val vm: VmId) : FleetNotice

    /** A running wave cannot start a drain for this reason. */
    public data class WaveWaits(val wave: WaveId, val reason: FleetRefusal) : FleetNotice
}

/**
 * Computes the next commands and platform requests of the fleet from the replicated state and the reports that the
 * leader has received.
 *
 * The plan is only a proposal: [FleetState] validates each command again when it is applied. The planner keeps only
 * local timing data (such as the times of its platform requests), so the planner of a new leader can continue at once.
 *
 * @param usage usage reports of the workers; the caller feeds them in.
 * @param moves policy that chooses the moves between pools.
 * @param leaseEndOf returns the latest end of the settings lease that a daemon can hold, on this process's clock.
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

    /** Returns the plan for [now]; [at] is the same time on the wall clock, which stamps the commands. */
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

/** Collects the parts of a [FleetPlan]; registrations come first because they return VMs to service. */
internal class PlanBuilder {
    val registrations = mutableListOf<FleetCommand>()
    val commands = mutableListOf<FleetCommand>()
    val platformRequests = mutableListOf<PlatformRequest>()
    val notices = mutableListOf<FleetNotice>()

    fun build(requests: List<PlatformRequest>): FleetPlan = FleetPlan(registrations + commands, requests, notices)
}

/** Limits how often a request that the platform has not confirmed yet is sent again. */
private class RequestRepeater(private val retryInterval: Duration) {
    private val sentAt = hashMapOf<PlatformRequest, MonotonicTime>()

    fun retain(platformRequests: Collection<PlatformRequest>) {
        sentAt.keys.retainAll(platformRequests.toSet())
    }

    fun due(platformRequests: List<PlatformRequest>, now: MonotonicTime): List<PlatformRequest> = platformRequests
        .filter { request -> sentAt[request]?.let { now - it >= retryInterval } ?: true }
        .onEach { sentAt[it] = now }
}
