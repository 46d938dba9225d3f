package org.auburnstream.testkit.process

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import org.auburnstream.daemon.config.ListenerPorts
import org.auburnstream.model.DaemonId
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One `auburnstreamd` that a test started as a process of its own.
 *
 * @property ports the bound ports, from the daemon's ports file.
 */
public class DaemonProcess private constructor(
    public val id: DaemonId,
    public val child: ChildProcess,
    public val ports: ListenerPorts,
) : AutoCloseable {
    /** Waits until the daemon is ready for callers. */
    public suspend fun awaitReady(timeout: Duration = START_TIMEOUT) {
        child.await("readiness of $id", timeout) { Unit.takeIf { probe() == HealthProbe(OK, "ready") } }
    }

    /** Waits until the daemon answers its health check that it is not ready, and returns the reason. */
    public suspend fun awaitUnready(timeout: Duration = START_TIMEOUT): String =
        child.await("unreadiness of $id", timeout) { probe()?.takeIf { it.status == UNAVAILABLE }?.text }

    /** Returns the sum of the samples of the metric [name], or null if it is not exposed. */
    public suspend fun metric(name: String): Double? = metricLines()
        .filter { it.startsWith("$name ") || it.startsWith("$name{") }
        .map { it.substringAfterLast(' ').toDouble() }
        .takeIf { it.isNotEmpty() }
        ?.sum()

    /** Returns whether the daemon leads the control group as far as it knows. */
    public suspend fun leads(): Boolean = "auburnstream_group_role{role=\"leader\"} 1.0" in metricLines()

    private suspend fun metricLines(): List<String> =
        http.get("http://127.0.0.1:${ports.health}/metrics").bodyAsText().lines()

    /** Returns the answer of the readiness check, or null if there is none. */
    private suspend fun probe(): HealthProbe? = try {
        val response = http.get("http://127.0.0.1:${ports.health}/health/ready")
        HealthProbe(response.status.value, response.bodyAsText().trim())
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        null
    }

    /** Kills the daemon if it still runs. */
    override fun close() {
        child.close()
    }

    public companion object {
        /** Longest time for a daemon's start on a busy machine. */
        public val START_TIMEOUT: Duration = 60.seconds

        /** Main class of the daemon. */
        public const val MAIN_CLASS: String = "org.auburnstream.daemon.MainKt"

        private val http = HttpClient(CIO) { expectSuccess = false }

        /** Starts a daemon as [plan] says and waits until its listeners are bound. */
        public suspend fun start(plan: DaemonPlan): DaemonProcess {
            Files.deleteIfExists(plan.portsFile)
            val child = ChildProcess.start(JavaCommand.of(MAIN_CLASS, plan.toFlags()), plan.logFile)
            val ports = child.await("ports file of ${plan.id}", START_TIMEOUT) { readPorts(plan.portsFile) }
            return DaemonProcess(plan.id, child, ports)
        }

        private fun readPorts(file: Path): ListenerPorts? =
            if (Files.exists(file)) ListenerPorts.parseOrNull(Files.readString(file)) else null
    }
}

private data class HealthProbe(val status: Int, val text: String)

private const val OK = 200
private const val UNAVAILABLE = 503
