package org.auburnstream.testkit.target

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.auburnstream.model.Announcement
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Small target for tests: runs requests, counts them, misbehaves when asked to and announces itself.
 *
 * @param announcement what it announces; the port is replaced by the bound one.
 * @param daemons targets' listeners of the daemons that it announces itself to, as `address:port`.
 * @param behaviour how it treats requests that do not name a behaviour themselves.
 * @param delay how long [TargetBehaviour.SLOW] takes.
 */
public class TargetStandIn(
    private val announcement: Announcement,
    private val daemons: List<String> = emptyList(),
    private val behaviour: TargetBehaviour = TargetBehaviour.ECHO,
    private val delay: Duration = 200.milliseconds,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val connections = AtomicInteger()
    private lateinit var listener: ServerSocket
    private lateinit var announcer: Announcer

    /** Counts of what was run. */
    public val executions: ExecutionCounts = ExecutionCounts()

    /** Completed by a test to let requests with [TargetBehaviour.HOLD] go on. */
    public val release: CompletableDeferred<Unit> = CompletableDeferred()

    /** Largest number of connections that were open at the same time. */
    public val peakConnections: AtomicInteger = AtomicInteger()

    /** Bound TCP port. */
    public val port: Int
        get() = (listener.localAddress as InetSocketAddress).port

    /** Begins to listen and to announce itself. */
    public suspend fun start(): TargetStandIn {
        val requested = InetSocketAddress(announcement.address, announcement.port)
        listener = aSocket(selector).tcp().bind(requested) { reuseAddress = true }
        announcer = Announcer(announcement.copy(port = port), daemons)
        scope.launch { acceptAll() }
        scope.launch { announcer.run() }
        return this
    }

    /** Announces from now on that it wants no new work. */
    public fun leave() {
        announcer.update { it.copy(leaving = true) }
    }

    /** Stops announcing while it goes on listening. */
    public fun silence() {
        announcer.silence()
    }

    override fun close() {
        scope.cancel()
        if (::announcer.isInitialized) announcer.close()
        if (::listener.isInitialized) listener.close()
        selector.close()
    }

    private suspend fun acceptAll() {
        while (scope.isActive) {
            val socket = listener.accept()
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        val open = connections.incrementAndGet()
        peakConnections.accumulateAndGet(open, ::maxOf)
        try {
            TargetExchanges(socket, announcement.vm, executions, behaviour, delay, release).run()
        } catch (_: IOException) {
            // The daemon closed the connection.
        } finally {
            socket.close()
            connections.decrementAndGet()
        }
    }
}
