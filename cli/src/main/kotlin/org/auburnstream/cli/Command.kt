package org.auburnstream.cli

import org.auburnstream.control.OperationIds
import org.kohsuke.args4j.Option
import kotlin.random.Random
import kotlin.time.Clock

/** A subcommand: its fields carry the options and arguments of its command line. */
public abstract class Command {
    @Option(
        name = "--daemon",
        metaVar = "HOST:PORT[,...]",
        usage = "Operators' addresses of the daemons, tried in turn. Environment: AUBURNCTL_DAEMON.",
    )
    internal var daemons: String? = null

    @Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "File with the operator's token. Without it, the token is taken from AUBURNCTL_TOKEN.",
    )
    internal var tokenFile: String? = null

    @Option(name = "--output", metaVar = "FORMAT", usage = "Output format: table or json.")
    internal var output: OutputFormat = OutputFormat.TABLE

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "Longest time for one attempt.")
    internal var timeoutSeconds: Int = DEFAULT_TIMEOUT_SECONDS

    @Option(name = "--help", aliases = ["-h"], usage = "Print this help and exit.")
    internal var help: Boolean = false

    /** Whether the command talks to a daemon, and so needs a token. */
    public open val needsDaemon: Boolean get() = true

    /** Runs the command. */
    public abstract suspend fun run(session: Session): CommandResult

    private companion object {
        const val DEFAULT_TIMEOUT_SECONDS = 20
    }
}

/** A [Command] that changes something, and so carries an operation id. */
public abstract class ChangingCommand : Command() {
    @Option(
        name = "--operation",
        metaVar = "ID",
        usage = "Operation id of an earlier run whose answer was lost. Without it, a new one is made.",
    )
    internal var operation: String? = null

    @Option(name = "--reason", metaVar = "TEXT", usage = "Note for the history.")
    internal var reason: String = ""

    /** The operation id given on the command line, or a new one. */
    protected fun operationId(session: Session): String = operation ?: session.newOperation()
}

/** Output format of a command. */
public enum class OutputFormat {
    /** Columns for readers. */
    TABLE,

    /** The daemon's message, for programs. */
    JSON,
}

/** What a running command works with. */
public class Session(
    public val client: DaemonClient,
    public val output: OutputFormat,
    private val clock: Clock,
    private val random: Random,
    private val files: (path: String) -> String?,
) {
    /** Returns a new operation id. */
    public fun newOperation(): String = OperationIds.create(clock.now(), random).value

    /** Returns a new id for a job of a queue. */
    public fun newJobId(): String = random.nextBytes(JOB_ID_BYTES).toHexString()

    /** Returns the text of a file, or null if it cannot be read. */
    public fun readFile(path: String): String? = files(path)

    private companion object {
        const val JOB_ID_BYTES = 8
    }
}
