package org.auburnstream.testkit.golden

import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.process.OperatorResult

/** Steps of a session and what came of each, with times, ports and ids normalized. */
internal class Transcript {
    private val text = StringBuilder()

    fun step(what: String, result: String = "done") {
        text.append("> ").append(what).append('\n')
        normalize(result.trimEnd()).lines().forEach { text.append("  ").append(it.trimEnd()).append('\n') }
    }

    fun request(daemon: String, request: CallerRequest, result: CallerResult) {
        val key = request.key?.let { " key=$it" }.orEmpty()
        val behaviour = request.behaviour?.let { " target=${it.name.lowercase()}" }.orEmpty()
        step("$daemon: ${request.method} ${request.path}$key$behaviour", describe(result))
    }

    fun operator(daemon: String, command: String, result: OperatorResult) {
        step("$daemon: auburnctl $command", "exit code ${result.exitCode}\n${result.output}")
    }

    private fun retryAfter(result: CallerResult.NotRun): String =
        if (result.retryAfterSeconds == null) "" else ", with Retry-After"

    override fun toString(): String = text.toString()

    private fun describe(result: CallerResult): String = when (result) {
        is CallerResult.Answered -> "answered ${result.status} by ${result.vm}\n${result.body}"
        is CallerResult.NotRun -> "not run: ${result.status} ${result.type}${retryAfter(result)}"
        is CallerResult.Unknown -> "outcome unknown: ${result.status} ${result.type}"
        is CallerResult.NotConnected -> "not connected"
        is CallerResult.NoAnswer -> "no answer"
    }
}

private val normalizations = listOf(
    Regex("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z") to "TIME",
    Regex("127\\.0\\.0\\.1:\\d+") to "127.0.0.1:PORT",
    Regex("operation [0-9A-Za-z_-]+") to "operation ID",
    // Which daemons acknowledge last, and whether any is late enough to be named, depends on the machine.
    Regex(" Held back by .*") to "",
    Regex("-?\\d+ ms") to "N ms",
    Regex(" {2,}") to "  ",
)

private fun normalize(text: String): String =
    normalizations.fold(text) { result, (pattern, replacement) -> pattern.replace(result, replacement) }
