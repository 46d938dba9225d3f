package org.auburnstream.daemon.caller

import io.ktor.http.HttpMethod
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.auburnstream.daemon.target.AnswerBody
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.daemon.target.TruncatedAnswerException
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Outcome
import org.auburnstream.model.RequestId
import java.util.concurrent.atomic.AtomicInteger

/**
 * Callers' listener: HTTP/1.1 with one request at a time on each connection.
 *
 * Built on Ktor's sockets and HTTP parser rather than its server engine, which neither cancels a request whose
 * caller went away nor cuts the connection of an answer that turned out truncated.
 *
 * @param scope the listener runs until this scope is cancelled or [close] is called.
 * @param nextId gives each request its id.
 */
public class CallerServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val clock: () -> MonotonicTime,
    private val nextId: () -> RequestId,
    private val handler: RequestHandler,
    private val settings: CallerSettings = CallerSettings(),
) {
    private val open = AtomicInteger()
    private val responding = AtomicInteger()
    private var socket: ServerSocket? = null
    private var connections: Job? = null

    @Volatile
    private var draining = false

    /** Requests that were read and whose answer is not yet written to its end. */
    public val inProgress: Int get() = responding.get()

    /** Number of open connections. */
    public val openConnections: Int get() = open.get()

    /** Begins to listen and returns the bound TCP port. */
    public suspend fun start(): Int {
        val bound = aSocket(selector).tcp().bind(InetSocketAddress(settings.host, settings.port)) {
            reuseAddress = true
        }
        val parent = SupervisorJob(scope.coroutineContext[Job])
        socket = bound
        connections = parent
        val connectionScope = CoroutineScope(scope.coroutineContext + parent)
        connectionScope.launch { acceptAll(bound, connectionScope) }
        return (bound.localAddress as InetSocketAddress).port
    }

    /** Accepts no new connections; each open one is closed after its request in progress. */
    public fun drain() {
        draining = true
        socket?.close()
    }

    /** Closes the listener and all connections. */
    public suspend fun close() {
        drain()
        connections?.cancelAndJoin()
    }

    private suspend fun acceptAll(server: ServerSocket, connectionScope: CoroutineScope) {
        while (!server.isClosed) {
            val caller =
                try {
                    server.accept()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    if (server.isClosed) return
                    continue
                }
            connectionScope.launch { serve(caller) }
        }
    }

    private suspend fun serve(caller: Socket) {
        val count = open.incrementAndGet()
        try {
            val input = caller.openReadChannel()
            val output = caller.openWriteChannel()
            val writer = ResponseWriter(output)
            if (count > settings.connections) {
                val problem = Problem.invalid(RequestFault.TOO_MANY_CONNECTIONS).copy(retryAfterMs = RETRY_AFTER_MS)
                writer.problem(problem, id = null, HttpMethod.Get, keepAlive = false)
                output.flushAndClose()
                return
            }
            val reader = RequestReader(settings, input, output, clock, nextId)
            while (serveOne(reader, writer, input)) Unit
            output.flushAndClose()
        } catch (e: CancellationException) {
            if (!scope.isActive) throw e
        } catch (e: Exception) {
            // The connection failed; whatever was in progress on it has been cancelled.
        } finally {
            caller.close()
            open.decrementAndGet()
        }
    }

    /** Serves the next request and returns whether the connection may carry another. */
    private suspend fun serveOne(reader: RequestReader, writer: ResponseWriter, input: ByteReadChannel): Boolean {
        when (val read = reader.read()) {
            ReadResult.Ended -> return false
            is ReadResult.Invalid -> {
                writer.problem(Problem.invalid(read.fault), id = null, HttpMethod.Get, keepAlive = false)
                return false
            }

            is ReadResult.Complete -> {
                responding.incrementAndGet()
                try {
                    return respond(read, writer, input)
                } finally {
                    responding.decrementAndGet()
                }
            }
        }
    }

    private suspend fun respond(read: ReadResult.Complete, writer: ResponseWriter, input: ByteReadChannel): Boolean {
        val request = read.request
        val keepAlive = read.keepAlive && !draining
        var streamed = false
        val outcome =
            untilGone(input) {
                handler(request) { answer ->
                    streamed = true
                    passOn { writer.stream(request, answer, answer.body as AnswerBody.Stream, keepAlive) }
                }
            }
        when (outcome) {
            is Outcome.Answered -> if (!streamed) writeWhole(request, outcome.answer, writer, keepAlive)
            is Outcome.NotRun -> {
                val problem = Problem.notRun(outcome.reason, outcome.retryAfter, request.id)
                writer.problem(problem, request.id, request.method, keepAlive)
            }

            is Outcome.Unknown -> {
                // A streamed answer has begun already: only a cut connection tells that it is not whole.
                if (streamed) return false.also { input.cancel(null) }
                writer.problem(Problem.unknown(outcome.reason, request.id), request.id, request.method, keepAlive)
            }
        }
        return keepAlive
    }

    private suspend fun writeWhole(
        request: CallerRequest,
        answer: TargetAnswer,
        writer: ResponseWriter,
        keepAlive: Boolean,
    ) {
        val body = answer.body as AnswerBody.Whole
        writer.answer(request, answer, body.bytes, keepAlive)
    }

    /** Runs [block] and cancels it if the caller closes the connection meanwhile. */
    private suspend fun <T> untilGone(input: ByteReadChannel, block: suspend () -> T): T = coroutineScope {
        val result = async(start = CoroutineStart.UNDISPATCHED) { block() }
        if (result.isCompleted) return@coroutineScope result.await()
        val watcher =
            launch(start = CoroutineStart.UNDISPATCHED) {
                if (!input.awaitContent()) result.cancel(CallerGoneException())
            }
        try {
            result.await()
        } finally {
            watcher.cancel()
        }
    }

    private suspend fun passOn(write: suspend () -> Unit) {
        try {
            write()
        } catch (e: CancellationException) {
            throw e
        } catch (e: TruncatedAnswerException) {
            throw e
        } catch (e: Exception) {
            throw CallerGoneException()
        }
    }

    private companion object {
        const val RETRY_AFTER_MS = 1000L
    }
}

/** The caller closed its connection before it had its answer. */
internal class CallerGoneException : CancellationException("caller closed the connection")
