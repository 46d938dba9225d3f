package org.auburnstream.daemon.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetPlan
import org.auburnstream.fleet.FleetPlanner
import org.auburnstream.fleet.FleetReports
import org.auburnstream.fleet.FleetTimings
import org.auburnstream.fleet.JobPhase
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.UsageEstimator

/**
 * Plans fleet changes during one leadership term and executes them. Each term uses a new instance, which starts
 * without reports.
 *
 * Platform requests are sent only for permits in the committed state. A leader that doesn't yet know that it was
 * deposed can therefore repeat a permitted action but never add one.
 */
internal class FleetLeader(
    private val host: FleetStateHolder,
    private val services: FleetServices,
    private val platform: Platform?,
    timings: FleetTimings,
) {
    private val lock = Any()
    private val reports = FleetReports(services.clock())
    private val usage = UsageEstimator()
    private val planner = FleetPlanner(timings, usage, leaseEndOf = services.leaseEndOf)

    fun onMessage(message: FleetMessage): Unit = synchronized(lock) {
        val now = services.clock()
        when (message) {
            is FleetMessage.Drain -> reports.onDrainReport(message.report)
            is FleetMessage.Announced -> message.announcements.forEach { reports.onAnnouncement(it, now) }
            is FleetMessage.Heartbeats -> message.vms.forEach { reports.onHeartbeat(it.vm, it.incarnation, now) }
        }
    }

    /** Computes one plan, proposes its commands and sends its platform requests. */
    suspend fun planAndExecute(scope: CoroutineScope) {
        val plan = plan()
        plan.notices.forEach(services.onNotice)
        for (command in plan.commands) {
            // The next call plans again from the committed state, so a lost proposal isn't retried here.
            if (services.propose(command) !is FleetProposal.Answered) break
        }
        plan.requests.forEach { request -> scope.launch { carryOut(request) } }
    }

    /** Renews the leases of running jobs and fetches the workers' resource usage. */
    suspend fun readUsage() {
        val platform = platform ?: return
        val leases = host.read { state ->
            state.jobsToRenew().mapNotNull { job ->
                (job.phase as? JobPhase.Running)?.let { JobLease(it.vm, job.spec.id, it.lease) }
            }
        }
        if (leases.isNotEmpty()) platform.renew(leases)
        val answer = platform.workers()
        if (answer !is PlatformResult.Answered) return
        host.read { state ->
            synchronized(lock) { answer.value.forEach { usage.onReport(it, state, services.clock()) } }
        }
    }

    private fun plan(): FleetPlan = host.read { state ->
        synchronized(lock) {
            val now = services.clock()
            reports.prune(state.vms.keys, now)
            planner.plan(state, reports, services.wallClock.now(), now)
        }
    }

    private suspend fun carryOut(request: PlatformRequest) {
        val answer = platform?.carryOut(request) ?: return
        val isDone = answer is PlatformResult.Answered && answer.value is PlatformAnswer.Done
        if (isDone && request is PlatformRequest.Restart) {
            services.propose(FleetCommand.ConfirmRestart(request.vm, request.permit))
        }
    }
}
