package org.auburnstream.cli.schedule

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.api.schedule.AmountView
import org.auburnstream.api.schedule.QueueView
import org.auburnstream.api.schedule.ScheduleRoutes
import org.auburnstream.api.schedule.ScheduledJobView
import org.auburnstream.api.schedule.TenantView
import org.auburnstream.api.schedule.UpkeepView
import org.auburnstream.api.schedule.WorkerView
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Reads one message of the scheduler and prints it as a table. */
internal abstract class ScheduleRead<T>(private val serializer: KSerializer<T>) : Command() {
    protected abstract val path: String

    protected open fun parameters(): List<Pair<String, String?>> = emptyList()

    protected abstract fun table(view: T): String

    override suspend fun run(session: Session): CommandResult =
        session.client.get(path, parameters()).print(session, serializer) { table(it) }
}

/** Lists the jobs. */
internal class ScheduledJobs : ScheduleRead<List<ScheduledJobView>>(ListSerializer(ScheduledJobView.serializer())) {
    @Option(name = "--queue", metaVar = "QUEUE", usage = "Only jobs of this queue.")
    var queue: String? = null

    override val path = ScheduleRoutes.JOBS

    override fun parameters(): List<Pair<String, String?>> = listOf(ScheduleRoutes.QUEUE to queue)

    override fun table(view: List<ScheduledJobView>): String = jobTable(view).toString()
}

/** Shows one job with its runs. */
internal class ScheduledJob : ScheduleRead<ScheduledJobView>(ScheduledJobView.serializer()) {
    @Argument(metaVar = "JOB", required = true, usage = "Id of the job.")
    var job: String = ""

    override val path get() = "${ScheduleRoutes.JOBS}/$job"

    override fun table(view: ScheduledJobView): String {
        val runs = Table("RUN", "WORKER")
        view.runs.forEach { runs.row(it.run, it.worker) }
        val crashes = Table("CRASHED UNDER", "SUSPICION")
        view.crashes.forEach { crashes.row(it.run, it.suspicion) }
        return listOfNotNull(
            jobTable(listOf(view)),
            runs.takeIf { view.runs.isNotEmpty() },
            crashes.takeIf { view.crashes.isNotEmpty() },
        ).joinToString("\n\n")
    }
}

private fun jobTable(jobs: List<ScheduledJobView>): Table {
    val table = Table("JOB", "QUEUE", "TENANT", "PHASE", "AGE MS", "TASKS", "DONE", "RUNS")
    jobs.forEach {
        table.row(it.id, it.queue, it.tenant, it.phase, it.ageMillis, it.tasks, it.tasksDone, it.runs.size)
    }
    return table
}

/** Lists the queues. */
internal class Queues : ScheduleRead<List<QueueView>>(ListSerializer(QueueView.serializer())) {
    override val path = ScheduleRoutes.QUEUES

    override fun table(view: List<QueueView>): String {
        val table = Table("QUEUE", "SERVICE", "PRIORITY", "ATTEMPTS", "WAITING", "ACTIVE")
        view.forEach { table.row(it.name, it.service, it.priority, it.attempts, it.waiting, it.active) }
        return table.toString()
    }
}

/** Lists the tenants; an amount is given as millicores, MiB and accelerators. */
internal class Tenants : ScheduleRead<List<TenantView>>(ListSerializer(TenantView.serializer())) {
    override val path = ScheduleRoutes.TENANTS

    override fun table(view: List<TenantView>): String {
        val table = Table("TENANT", "WEIGHT", "CAP", "RUNNING", "RUNS", "WAITING", "ACTIVE", "EXCESS")
        view.forEach {
            table.row(it.name, it.weight, it.cap?.text, it.running.text, it.runs, it.waiting, it.active, it.excess)
        }
        return table.toString()
    }

    private val AmountView.text get() = "$millicores/$memoryMegabytes/$accelerators"
}

/** Lists the workers. */
internal class Workers : ScheduleRead<List<WorkerView>>(ListSerializer(WorkerView.serializer())) {
    override val path = ScheduleRoutes.WORKERS

    override fun table(view: List<WorkerView>): String {
        val table = Table("WORKER", "SERVICE", "VM", "DATA CENTRE", "USED", "CAPACITY", "RUNS", "STATE")
        view.forEach {
            val state = if (it.leaving) "leaving" else "in service"
            table.row(it.worker, it.service, it.vm, it.dataCentre, it.millicoresUsed, it.millicores, it.runs, state)
        }
        return table.toString()
    }
}

/** Lists the maintenance waves of the workers. */
internal class UpkeepWaves : ScheduleRead<List<UpkeepView>>(ListSerializer(UpkeepView.serializer())) {
    override val path = ScheduleRoutes.WAVES

    override fun table(view: List<UpkeepView>): String {
        val table = Table("WAVE", "VMS", "BEGUN", "ENDED", "UNKNOWN", "REFUSED", "CAP", "DUE IN MS", "COMPLETE")
        view.forEach {
            table.row(it.wave, it.vms, it.begun, it.ended, it.unknown, it.refused, it.cap, it.dueInMillis, it.complete)
        }
        return table.toString()
    }
}
