package org.auburnstream.daemon.fleet

import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.fleet.BudgetView
import org.auburnstream.api.fleet.ExplanationView
import org.auburnstream.api.fleet.FleetChangeRequest
import org.auburnstream.api.fleet.FleetChangeView
import org.auburnstream.api.fleet.FleetRoutes
import org.auburnstream.api.fleet.JobView
import org.auburnstream.api.fleet.PoolsView
import org.auburnstream.api.fleet.QuotaView
import org.auburnstream.api.fleet.RefusalView
import org.auburnstream.api.fleet.VmView
import org.auburnstream.api.fleet.WaveView
import org.auburnstream.daemon.operator.OperatorErrors
import org.auburnstream.daemon.operator.OperatorRoutes
import org.auburnstream.daemon.operator.Parsed
import org.auburnstream.daemon.operator.Reply
import org.auburnstream.daemon.operator.parameter
import org.auburnstream.daemon.operator.then
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetResult
import org.auburnstream.model.OperatorId
import org.auburnstream.model.PoolId
import org.auburnstream.model.TeamId
import org.auburnstream.model.VmId
import kotlin.time.Clock

/**
 * Dependencies of the operators' fleet routes.
 *
 * @property propose proposes an operator's command and waits for its result.
 * @property awaitCurrent waits until [host] reflects every accepted change; returns the reason for a failure, or null.
 */
public class FleetOperations(
    public val host: FleetStateHolder,
    public val propose: suspend (OperatorId, FleetCommand.Operator) -> FleetProposal,
    public val awaitCurrent: suspend () -> RejectReason?,
    public val clock: Clock = Clock.System,
)

/** Adds the operators' fleet routes, using the token check and error responses of [operators]. */
public fun Route.fleetRoutes(operators: OperatorRoutes, fleet: FleetOperations) {
    val handlers = FleetHandlers(fleet)
    fun <T> view(path: String, serializer: KSerializer<T>, build: RoutingCall.(FleetViews) -> T) =
        operators.read(this, path) { handlers.view(serializer) { views -> build(views) } }
    view(FleetRoutes.POOLS, PoolsView.serializer()) { it.pools() }
    view(FleetRoutes.VMS, ListSerializer(VmView.serializer())) { it.vms(parameter(FleetRoutes.POOL)?.let(::PoolId)) }
    view(FleetRoutes.WAVES, ListSerializer(WaveView.serializer())) { it.waves() }
    view(FleetRoutes.BUDGETS, ListSerializer(BudgetView.serializer())) { it.budgets() }
    view(FleetRoutes.JOBS, ListSerializer(JobView.serializer())) { it.jobs(parameter(FleetRoutes.TEAM)?.let(::TeamId)) }
    view(FleetRoutes.QUOTAS, ListSerializer(QuotaView.serializer())) { it.quotas() }
    operators.read(this, FleetRoutes.EXPLAIN) { handlers.explain(parameter(FleetRoutes.VM)) }
    operators.write(this, FleetRoutes.CHANGES) { operator, body -> handlers.change(operator, body) }
}

private class FleetHandlers(private val fleet: FleetOperations) {
    suspend fun <T> view(serializer: KSerializer<T>, build: (FleetViews) -> T): Reply {
        fleet.awaitCurrent()?.let { return Reply.Failure(OperatorErrors.unavailable(it)) }
        return Reply.of(serializer, fleet.host.read { build(FleetViews(it, fleet.clock.now())) })
    }

    suspend fun explain(vm: String?): Reply {
        if (vm == null) return Reply.Failure(OperatorErrors.malformed("No VM is named.", "Add '?vm=ID'."))
        fleet.awaitCurrent()?.let { return Reply.Failure(OperatorErrors.unavailable(it)) }
        val view = fleet.host.read { FleetViews(it, fleet.clock.now()).explain(VmId(vm)) }
        if (view != null) return Reply.of(ExplanationView.serializer(), view)
        val detail = "There is no VM '$vm'."
        return Reply.Failure(OperatorErrors.of(ApiErrorType.NOT_FOUND, detail, "See 'auburnctl vms'."))
    }

    suspend fun change(operator: OperatorId, body: String): Reply =
        Parsed.json(FleetChangeRequest.serializer(), body).then { request ->
            if (request.dryRun) preview(request.command) else run(operator, request.command)
        }

    private suspend fun preview(command: FleetCommand.Operator): Reply {
        fleet.awaitCurrent()?.let { return Reply.Failure(OperatorErrors.unavailable(it)) }
        val result = fleet.host.read { it.preview(command, fleet.clock.now()) }
        return Reply.of(FleetChangeView.serializer(), view(result, dryRun = true))
    }

    private suspend fun run(operator: OperatorId, command: FleetCommand.Operator): Reply =
        when (val proposal = fleet.propose(operator, command)) {
            is FleetProposal.Answered -> Reply.of(FleetChangeView.serializer(), view(proposal.result, dryRun = false))
            is FleetProposal.NotRun -> Reply.Failure(OperatorErrors.unavailable(proposal.reason))
            FleetProposal.Unknown -> Reply.Failure(OperatorErrors.outcomeUnknown(command.operation.value))
        }

    private fun view(result: FleetResult, dryRun: Boolean): FleetChangeView = when (result) {
        is FleetResult.Applied -> FleetChangeView(dryRun, result.revision.takeUnless { dryRun })
        is FleetResult.Refused -> FleetChangeView(dryRun, refusal = RefusalView.of(result.reason))
    }
}
