package org.auburnstream.daemon.target

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.UnknownReason
import org.auburnstream.routing.RoutingEffect
import org.auburnstream.routing.TargetAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Carries requests to targets over HTTP/1.1, one at a time on each connection.
 *
 * A request is written at most once by each call. A connection is used again only after a whole answer that repeated
 * the id of its request, and with nothing more received; any other is closed.
 */
public class TargetGateway(
    private val selector: SelectorManager,
    private val clock: () -> MonotonicTime,
    private val settings: TargetSettings = TargetSettings(),
) {
    private val pools = ConcurrentHashMap<TargetAddress, ConnectionPool<TargetConnection>>()

    /** Connections open to the target at [address], those being opened or closed included. */
    public fun openConnections(address: TargetAddress): Int = pools[address]?.openCount ?: 0

    /**
     * Sends [request] as [send] says and reads the answer until [deadline].
     *
     * Cancelling the call closes the connection.
     *
     * @param stream receives an answer that is too large to hold, before its end is known.
     */
    public suspend fun exchange(
        request: TargetRequest,
        send: RoutingEffect.Send,
        deadline: MonotonicTime,
        stream: suspend (TargetAnswer) -> Unit,
    ): ExchangeReport {
        var pool: ConnectionPool<TargetConnection>
        var acquired: Acquired<TargetConnection>
        do {
            pool = pools.computeIfAbsent(send.address) { ConnectionPool() }
            acquired = acquire(pool, send.connections)
        } while (acquired == Acquired.Discarded)
        return when (acquired) {
            is Acquired.Idle -> exchange(pool, acquired.connection, request, send, deadline, stream)
            Acquired.MayOpen -> exchangeOnNew(pool, request, send, deadline, stream)
            else -> ExchangeReport.NotSent(NotSentCause.NO_CONNECTION_LEFT)
        }
    }

    private suspend fun exchangeOnNew(
        pool: ConnectionPool<TargetConnection>,
        request: TargetRequest,
        send: RoutingEffect.Send,
        deadline: MonotonicTime,
        stream: suspend (TargetAnswer) -> Unit,
    ): ExchangeReport = when (
        val opened = open(
            pool,
            send.address,
            minOf(
                settings.connectTimeout,
                send.startBy - clock(),
            ),
        )
    ) {
        is Opened.Connected -> exchange(pool, opened.connection, request, send, deadline, stream)
        is Opened.Failed -> ExchangeReport.NotSent(opened.cause)
    }

    /** Closes the idle connections to [address]; those in use are closed after their exchange. */
    public fun retire(address: TargetAddress) {
        val pool = pools[address] ?: return
        pool.retire().forEach { close(pool, it) }
    }

    /** Closes connections that were idle for too long. */
    public fun closeIdle() {
        val oldest = clock() - settings.idleTimeout
        for ((address, pool) in pools) {
            pool.removeIdle { it.idleSince < oldest || !it.isClean }.forEach { close(pool, it) }
            if (pool.discard()) pools.remove(address, pool)
        }
    }

    /** Closes all idle connections. */
    public fun close() {
        pools.keys.toList().forEach(::retire)
    }

    private fun acquire(pool: ConnectionPool<TargetConnection>, limit: Int): Acquired<TargetConnection> {
        while (true) {
            val acquired = pool.acquire(limit)
            if (acquired !is Acquired.Idle || acquired.connection.isClean) return acquired
            close(pool, acquired.connection)
        }
    }

    private suspend fun open(pool: ConnectionPool<TargetConnection>, address: TargetAddress, limit: Duration): Opened {
        var opened: TargetConnection? = null
        var result: Opened = Opened.Failed(NotSentCause.CONNECT_TIMEOUT)
        try {
            withTimeoutOrNull(limit) { opened = TargetConnection.open(selector, address) }
            opened?.let { result = Opened.Connected(it) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            result = Opened.Failed(NotSentCause.CONNECT_FAILED)
        } finally {
            if (result is Opened.Failed) opened?.let { close(pool, it) } ?: pool.closed()
        }
        return result
    }

    private suspend fun exchange(
        pool: ConnectionPool<TargetConnection>,
        connection: TargetConnection,
        request: TargetRequest,
        send: RoutingEffect.Send,
        deadline: MonotonicTime,
        stream: suspend (TargetAnswer) -> Unit,
    ): ExchangeReport {
        var reusable = false
        try {
            val now = clock()
            if (now >= send.startBy) return ExchangeReport.NotSent(NotSentCause.TOO_LATE)
            val left = deadline - now
            val read =
                withTimeout(left) {
                    connection.write(request, left)
                    AnswerReader(settings, connection.input).read(request, stream)
                }
            reusable = read.reusable
            return report(read.answer)
        } catch (e: TimeoutCancellationException) {
            return ExchangeReport.Lost(UnknownReason.DEADLINE_EXCEEDED)
        } catch (e: CancellationException) {
            throw e
        } catch (e: TruncatedAnswerException) {
            return ExchangeReport.Lost(e.reason)
        } catch (e: MalformedAnswerException) {
            return ExchangeReport.Lost(UnknownReason.MALFORMED_ANSWER)
        } catch (e: Exception) {
            return ExchangeReport.Lost(UnknownReason.CONNECTION_LOST)
        } finally {
            release(pool, connection, reusable)
        }
    }

    private fun report(answer: TargetAnswer): ExchangeReport {
        if (answer.status != UNAVAILABLE || answer.header(RequestHeaders.NOT_RUN) != "true") {
            return ExchangeReport.Answered(answer)
        }
        return ExchangeReport.Refused(answer.header("Retry-After")?.toIntOrNull()?.seconds)
    }

    private fun TargetAnswer.header(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    private fun release(pool: ConnectionPool<TargetConnection>, connection: TargetConnection, reusable: Boolean) {
        connection.idleSince = clock()
        if (reusable && connection.isClean && pool.release(connection)) return
        close(pool, connection)
    }

    private fun close(pool: ConnectionPool<TargetConnection>, connection: TargetConnection) {
        connection.close(pool::closed)
    }

    private sealed interface Opened {
        class Connected(val connection: TargetConnection) : Opened

        class Failed(val cause: NotSentCause) : Opened
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
