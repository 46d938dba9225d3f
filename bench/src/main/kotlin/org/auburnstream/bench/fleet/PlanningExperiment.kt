package org.auburnstream.bench.fleet

import org.auburnstream.fleet.AvailabilityBudget
import org.auburnstream.fleet.DrainReport
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetPlanner
import org.auburnstream.fleet.FleetReports
import org.auburnstream.fleet.FleetState
import org.auburnstream.fleet.JobCommand
import org.auburnstream.fleet.JobPhase
import org.auburnstream.fleet.JobReport
import org.auburnstream.fleet.JobSpec
import org.auburnstream.fleet.MaintenanceWindow
import org.auburnstream.fleet.Pool
import org.auburnstream.fleet.ServiceSpec
import org.auburnstream.fleet.TeamQuota
import org.auburnstream.fleet.UsageEstimator
import org.auburnstream.fleet.WavePace
import org.auburnstream.fleet.WaveSpec
import org.auburnstream.fleet.WorkerReport
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Cost of one size of fleet.
 *
 * @property medianPlanMillis median time of one whole plan: registrations, losses, drains, waves, moves and jobs.
 * @property liveHeapKib heap that the replicated state and the leader's reports hold, after a collection.
 * @property snapshotBytes encoded size of the state.
 * @property applyMicros mean time to apply one command.
 */
public data class PlanningRow(
    val workers: Int,
    val pools: Int,
    val jobs: Int,
    val medianPlanMillis: Double,
    val p99PlanMillis: Double,
    val maxPlanMillis: Double,
    val liveHeapKib: Long,
    val snapshotBytes: Int,
    val applyMicros: Double,
)

/** Measures planning time and live heap at today's and the target size, with a wave running and jobs waiting. */
public object PlanningExperiment {
    /** Measures each size. */
    public fun run(): List<PlanningRow> = Sizes.map { (workers, pools) -> PlanningRun(workers, pools).measure() }

    private val Sizes = listOf(40 to 5, 400 to 100, 1_100 to 378)
}

private class PlanningRun(private val workers: Int, private val pools: Int) {
    private val usage = UsageEstimator()
    private val state = FleetState()
    private val reports = FleetReports(MonotonicTime.Zero)
    private val planner = FleetPlanner(usage = usage) { MonotonicTime.Zero }
    private var elapsed = 0.seconds
    private var commands = 0
    private var applyNanos = 0L
    private val at get() = Instant.fromEpochSeconds(1_900_000_000) + elapsed
    private val now get() = MonotonicTime.Zero + elapsed

    fun measure(): PlanningRow {
        val before = usedHeap()
        build()
        val nanos = (0 until WARM_UP + PLANS).map { turn(it) }.drop(WARM_UP).sorted()
        val held = usedHeap() - before
        return PlanningRow(
            workers = workers,
            pools = pools,
            jobs = state.jobs.size,
            medianPlanMillis = nanos[nanos.size / 2] / NANOS_PER_MILLI,
            p99PlanMillis = nanos[nanos.size * 99 / 100] / NANOS_PER_MILLI,
            maxPlanMillis = nanos.last() / NANOS_PER_MILLI,
            liveHeapKib = held / BYTES_PER_KIB,
            snapshotBytes = state.snapshot().size,
            applyMicros = applyNanos / NANOS_PER_MICRO / commands,
        )
    }

    private fun build() {
        apply(FleetCommand.RegisterDaemon(Daemon))
        val poolIds = (0 until pools).map { PoolId("pool$it") }
        poolIds.forEachIndexed { number, pool ->
            val service = ServiceId("service$number")
            val target = (workers / pools - 1).coerceAtLeast(1)
            val spec = ServiceSpec(service, target, AvailabilityBudget(maxShortfall = 1))
            apply(FleetCommand.DefineService(operation(), spec))
            apply(FleetCommand.DefinePool(operation(), Pool(pool, listOf(service))))
        }
        apply(FleetCommand.DefinePool(operation(), Pool(PoolId("spare"), spare = true)))
        repeat(workers) { apply(FleetCommand.RegisterVm(announcement(it))) }
        for (pool in poolIds) {
            val always = MaintenanceWindow(pool, null, at - 1.days, WindowLength, WindowLength)
            apply(FleetCommand.DeclareWindows(operation(), pool, listOf(always)))
        }
        buildJobs()
        val wave = WaveSpec(WaveId("wave"), poolIds, pace = WavePace(maxInProgress = 4))
        apply(FleetCommand.StartWave(operation(), wave))
    }

    private fun buildJobs() {
        val quota = Resources(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, Int.MAX_VALUE / 2)
        repeat(TEAMS) { apply(JobCommand.SetQuota(operation(), TeamQuota(TeamId("team$it"), quota))) }
        repeat(workers * JOBS_PER_WORKER) { number ->
            val urgency = Urgency.entries[number % Urgency.entries.size]
            val team = TeamId("team${number % TEAMS}")
            val size = Resources(millicores = 4_000, memoryMegabytes = 8_000)
            val spec = JobSpec(JobId("job$number"), team, PoolId("pool${number % pools}"), size, urgency)
            apply(JobCommand.SubmitJob(operation(), spec))
        }
    }

    /** One turn of the leader with every VM heard and a tenth of the workers reporting; returns the time to plan. */
    private fun turn(number: Int): Long {
        elapsed += 200.milliseconds
        repeat(workers) { reports.onHeartbeat(VmId("vm$it"), 1, now) }
        if (number == 0) repeat(workers) { reports.onAnnouncement(announcement(it), now) }
        for (worker in number % REPORT_TURNS until workers step REPORT_TURNS) report(VmId("vm$worker"), number)
        reports.onDrainReport(DrainReport(Daemon, number.toLong(), state.revision, emptySet()))
        val begin = System.nanoTime()
        val plan = planner.plan(state, reports, at, now)
        val nanos = System.nanoTime() - begin
        plan.commands.forEach(::apply)
        return nanos
    }

    private fun report(vm: VmId, sequence: Int) {
        val jobs = state.jobsOn(vm)
        val lines = jobs.mapNotNull { job ->
            (job.phase as? JobPhase.Running)?.let { JobReport(job.spec.id, it.lease, job.spec.declared) }
        }
        val used = jobs.fold(Resources.None) { sum, job -> sum + job.spec.declared }
        usage.onReport(WorkerReport(vm, sequence + 1L, 2.seconds, used, lines), state, now)
    }

    private fun apply(command: FleetCommand) {
        val begin = System.nanoTime()
        state.apply(command, at)
        applyNanos += System.nanoTime() - begin
        commands++
    }

    private fun announcement(number: Int) = Announcement(
        vm = VmId("vm$number"),
        incarnation = 1,
        dataCentre = DataCentreId("dc${number % DATA_CENTRES}"),
        rack = RackId("rack${number / DATA_CENTRES / RACK_SIZE}"),
        pool = PoolId("pool${number % pools}"),
        address = "10.0.${number / OCTET}.${number % OCTET}",
        port = 80,
        processors = 16,
        memoryMegabytes = 32_768,
    )

    private fun operation() = OperationId("operation$commands")

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private companion object {
        val Daemon = DaemonId("daemon")
        val WindowLength = 7.days
        const val WARM_UP = 200
        const val PLANS = 300
        const val TEAMS = 160
        const val JOBS_PER_WORKER = 4
        const val REPORT_TURNS = 10
        const val DATA_CENTRES = 7
        const val RACK_SIZE = 4
        const val OCTET = 250
        const val COLLECTIONS = 3
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_MICRO = 1e3
        const val BYTES_PER_KIB = 1_024
    }
}
