package org.auburnstream.testkit.process

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A process that a test started, with its output in a file.
 *
 * @property output file with the standard output and error of the process.
 */
public class ChildProcess private constructor(public val process: Process, public val output: Path) : AutoCloseable {
    /** Id of the process. */
    public val pid: Long
        get() = process.pid()

    /** Everything that the process has written so far. */
    public fun text(): String = Files.readString(output)

    /** Sends [signal] to the process. */
    public fun signal(signal: ProcessSignal) {
        val sent = ProcessBuilder("kill", "-${signal.name}", pid.toString()).inheritIO().start().waitFor()
        check(sent == 0 || !process.isAlive) { "kill -${signal.name} $pid ended with code $sent" }
    }

    /** Waits for the end of the process and returns its exit code, or null if it did not end within [timeout]. */
    public suspend fun awaitExit(timeout: Duration): Int? = withTimeoutOrNull(timeout) {
        process.onExit().await().exitValue()
    }

    /**
     * Polls [read] until it returns a value.
     *
     * @throws ChildProcessException if the process ended or [timeout] passed.
     */
    public suspend fun <T : Any> await(what: String, timeout: Duration, read: suspend () -> T?): T =
        withTimeoutOrNull(timeout) {
            var value = read()
            while (value == null) {
                if (!process.isAlive) throw ChildProcessException("process ended before $what", text())
                delay(POLL_INTERVAL)
                value = read()
            }
            value
        } ?: throw ChildProcessException("$what did not happen within $timeout", text())

    /** Kills the process if it still runs. */
    override fun close() {
        process.destroyForcibly().waitFor()
    }

    public companion object {
        private val POLL_INTERVAL = 10.milliseconds

        /** Starts [command] with its output in [output] and [variables] added to the environment. */
        public fun start(
            command: List<String>,
            output: Path,
            variables: Map<String, String> = emptyMap(),
        ): ChildProcess {
            val builder = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
            builder.environment().putAll(variables)
            return ChildProcess(builder.start(), output)
        }
    }
}

/** Signals that tests send. */
public enum class ProcessSignal {
    /** Ends the process without a chance to react. */
    KILL,

    /** Asks the process to stop. */
    TERM,

    /** Lets a frozen process run on. */
    CONT,

    /** Freezes the process. */
    STOP,
}

/** A child process did not do what the test waits for; the message ends with the last lines of its output. */
public class ChildProcessException(problem: String, output: String) :
    Exception("$problem; last output:\n" + output.lines().takeLast(OUTPUT_LINES).joinToString("\n"))

private const val OUTPUT_LINES = 30
