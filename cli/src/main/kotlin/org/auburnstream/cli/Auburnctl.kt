package org.auburnstream.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import kotlin.random.Random
import kotlin.time.Clock

/**
 * The operators' command line, apart from the process around it.
 *
 * @param environment returns the value of an environment variable, or null.
 * @param files returns the text of a file, or null if it cannot be read.
 * @param http makes the client for an attempt's longest time in milliseconds.
 */
public class Auburnctl(
    private val out: (String) -> Unit,
    private val err: (String) -> Unit,
    private val environment: (String) -> String? = { null },
    private val files: (path: String) -> String? = { null },
    private val clock: Clock = Clock.System,
    private val random: Random = Random.Default,
    private val commands: List<CommandSpec> = Commands,
    private val http: (timeoutMillis: Long) -> HttpClient = ::defaultClient,
) {
    /** Runs the command line [arguments] and returns the exit code. */
    public suspend fun run(arguments: List<String>): ExitCode {
        val words = arguments.takeWhile { !it.startsWith("-") }
        val spec = commands.filter { it.matches(words) }.maxByOrNull { it.words.length }
        if (spec == null) return withoutCommand(arguments, words)
        val command = spec.create()
        val parser = CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false))
        val rest = arguments.drop(spec.words.split(' ').size)
        if (rest.any { it == "--help" || it == "-h" }) {
            out(HelpText.command(spec, parser))
            return ExitCode.OK
        }
        try {
            parser.parseArgument(rest)
        } catch (e: CmdLineException) {
            val remedy = "See 'auburnctl ${spec.words} --help'."
            return fail(CliProblem.Usage(e.message.orEmpty().trimEnd('.'), remedy))
        }
        return execute(command)
    }

    private fun withoutCommand(arguments: List<String>, words: List<String>): ExitCode {
        val group = commands.filter { words.isNotEmpty() && "${it.words} ".startsWith("${words.joinToString(" ")} ") }
        val asked = arguments.isEmpty() || arguments.any { it == "--help" || it == "-h" } || words == listOf("help")
        return when {
            group.isNotEmpty() -> {
                out(HelpText.overview(group))
                if (asked) ExitCode.OK else ExitCode.USAGE
            }
            asked -> {
                out(HelpText.overview(commands))
                ExitCode.OK
            }
            else -> fail(CliProblem.Usage("Unknown command '${words.joinToString(" ")}'", "See 'auburnctl --help'."))
        }
    }

    private suspend fun execute(command: Command): ExitCode {
        val addresses = (command.daemons ?: environment(DAEMON_VARIABLE) ?: DEFAULT_DAEMON).split(',').map { it.trim() }
        val wrong = addresses.firstOrNull { !isAddress(it) }
        if (wrong != null) return fail(CliProblem.Usage("--daemon '$wrong' is no address", "Write host:port."))
        if (command.timeoutSeconds !in TIMEOUT_SECONDS) {
            val detail = "--timeout '${command.timeoutSeconds}' is out of range"
            return fail(CliProblem.Usage(detail, "Give ${TIMEOUT_SECONDS.first} to ${TIMEOUT_SECONDS.last} seconds."))
        }
        val token = token(command) ?: return fail(missingToken(command))
        return http(command.timeoutSeconds * MILLIS_PER_SECOND).use { client ->
            val session = Session(DaemonClient(client, addresses, token), command.output, clock, random, files)
            finish(command.run(session))
        }
    }

    private fun token(command: Command): String? {
        if (!command.needsDaemon) return ""
        val text = command.tokenFile?.let(files) ?: environment(TOKEN_VARIABLE).takeIf { command.tokenFile == null }
        return text?.trim()?.takeIf { it.isNotEmpty() && it.all { c -> c in '!'..'~' } }
    }

    private fun missingToken(command: Command): CliProblem = when (val file = command.tokenFile) {
        null -> CliProblem.Usage("No token is given", "Set $TOKEN_VARIABLE or give --token-file.")
        else -> CliProblem.Usage("--token-file '$file' holds no token or cannot be read", "Give a readable file.")
    }

    private fun finish(result: CommandResult): ExitCode = when (result) {
        is CommandResult.Success -> {
            out(result.text)
            result.exit
        }
        is CommandResult.Failure -> fail(result.problem)
    }

    private fun fail(problem: CliProblem): ExitCode {
        val detail = problem.detail.trimEnd('.')
        err("auburnctl: $detail. ${problem.remedy}".replace('\n', ' '))
        return problem.exit
    }

    private fun CommandSpec.matches(given: List<String>): Boolean {
        val own = words.split(' ')
        return given.size >= own.size && given.take(own.size) == own
    }

    private fun isAddress(text: String): Boolean {
        val authority = text.substringAfter("://").trimEnd('/')
        val port = authority.substringAfterLast(':', "").toIntOrNull()
        return authority.substringBeforeLast(':').isNotEmpty() && port != null && port in PORTS
    }

    private companion object {
        const val DAEMON_VARIABLE = "AUBURNCTL_DAEMON"
        const val TOKEN_VARIABLE = "AUBURNCTL_TOKEN"
        const val DEFAULT_DAEMON = "127.0.0.1:7402"
        const val MILLIS_PER_SECOND = 1_000L
        val PORTS = 1..65_535
        val TIMEOUT_SECONDS = 1..600
    }
}

private fun defaultClient(timeoutMillis: Long): HttpClient =
    HttpClient(CIO) { DaemonClient.configure(this, timeoutMillis) }
