package org.auburnstream.testkit.soak

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.oracle.OrderStream
import org.auburnstream.testkit.oracle.OrderViolation
import org.auburnstream.testkit.process.Deployment
import org.auburnstream.testkit.target.TargetStandIn
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.nio.file.Files
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends orders through a deployment of processes while daemons are killed, frozen and stopped.
 *
 * Prints each failure, the results by kind and every result that is not true; exits with 1 if there is one.
 */
public fun main(arguments: Array<String>) {
    val flags = SoakFlags()
    try {
        CmdLineParser(flags).parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("soak: ${e.message}")
        exitProcess(status = 2)
    }
    val violations = runBlocking { soak(flags) }
    violations.forEach { println("violation $it") }
    println("violations ${violations.size}")
    exitProcess(if (violations.isEmpty()) 0 else 1)
}

private const val STREAMS_PER_DAEMON = 4

private suspend fun soak(flags: SoakFlags): List<OrderViolation> {
    val folder = Files.createTempDirectory("soak")
    try {
        return Deployment.start(folder, flags.daemons, listOf("--unready-period", "0s")).use { soak(flags, it) }
    } finally {
        folder.toFile().deleteRecursively()
    }
}

private suspend fun soak(flags: SoakFlags, deployment: Deployment): List<OrderViolation> {
    val targets = List(flags.targets) { TargetStandIn(announcement(it), deployment.targetListeners) }
    try {
        targets.forEach { it.start() }
        repeat(flags.daemons) { deployment.awaitAnswer(it, "/print/first") }
        return run(flags, deployment, targets)
    } finally {
        targets.forEach { it.close() }
    }
}

private suspend fun run(flags: SoakFlags, deployment: Deployment, targets: List<TargetStandIn>): List<OrderViolation> =
    coroutineScope {
        val streams = List(flags.daemons * STREAMS_PER_DAEMON) { i ->
            val daemon = i % flags.daemons
            val withKeys = i / flags.daemons % 2 == 0
            OrderStream(deployment.caller, "order-$i", withKeys) { deployment[daemon].ports.callers }
        }
        val jobs = streams.map { it.startIn(this) }
        val chaos = Chaos(deployment, Random(flags.seed), report = ::println)
        val end = TimeSource.Monotonic.markNow() + flags.seconds.seconds
        while (end.hasNotPassedNow()) chaos.failOne()
        streams.forEach { it.stop() }
        jobs.forEach { it.join() }
        streams.flatMap {
            it.results
        }.groupingBy(::kindOf).eachCount().toSortedMap().forEach { println("${it.key} ${it.value}") }
        streams.flatMap { stream -> stream.violations(targets.map { it.executions }) }
    }

private fun kindOf(result: CallerResult): String = when (result) {
    is CallerResult.Answered -> "answered ${result.status}"
    is CallerResult.NotRun -> "not run ${result.type}"
    is CallerResult.Unknown -> "outcome unknown ${result.type}"
    is CallerResult.NotConnected -> "not connected"
    is CallerResult.NoAnswer -> "no answer"
}

private fun announcement(index: Int): Announcement = Announcement(
    vm = VmId("vm-$index"),
    incarnation = 1,
    dataCentre = DataCentreId("dc-${index + 1}"),
    rack = RackId("rack-$index"),
    pool = PoolId("print"),
    address = "127.0.0.1",
    port = 0,
    service = ServiceId("print"),
)
