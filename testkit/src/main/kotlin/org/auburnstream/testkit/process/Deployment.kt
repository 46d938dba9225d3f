package org.auburnstream.testkit.process

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.caller.CallerStandIn
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Daemons of one test as processes, with a caller and `auburnctl` beside them.
 *
 * @property folder folder with everything that the processes write.
 * @property plans plans of the daemons, in the order of their ids.
 */
public class Deployment private constructor(public val folder: Path, public val plans: List<DaemonPlan>) :
    AutoCloseable {
    private val running = arrayOfNulls<DaemonProcess>(plans.size)

    /** Sends requests to the daemons. */
    public val caller: CallerStandIn = CallerStandIn()

    private val operator = OperatorProcess(folder)

    /** Targets' listeners of the daemons, as `address:port`. */
    public val targetListeners: List<String>
        get() = plans.indices.map { "127.0.0.1:${this[it].ports.targets}" }

    /** The daemon with index [i], from 0. */
    public operator fun get(i: Int): DaemonProcess = checkNotNull(running[i]) { "daemon ${plans[i].id} is not running" }

    /** Starts the daemon with index [i]; one that ran before gets the same ports again. */
    public suspend fun start(i: Int): DaemonProcess {
        val before = running[i]
        before?.close()
        val plan = before?.let { plans[i].copy(ports = it.ports) } ?: plans[i]
        return DaemonProcess.start(plan).also { running[i] = it }
    }

    /** Sends [request] through the daemon with index [i]. */
    public suspend fun send(i: Int, request: CallerRequest): CallerResult = caller.send(this[i].ports.callers, request)

    /** Runs `auburnctl` with [arguments] against the daemon with index [i]. */
    public suspend fun control(i: Int, vararg arguments: String): OperatorResult =
        operator.run(this[i].ports.operators, *arguments)

    /**
     * Sends idempotent requests through the daemon with index [i] until one is answered.
     *
     * @throws ChildProcessException if none is within [timeout].
     */
    public suspend fun awaitAnswer(i: Int, path: String, timeout: Duration = ANSWER_TIMEOUT): CallerResult.Answered {
        var last: CallerResult? = null
        return withTimeoutOrNull(timeout) {
            while (true) {
                val result = send(i, CallerRequest(path, method = "GET")).also { last = it }
                if (result is CallerResult.Answered) return@withTimeoutOrNull result
                delay(POLL_INTERVAL)
            }
            null
        } ?: throw ChildProcessException("no answer through ${plans[i].id}, last $last", this[i].child.text())
    }

    override fun close() {
        running.forEach { it?.close() }
        caller.close()
    }

    public companion object {
        private val ANSWER_TIMEOUT = 60.seconds
        private val POLL_INTERVAL = 20.milliseconds

        /** Starts [count] daemons, [voterCount] of them voters, with their files below [folder], and awaits them. */
        public suspend fun start(
            folder: Path,
            count: Int,
            extraFlags: List<String> = emptyList(),
            voterCount: Int = count,
        ): Deployment {
            val deployment = Deployment(folder, DaemonPlan.deployment(folder, count, extraFlags, voterCount))
            try {
                coroutineScope { deployment.plans.indices.forEach { i -> launch { deployment.start(i) } } }
                deployment.plans.indices.forEach { deployment[it].awaitReady() }
            } catch (e: Exception) {
                deployment.close()
                throw e
            }
            return deployment
        }
    }
}
