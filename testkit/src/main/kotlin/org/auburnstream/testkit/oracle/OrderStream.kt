package org.auburnstream.testkit.oracle

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.caller.CallerStandIn
import org.auburnstream.testkit.target.ExecutionCounts
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

/**
 * Orders that one coroutine sends through one daemon, one after the other, with a check of every result.
 *
 * @param name prefix of the orders' ids, unique among the streams of a test.
 * @param withKeys whether each order carries an idempotency key.
 * @param port callers' port of the daemon at this moment.
 */
public class OrderStream(
    private val caller: CallerStandIn,
    private val name: String,
    private val withKeys: Boolean,
    private val port: () -> Int,
) {
    private val stopped = AtomicBoolean()
    private val sent = ConcurrentLinkedQueue<SentOrder>()

    /** Results so far, in the order of the orders. */
    public val results: List<CallerResult>
        get() = sent.map { it.result }

    /** Number of orders answered so far. */
    public val answered: Int
        get() = sent.count { it.result is CallerResult.Answered }

    /** Sends orders in [scope] until [stop]. */
    public fun startIn(scope: CoroutineScope): Job = scope.launch {
        var i = 0
        while (!stopped.get()) {
            val order = send("$name-${i++}")
            sent += order
            if (order.result !is CallerResult.Answered) delay(PAUSE_AFTER_REFUSAL)
        }
    }

    /** Sends no order after the one in progress. */
    public fun stop() {
        stopped.set(true)
    }

    /** Returns every result that is not true, given what the targets ran. */
    public fun violations(executions: List<ExecutionCounts>): List<OrderViolation> = sent.mapNotNull { order ->
        val runs = executions.sumOf { it[order.countedAs] }
        when (val result = order.result) {
            is CallerResult.Answered -> when {
                runs != 1 -> OrderViolation.WrongRuns(order.id, result, runs)
                result.body != order.expectedBody -> OrderViolation.WrongAnswer(order.id, result)
                else -> null
            }

            is CallerResult.NotRun, is CallerResult.NotConnected ->
                if (runs == 0) null else OrderViolation.WrongRuns(order.id, result, runs)

            else -> if (runs <= 1) null else OrderViolation.WrongRuns(order.id, result, runs)
        }
    }

    private suspend fun send(id: String): SentOrder {
        val key = id.takeIf { withKeys }
        val request = CallerRequest("/print/orders/$id", body = "body of $id", key = key)
        return SentOrder(
            id = id,
            countedAs = key ?: "POST /orders/$id",
            expectedBody = "POST /orders/$id\nbody of $id",
            result = caller.send(port(), request),
        )
    }

    private companion object {
        val PAUSE_AFTER_REFUSAL = 10.milliseconds
    }

    private class SentOrder(val id: String, val countedAs: String, val expectedBody: String, val result: CallerResult)
}

/** A result of an order that is not true. */
public sealed interface OrderViolation {
    /** The order with [id] ran [runs] times, which [result] contradicts. */
    public data class WrongRuns(val id: String, val result: CallerResult, val runs: Int) : OrderViolation

    /** The order with [id] got an answer that is not its own. */
    public data class WrongAnswer(val id: String, val result: CallerResult) : OrderViolation
}
