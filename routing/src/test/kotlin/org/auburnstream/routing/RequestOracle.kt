package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason

/** Request of a simulated caller, with the events that the oracle checks. */
class TestRequest(val number: Int, val idempotent: Boolean, val arrivedAt: MonotonicTime, val deadline: MonotonicTime) {
    var executions: Int = 0
    var sends: Int = 0
    var result: RequestResult? = null
    var completedAt: MonotonicTime? = null
    var answeredRequest: Int? = null

    /** Whether the daemon was frozen while the request was pending, so that the result may be late. */
    var frozen: Boolean = false

    /** Whether the daemon was killed or the caller disconnected, so that no result is required. */
    var resultNotExpected: Boolean = false
}

/** Compares the result of each request with its actual executions and collects all contradictions. */
class RequestOracle(private val seed: Int) {
    val faults = mutableListOf<String>()
    val results = HashMap<String, Int>()
    val requests = mutableListOf<TestRequest>()

    fun completed(request: TestRequest, result: RequestResult, now: MonotonicTime) {
        if (request.result != null) fault(request, "has two results: ${request.result} and $result")
        request.result = result
        request.completedAt = now
        results.merge(kind(result), 1, Int::plus)
        if (!request.frozen &&
            now > request.deadline + MAX_RESULT_DELAY
        ) {
            fault(request, "got $result ${now - request.deadline} after its deadline")
        }
        when (result) {
            RequestResult.Answered ->
                if (request.answeredRequest != request.number) {
                    fault(request, "got the answer of request ${request.answeredRequest}")
                }

            is RequestResult.NotRun -> {
                if (request.executions > 0) fault(request, "ran although its result is not run: $result")
                if (!result.retryAfter.isPositive()) fault(request, "was rejected without a retry delay")
                if (result.reason in ImmediateRefusals && now != request.arrivedAt &&
                    !request.frozen
                ) {
                    fault(request, "was rejected late: $result")
                }
            }

            is RequestResult.Unknown -> if (request.sends == 0) fault(request, "is unknown although it was never sent")
        }
    }

    fun atEnd() {
        for (request in requests) {
            if (request.result == null && !request.resultNotExpected) fault(request, "has no result")
            if (!request.idempotent && request.executions > 1) fault(request, "ran ${request.executions} times")
            if (!request.idempotent && request.result == RequestResult.Answered && request.executions != 1) {
                fault(request, "was answered after ${request.executions} executions")
            }
        }
    }

    fun fault(request: TestRequest, description: String) {
        faults += "seed $seed: request ${request.number} $description"
    }

    private fun kind(result: RequestResult): String = when (result) {
        RequestResult.Answered -> "ANSWERED"
        is RequestResult.NotRun -> result.reason.name
        is RequestResult.Unknown -> result.reason.name
    }

    companion object {
        private val ImmediateRefusals =
            setOf(NotRunReason.OVERLOADED, NotRunReason.UNKNOWN_SERVICE, NotRunReason.STOPPING)
        private val MAX_RESULT_DELAY = RoutingSimulation.Settings.tick * 2
    }
}
