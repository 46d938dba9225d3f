package org.auburnstream.cli.fleet

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.api.fleet.BudgetView
import org.auburnstream.api.fleet.ExplanationView
import org.auburnstream.api.fleet.FleetRoutes
import org.auburnstream.api.fleet.JobView
import org.auburnstream.api.fleet.PoolsView
import org.auburnstream.api.fleet.QuotaView
import org.auburnstream.api.fleet.VmView
import org.auburnstream.api.fleet.WaveView
import org.auburnstream.api.fleet.describe
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Reads one message of the fleet and prints it as a table. */
internal abstract class FleetRead<T>(private val path: String, private val serializer: KSerializer<T>) : Command() {
    protected open fun parameters(): List<Pair<String, String?>> = emptyList()

    protected abstract fun table(view: T): String

    override suspend fun run(session: Session): CommandResult =
        session.client.get(path, parameters()).print(session, serializer) { table(it) }
}

/** Lists the pools. */
internal class Pools : FleetRead<PoolsView>(FleetRoutes.POOLS, PoolsView.serializer()) {
    override fun table(view: PoolsView): String {
        val table = Table("POOL", "SERVICES", "VMS", "AVAILABLE", "TARGET", "OWN BUFFER", "MAINTAINED BY", "HOLD")
        view.pools.forEach {
            val obstacle = it.forecast?.obstacle?.describe()
            val services = if (it.spare) "(spare)" else it.services.joinToString(",")
            val end = it.forecast?.projectedEnd?.toString() ?: "no end in sight"
            val hold = it.hold?.detail ?: obstacle.orEmpty()
            table.row(it.id, services, it.vms, it.available, it.target, it.ownBuffer, end, hold)
        }
        return "$table\nshared buffer needed: ${view.sharedBuffer} VMs"
    }
}

/** Lists the VMs. */
internal class Vms : FleetRead<List<VmView>>(FleetRoutes.VMS, ListSerializer(VmView.serializer())) {
    @Option(name = "--pool", metaVar = "POOL", usage = "Only VMs of this pool.")
    var pool: String? = null

    override fun parameters(): List<Pair<String, String?>> = listOf(FleetRoutes.POOL to pool)

    override fun table(view: List<VmView>): String {
        val table = Table("VM", "POOL", "STATE", "DATA CENTRE", "RACK", "MAINTAINED", "TRUST")
        view.forEach {
            val trust = it.trust.name.lowercase()
            table.row(it.id, it.pool, it.state, it.dataCentre, it.rack, it.maintainedAt, trust)
        }
        return table.toString()
    }
}

/** Lists the maintenance waves. */
internal class Waves : FleetRead<List<WaveView>>(FleetRoutes.WAVES, ListSerializer(WaveView.serializer())) {
    override fun table(view: List<WaveView>): String {
        val table = Table("WAVE", "STATUS", "STARTED", "DONE", "PENDING", "IN PROGRESS", "WAITS FOR")
        view.forEach {
            val inProgress = it.inProgress.joinToString(",")
            val status = it.status.name.lowercase()
            val waits = it.waitsFor?.detail.orEmpty()
            table.row(it.spec.id, status, it.startedAt, it.done, it.pending.size, inProgress, waits)
        }
        return table.toString()
    }
}

/** Shows the availability budgets. */
internal class Budgets : FleetRead<List<BudgetView>>(FleetRoutes.BUDGETS, ListSerializer(BudgetView.serializer())) {
    override fun table(view: List<BudgetView>): String {
        val table = Table("SERVICE", "TARGET", "AVAILABLE", "MISSING", "ALLOWANCE", "PLANNED", "UNPLANNED", "LEFT")
        view.forEach {
            val allowance = "${it.budget.allowance} in ${it.budget.window}"
            val spent = it.spent
            table.row(
                it.service,
                it.target,
                it.available,
                it.shortfall,
                allowance,
                spent.planned,
                spent.unplanned,
                it.left,
            )
        }
        return table.toString()
    }
}

/** Lists the jobs. */
internal class Jobs : FleetRead<List<JobView>>(FleetRoutes.JOBS, ListSerializer(JobView.serializer())) {
    @Option(name = "--team", metaVar = "TEAM", usage = "Only jobs of this team.")
    var team: String? = null

    override fun parameters(): List<Pair<String, String?>> = listOf(FleetRoutes.TEAM to team)

    override fun table(view: List<JobView>): String {
        val table = Table("JOB", "TEAM", "URGENCY", "STATE", "WORKER", "MEASURE", "FAILED ON")
        view.forEach {
            val state = it.result?.name?.lowercase() ?: it.state
            val measure = it.measure?.name?.lowercase()
            table.row(
                it.id,
                it.team,
                it.urgency.name.lowercase(),
                state,
                it.worker,
                measure,
                it.failedOn.joinToString(","),
            )
        }
        return table.toString()
    }
}

/** Lists the quotas. */
internal class Quotas : FleetRead<List<QuotaView>>(FleetRoutes.QUOTAS, ListSerializer(QuotaView.serializer())) {
    override fun table(view: List<QuotaView>): String {
        val table = Table("TEAM", "MILLICORES", "MEMORY MIB", "ACCELERATORS")
        view.forEach {
            val limit = it.quota.limit
            table.row(
                it.quota.team,
                "${it.used.millicores}/${limit.millicores}",
                "${it.used.memoryMegabytes}/${limit.memoryMegabytes}",
                "${it.used.accelerators}/${limit.accelerators}",
            )
        }
        return table.toString()
    }
}

/** Explains why a VM is where it is. */
internal class ExplainMove : FleetRead<ExplanationView>(FleetRoutes.EXPLAIN, ExplanationView.serializer()) {
    @Argument(metaVar = "VM", required = true, usage = "Id of the VM.")
    var vm: String = ""

    override fun parameters(): List<Pair<String, String?>> = listOf(FleetRoutes.VM to vm)

    override fun table(view: ExplanationView): String = "${view.vm} is in pool ${view.pool}. ${view.detail}"
}
