package org.auburnstream.testkit.caller

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Sends one request, prints what came of it and exits with 0 if that was expected. */
public fun main(arguments: Array<String>) {
    val flags = CallerFlags()
    try {
        CmdLineParser(flags).parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("caller stand-in: ${e.message}")
        exitProcess(status = 2)
    }
    val result = runBlocking { CallerStandIn().use { it.send(flags.port, flags.toRequest()) } }
    if (!flags.quiet) println(describe(result))
    exitProcess(if (kindOf(result) == flags.expect) 0 else 1)
}

private const val STATUS_OK = 200

private fun kindOf(result: CallerResult): String = when (result) {
    is CallerResult.Answered -> if (result.status == STATUS_OK) "answered" else "status-${result.status}"
    is CallerResult.NotRun, is CallerResult.NotConnected -> "not-run"
    is CallerResult.Unknown, is CallerResult.NoAnswer -> "unknown"
}

private fun describe(result: CallerResult): String = when (result) {
    is CallerResult.Answered -> "${result.status} from ${result.vm}:\n${result.body}"
    is CallerResult.NotRun -> "${result.status} not run: ${result.type}"
    is CallerResult.Unknown -> "${result.status} outcome unknown: ${result.type}"
    is CallerResult.NotConnected -> "not connected: ${result.cause}"
    is CallerResult.NoAnswer -> "no answer: ${result.cause}"
}
