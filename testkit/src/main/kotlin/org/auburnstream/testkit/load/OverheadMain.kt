package org.auburnstream.testkit.load

import kotlinx.coroutines.runBlocking
import org.auburnstream.testkit.process.ChildProcess
import org.auburnstream.testkit.process.Deployment
import org.auburnstream.testkit.process.JavaCommand
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/**
 * Measures what a daemon adds to a request: the same load direct to a stand-in target and through a daemon, in one run.
 *
 * Starts a deployment and a target of its own on loopback and prints one row of comma-separated values for each way
 * and number of connections.
 */
public fun main(arguments: Array<String>) {
    val flags = OverheadFlags()
    try {
        CmdLineParser(flags).parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("overhead: ${e.message}")
        exitProcess(status = 2)
    }
    val folder = Files.createTempDirectory("overhead")
    try {
        runBlocking { measure(flags, folder) }
    } finally {
        folder.toFile().deleteRecursively()
    }
    exitProcess(status = 0)
}

private const val SLOTS = 64

private suspend fun measure(flags: OverheadFlags, folder: Path) {
    Deployment.start(folder, flags.daemons, listOf("--log-level", "warn")).use { deployment ->
        startTarget(folder, deployment.targetListeners).use { target ->
            val port = target.await("port of the target", 60.seconds) { portOf(target.text()) }
            deployment.awaitAnswer(0, "/print/x")
            val daemon = deployment[0]
            val direct = LoadTarget("127.0.0.1", port, "/x", flags.bodyBytes)
            val through = LoadTarget("127.0.0.1", daemon.ports.callers, "/print/x", flags.bodyBytes)
            val phases = OverheadPhases(target.pid, daemon, flags.seconds.seconds)
            listOf(direct, through).forEach { LoadPhase(it, WARM_UP_CONNECTIONS, flags.warmUpSeconds.seconds).run() }
            println(OverheadRow.HEADER)
            flags.connections.split(',').map { it.trim().toInt() }.forEach { connections ->
                println(phases.run("direct", direct, connections).toCsv())
                println(phases.run("through", through, connections).toCsv())
            }
        }
    }
}

private const val WARM_UP_CONNECTIONS = 8

private fun startTarget(folder: Path, daemons: List<String>): ChildProcess {
    val arguments = listOf("--daemons", daemons.joinToString(","), "--slots", SLOTS.toString())
    val command = JavaCommand.of("org.auburnstream.testkit.target.TargetMainKt", arguments)
    return ChildProcess.start(command, folder.resolve("target.log"))
}

private fun portOf(text: String): Int? = Regex("port=(\\d+)\n").find(text)?.groupValues?.get(1)?.toInt()
