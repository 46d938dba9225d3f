package org.auburnstream.testkit.process

import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs `auburnctl` as a process of its own.
 *
 * @param folder folder for the token and the outputs.
 */
public class OperatorProcess(private val folder: Path) {
    private val tokenFile = Files.writeString(folder.resolve("token"), "${DaemonPlan.TOKEN}\n")

    /** Runs `auburnctl` with [arguments] against the operators' listener at 127.0.0.1:[port]. */
    public suspend fun run(port: Int, vararg arguments: String, timeout: Duration = TIMEOUT): OperatorResult {
        val output = Files.createTempFile(folder, "auburnctl", ".out")
        val flags = listOf("--daemon", "127.0.0.1:$port", "--token-file", tokenFile.toString())
        val child = ChildProcess.start(JavaCommand.of(MAIN_CLASS, arguments.toList() + flags), output)
        return child.use {
            val code = it.awaitExit(timeout) ?: throw ChildProcessException("auburnctl did not end", it.text())
            OperatorResult(code, it.text())
        }
    }

    private companion object {
        const val MAIN_CLASS = "org.auburnstream.cli.MainKt"
        val TIMEOUT = 60.seconds
    }
}

/** What one run of `auburnctl` brought. */
public data class OperatorResult(val exitCode: Int, val output: String)
