package org.auburnstream.daemon.ledger

import io.ktor.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.daemon.caller.CallerRequest
import org.auburnstream.daemon.caller.RequestHandler
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.daemon.target.AnswerBody
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.Outcome
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.Urgency
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Orders with a key that are sent again through other daemons after lost answers, cancellations and kills. */
@OptIn(ExperimentalCoroutinesApi::class)
class KeyedRequestsTest {
    @Test
    fun orderRunsAtMostOnceWhateverIsLost() {
        val outcomes = HashMap<String, Int>()
        for (seed in 1..400) runTest { Scenario(this, seed).run(outcomes) }
        println("outcomes=${outcomes.toSortedMap()}")
        assertTrue(outcomes.keys.containsAll(Expected), "not every outcome came about: $outcomes")
    }

    private class Scenario(private val scope: TestScope, private val seed: Int) {
        private val random = Random(seed)
        private val machine = LedgerStateMachine()
        private val executions = HashMap<String, Int>()
        private var requests = 0L

        suspend fun run(outcomes: HashMap<String, Int>) {
            repeat(4) { order ->
                val answers = mutableSetOf<String>()
                repeat(random.nextInt(1, 6)) {
                    val daemon = Daemon()
                    val request = request("order-$order")
                    val killAt = if (random.nextInt(4) == 0) random.nextInt(1, 400).milliseconds else Duration.INFINITE
                    val outcome = daemon.handle(request, killAt)
                    outcomes.merge(kind(outcome), 1, Int::plus)
                    check("order-$order", outcome, answers)
                    if (random.nextBoolean()) delay(random.nextInt(1, 12_000).milliseconds)
                }
            }
            delay(30.seconds)
            executions.forEach { (order, count) -> assertEquals(1, count, "seed $seed: $order ran $count times") }
        }

        private fun check(order: String, outcome: Outcome<TargetAnswer>?, answers: MutableSet<String>) {
            if (outcome is Outcome.Answered) {
                answers += (outcome.answer.body as AnswerBody.Whole).bytes.decodeToString()
                assertEquals(setOf("answer of $order"), answers, "seed $seed")
                assertEquals(1, executions[order], "seed $seed: $order")
            }
            val keyRefusal = outcome is Outcome.NotRun && outcome.reason == NotRunReason.KEY_IN_PROGRESS
            if (outcome is Outcome.NotRun && !keyRefusal) {
                assertEquals(null, executions[order], "seed $seed: $order was said not to be run: $outcome")
            }
        }

        private inner class Daemon {
            private val scope = CoroutineScope(this@Scenario.scope.coroutineContext + SupervisorJob())
            private val group = LossyGroup(machine, random)
            private val requests =
                KeyedRequests(
                    scope,
                    group,
                    target(),
                    DaemonId("d"),
                    random.nextLong(),
                    ::now,
                    { Instant.fromEpochMilliseconds(this@Scenario.scope.testScheduler.currentTime) },
                )

            suspend fun handle(request: CallerRequest, killAt: Duration): Outcome<TargetAnswer>? {
                var outcome: Outcome<TargetAnswer>? = null
                val caller = scope.launch { outcome = requests.handle(request) { } }
                val inTime = withTimeoutOrNull(killAt) { caller.join() } != null
                if (!inTime && random.nextBoolean()) {
                    scope.cancel()
                } else if (!inTime) {
                    caller.cancel()
                }
                return outcome
            }
        }

        /** Runs a request as the rest of the daemon would: some are not run, some lose their answers. */
        private fun target(): RequestHandler = { request, _ ->
            delay(random.nextInt(1, 50).milliseconds)
            if (random.nextInt(4) == 0) {
                Outcome.NotRun(NotRunReason.OVERLOADED, 1.seconds)
            } else {
                executions.merge(request.key!!.value, 1, Int::plus)
                delay(random.nextInt(1, 3000).milliseconds)
                if (random.nextInt(4) == 0) Outcome.Unknown(UnknownReason.CONNECTION_LOST) else answer(request)
            }
        }

        private fun answer(request: CallerRequest): Outcome<TargetAnswer> {
            val body = AnswerBody.Whole("answer of ${request.key}".toByteArray())
            return Outcome.Answered(TargetAnswer(200, "OK", emptyList(), body))
        }

        private fun request(key: String) = CallerRequest(
            id = RequestId("r${++requests}"),
            service = ServiceId("print"),
            method = HttpMethod.Post,
            path = "/orders",
            arrived = now(),
            deadline = now() + 5.seconds,
            team = TeamId("team"),
            urgency = Urgency.NORMAL,
            key = IdempotencyKey(key),
            traceparent = null,
            headers = emptyList(),
            body = "2 charts".toByteArray(),
        )

        private fun now() = MonotonicTime(scope.testScheduler.currentTime * 1_000_000)

        private fun kind(outcome: Outcome<*>?): String = when (outcome) {
            is Outcome.Answered -> "ANSWERED"
            is Outcome.NotRun -> outcome.reason.name
            is Outcome.Unknown -> outcome.reason.name
            null -> "CALLER_GONE"
        }
    }

    /** Group whose proposals are slow, refused, or committed without the proposer learning of it. */
    private class LossyGroup(private val machine: LedgerStateMachine, private val random: Random) : ReplicatedGroup {
        override val id = GroupId("ledger")
        override val status: StateFlow<ReplicaStatus> =
            MutableStateFlow(ReplicaStatus(ReplicaRole.LEADER, 1, null, LogIndex(0), LogIndex(0)))

        override suspend fun propose(command: ByteArray, timeout: Duration): ProposeResult {
            delay(random.nextInt(1, 100).milliseconds)
            val fate = random.nextInt(10)
            if (fate == 0) return ProposeResult.Rejected(RejectReason.NO_LEADER)
            if (fate == 1) return ProposeResult.Unknown
            val response = machine.apply(LogIndex(1), command)
            delay(random.nextInt(1, 100).milliseconds)
            return if (fate == 2) ProposeResult.Unknown else ProposeResult.Committed(LogIndex(1), response)
        }

        override suspend fun readBarrier(timeout: Duration): ReadResult = ReadResult.Ready(LogIndex(1))
    }

    private companion object {
        val Expected =
            setOf(
                "ANSWERED",
                "CALLER_GONE",
                "CONNECTION_LOST",
                "KEY_IN_PROGRESS",
                "KEY_NOT_RECORDED",
                "OVERLOADED",
                "SENDER_LOST",
            )
    }
}
