package org.auburnstream.bench.capacity

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.auburnstream.bench.Table
import org.auburnstream.testkit.process.DaemonProcess
import org.auburnstream.testkit.process.Deployment
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createTempDirectory
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Measures what daemons cost at rest as processes, over the number of VMs and over the number of daemons. */
public object RestSlopes {
    private const val DAEMONS = 6
    private const val MEBIBYTE = 1_048_576.0
    private const val FIRST_VMS = 0
    private val VmCounts = listOf(FIRST_VMS, 50, 100, 200)
    private val DaemonCounts = listOf(3, 5, 7)
    private val Settle = 10.seconds
    private val Measured = 15.seconds
    private val RegistrationTimeout = 120.seconds
    private val Columns =
        listOf("role", "processor %", "messages/s", "bytes/s", "live heap MiB", "resident MiB")

    /** Runs every point; each takes about 30 s. */
    public fun run(): List<Table> {
        val byVms = VmCounts.associateWith { measure(DAEMONS, it) }
        val byDaemons = DaemonCounts.associateWith { measure(it, FIRST_VMS) }
        return listOf(
            Table("rest-by-vms", listOf("VMs") + Columns, byVms.rows()),
            Table("rest-by-daemons", listOf("daemons") + Columns, byDaemons.rows()),
        ) + Role.entries.map { role ->
            Table(
                name = "rest-by-vms-${role.label}",
                columns = listOf("VMs") + Columns,
                rows = byVms.mapValues { (_, rows) -> rows.filter { it.role == role } }.rows(),
            )
        }
    }

    private fun Map<Int, List<RestRow>>.rows(): List<List<Any>> =
        flatMap { (size, rows) -> rows.map { listOf<Any>(size) + it.cells() } }

    @OptIn(ExperimentalPathApi::class)
    private fun measure(daemons: Int, vms: Int): List<RestRow> {
        val folder = createTempDirectory("auburnstream-rest")
        try {
            return runBlocking {
                Deployment.start(folder, daemons, voterCount = votersOf(daemons)).use { measure(it, daemons, vms) }
            }
        } finally {
            folder.deleteRecursively()
        }
    }

    /** An odd number, so that one daemon more would not raise the quorum for nothing. */
    private fun votersOf(daemons: Int): Int = if (daemons % 2 == 0) daemons - 1 else daemons

    private suspend fun measure(deployment: Deployment, daemons: Int, vms: Int): List<RestRow> = coroutineScope {
        val announcers = AnnouncingVms(vms, deployment.targetListeners)
        val announcing = launch { announcers.run() }
        val all = List(daemons) { deployment[it] }
        if (vms > 0) awaitRegistered(deployment, vms)
        delay(Settle)
        val begin = TimeSource.Monotonic.markNow()
        val before = all.map { DaemonSample.of(it) }
        delay(Measured)
        val after = all.map { DaemonSample.of(it) }
        val elapsed = begin.elapsedNow()
        val rates = all.indices.map { after[it].since(before[it], elapsed) }
        val rows =
            all.mapIndexed { i, daemon ->
                RestRow(
                    role = roleOf(daemon, isVoter = i < votersOf(daemons)),
                    rates = rates[i],
                    liveHeapMebibytes = liveHeapBytes(daemon) / MEBIBYTE,
                    residentMebibytes = after[i].usage.residentBytes / MEBIBYTE,
                )
            }
        announcing.cancel()
        announcers.close()
        averageByRole(rows)
    }

    private suspend fun awaitRegistered(deployment: Deployment, vms: Int) {
        expectDone(deployment, "service", "define", AnnouncingVms.SERVICE, "--target", vms.toString())
        expectDone(deployment, "pool", "define", AnnouncingVms.POOL, "--service", AnnouncingVms.SERVICE)
        withTimeout(RegistrationTimeout) {
            while ((deployment[0].metric("auburnstream_targets") ?: 0.0) < vms) delay(1.seconds)
        }
    }

    private suspend fun expectDone(deployment: Deployment, vararg arguments: String) {
        val result = deployment.control(0, *arguments)
        check(result.exitCode == 0) { "auburnctl ${arguments.toList()} ended with $result" }
    }

    private suspend fun roleOf(daemon: DaemonProcess, isVoter: Boolean): Role = when {
        daemon.leads() -> Role.LEADER
        isVoter -> Role.VOTER
        else -> Role.LEARNER
    }

    private fun averageByRole(rows: List<RestRow>): List<RestRow> =
        rows.groupBy { it.role }.toSortedMap().map { (role, same) ->
            RestRow(
                role = role,
                rates =
                DaemonRates(
                    processorPercent = same.map { it.rates.processorPercent }.average(),
                    messagesPerSecond = same.map { it.rates.messagesPerSecond }.average(),
                    bytesPerSecond = same.map { it.rates.bytesPerSecond }.average(),
                ),
                liveHeapMebibytes = same.map { it.liveHeapMebibytes }.average(),
                residentMebibytes = same.map { it.residentMebibytes }.average(),
            )
        }
}

/** Part of a daemon in the control group. */
internal enum class Role(val label: String) {
    /** Leads the control group. */
    LEADER("leader"),

    /** Votes. */
    VOTER("voter"),

    /** Follows without a vote. */
    LEARNER("learner"),
}

/** Cost of the daemons of one role at one size. */
internal data class RestRow(
    val role: Role,
    val rates: DaemonRates,
    val liveHeapMebibytes: Double,
    val residentMebibytes: Double,
) {
    fun cells(): List<Any> = listOf(
        role.label,
        rates.processorPercent,
        rates.messagesPerSecond,
        rates.bytesPerSecond,
        liveHeapMebibytes,
        residentMebibytes,
    )
}
