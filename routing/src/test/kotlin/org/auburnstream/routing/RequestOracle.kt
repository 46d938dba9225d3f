package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason

/** What the tests know of one caller's order. */
class Order(val number: Int, val idempotent: Boolean, val arrived: MonotonicTime, val deadline: MonotonicTime) {
    var executions: Int = 0
    var sends: Int = 0
    var result: RequestResult? = null
    var completedAt: MonotonicTime? = null
    var answeredBy: Int? = null

    /** Its daemon was frozen while it waited, so that the result may come late. */
    var frozen: Boolean = false

    /** The daemon died or the caller left, so that nobody waits for a result. */
    var dropped: Boolean = false
}

/** Compares results with what really ran, and collects every contradiction. */
class RequestOracle(private val seed: Int) {
    val faults = mutableListOf<String>()
    val results = HashMap<String, Int>()
    val orders = mutableListOf<Order>()

    fun completed(order: Order, result: RequestResult, now: MonotonicTime) {
        if (order.result != null) fault(order, "has two results: ${order.result} and $result")
        order.result = result
        order.completedAt = now
        results.merge(kind(result), 1, Int::plus)
        if (!order.frozen &&
            now > order.deadline + LATEST
        ) {
            fault(order, "got $result ${now - order.deadline} after its deadline")
        }
        when (result) {
            RequestResult.Answered ->
                if (order.answeredBy != order.number) fault(order, "got the answer of order ${order.answeredBy}")

            is RequestResult.NotRun -> {
                if (order.executions > 0) fault(order, "was said not to be run but ran: $result")
                if (!result.retryAfter.isPositive()) fault(order, "was refused without a time to come back")
                if (result.reason in AtOnce && now != order.arrived &&
                    !order.frozen
                ) {
                    fault(order, "was refused late: $result")
                }
            }

            is RequestResult.Unknown -> if (order.sends == 0) fault(order, "is unknown though it was never sent")
        }
    }

    fun atEnd() {
        for (order in orders) {
            if (order.result == null && !order.dropped) fault(order, "has no result")
            if (!order.idempotent && order.executions > 1) fault(order, "ran ${order.executions} times")
            if (!order.idempotent && order.result == RequestResult.Answered && order.executions != 1) {
                fault(order, "was answered after ${order.executions} executions")
            }
        }
    }

    fun fault(order: Order, what: String) {
        faults += "seed $seed: order ${order.number} $what"
    }

    private fun kind(result: RequestResult): String = when (result) {
        RequestResult.Answered -> "ANSWERED"
        is RequestResult.NotRun -> result.reason.name
        is RequestResult.Unknown -> result.reason.name
    }

    companion object {
        private val AtOnce =
            setOf(NotRunReason.OVERLOADED, NotRunReason.UNKNOWN_SERVICE, NotRunReason.STOPPING)
        private val LATEST = RoutingSimulation.Settings.tick * 2
    }
}
