package org.auburnstream.dispatch

import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards callers against waiting for an answer that is known not to come, and against losing one that may come. */
class ForwardingTest {
    private val leaderWait = 1_500.milliseconds
    private val checkInterval = 50.milliseconds
    private val roundTrip = 2.milliseconds

    /** An idle leader stays connected, so each attempt is sent and refused; the wait must end all the same. */
    @Test
    fun callersWaitTheirWholeTimeoutWhileTheLeaderIsIdle() {
        val outcome = forward { Attempt.Reply(ForwardedReply(null), roundTrip) }

        assertEquals("leader_idle", outcome.result)
        assertWaited(outcome.at)
    }

    /** Attempts may fail in a different way each time; the wait is one in total. */
    @Test
    fun callersWaitTheirWholeTimeoutWhenAttemptsFailInTurns() {
        val failures = listOf(Attempt.NotConnected, Attempt.NotSent, Attempt.Reply(ForwardedReply(null), roundTrip))
        var attempts = 0
        val outcome = forward { failures[attempts++ % failures.size] }

        assertWaited(outcome.at)
    }

    /** Round trips to a process that does not lead must not extend the wait. */
    @Test
    fun refusalsOnASlowLinkExtendTheWait() {
        val outcome = forward { Attempt.Reply(ForwardedReply(null), 100.milliseconds) }

        assertEquals("leader_idle", outcome.result)
        assertWaited(outcome.at - 100.milliseconds, tolerance = checkInterval + 100.milliseconds)
    }

    @Test
    fun requestsAreRefusedWithoutAConnectedLeaderAfterTheWait() {
        val outcome = forward { Attempt.NotConnected }

        assertEquals("no_leader", outcome.result)
        assertWaited(outcome.at)
    }

    @Test
    fun theCauseIsThatOfTheLatestAttempt() {
        val outcome = forward { now ->
            if (now < 1.seconds) Attempt.NotConnected else Attempt.Reply(ForwardedReply(null), roundTrip)
        }

        assertEquals("leader_idle", outcome.result)
    }

    @Test
    fun aLeaderThatBeginsToServeWithinTheWaitAnswers() {
        val outcome = forward { now ->
            if (now < 1_400.milliseconds) Attempt.Reply(ForwardedReply(null), roundTrip) else served(roundTrip)
        }

        assertEquals("200", outcome.result)
    }

    /** An attempt at a leader is not cut off when the wait before it and its own time exceed the limit together. */
    @Test
    fun anAttemptInProgressIsCutOffByTheWait() {
        val outcome = forward { now ->
            if (now <
                1_400.milliseconds
            ) {
                Attempt.NotConnected
            } else {
                served(900.milliseconds)
            }
        }

        assertEquals("200", outcome.result)
        assertTrue(outcome.at in 2_300.milliseconds..2_400.milliseconds, "answered at ${outcome.at}")
    }

    /** The wait begins with the first refusal, not with the attempt that it answers. */
    @Test
    fun timeInProgressBeforeTheFirstRefusalShortensTheWait() {
        val outcome = forward { now ->
            when {
                now == Duration.ZERO -> Attempt.Reply(ForwardedReply(null), 900.milliseconds)
                now < 2_200.milliseconds -> Attempt.NotConnected
                else -> served(roundTrip)
            }
        }

        assertEquals("200", outcome.result)
    }

    /** A request that may have run is not refused as not run, however long no leader serves. */
    @Test
    fun aRepeatableRequestThatMayHaveRunIsGivenUpBeforeTheDeadline() {
        val lost = Attempt.Reply(null, 100.milliseconds)
        val idle = Attempt.Reply(ForwardedReply(null), roundTrip)
        val served = forward { now ->
            if (now == Duration.ZERO) {
                lost
            } else if (now < 2_500.milliseconds) {
                idle
            } else {
                served(roundTrip)
            }
        }
        val unserved = forward { now -> if (now == Duration.ZERO) lost else idle }

        assertEquals("200", served.result)
        assertEquals("no_answer", unserved.result)
        assertTrue(unserved.at in 2_800.milliseconds..2_900.milliseconds, "given up at ${unserved.at}")
    }

    /** An answer with an unknown outcome or an unreadable one may stand for a request that was run. */
    @Test
    fun aRequestIsSentAgainThoughItMustNotBeRepeated() {
        val unknown = Attempt.Reply(ForwardedReply(HttpResponse(504)), roundTrip)
        for (reply in listOf(unknown, Attempt.Reply(null, roundTrip), Attempt.Unreadable)) {
            var attempts = 0
            val outcome = forward(isRepeatable = false) { reply.also { attempts += 1 } }

            assertEquals("no_answer", outcome.result)
            assertEquals(1, attempts)
        }
    }

    @Test
    fun aRepeatableRequestWithAnUnknownOutcomeIsNotSentAgain() {
        val outcome = forward { now ->
            if (now == Duration.ZERO) Attempt.Reply(ForwardedReply(HttpResponse(504)), roundTrip) else served(roundTrip)
        }

        assertEquals("200", outcome.result)
    }

    @Test
    fun callersWithAShortDeadlineGetNoAnswerInTime() {
        val outcomes = listOf(Attempt.NotConnected, Attempt.NotSent, Attempt.Reply(ForwardedReply(null), roundTrip))
            .map { attempt -> forward(timeout = 500.milliseconds) { attempt } }

        assertEquals(listOf("no_leader", "no_leader", "leader_idle"), outcomes.map { it.result })
        assertTrue(outcomes.all { it.at <= 400.milliseconds }, "given up at ${outcomes.map { it.at }}")
    }

    @Test
    fun aRequestIsSentThoughItsDeadlineLeavesNoTimeForAnAnswer() {
        var attempts = 0
        val outcome = forward(timeout = 50.milliseconds) { served(roundTrip).also { attempts += 1 } }

        assertEquals("no_leader", outcome.result)
        assertEquals(0, attempts)
    }

    @Test
    fun callersWaitThoughTheProcessKnowsThatTheOutageLasts() {
        val outage = LeaderOutage().apply { missing(MonotonicTime.Zero) }
        val outcome = forward(outage = outage) { Attempt.NotConnected }

        assertEquals("no_leader", outcome.result)
        assertEquals(Duration.ZERO, outcome.at)
    }

    @Test
    fun requestsThatAlreadyWaitAreNotRefusedWhenTheOutageBecomesKnown() {
        val outage = LeaderOutage().apply { missing(MonotonicTime.Zero + 5.seconds) }
        val outcome = forward(outage = outage) { Attempt.NotConnected }

        assertTrue(outcome.at in 500.milliseconds..550.milliseconds, "given up at ${outcome.at}")
    }

    /** Only a leader that is connected can tell that the outage is over. */
    @Test
    fun aKnownOutageKeepsRequestsFromANewLeader() {
        val outage = LeaderOutage().apply { missing(MonotonicTime.Zero) }
        val outcome = forward(outage = outage) { now ->
            if (now < 300.milliseconds) Attempt.Reply(ForwardedReply(null), roundTrip) else served(roundTrip)
        }

        assertEquals("200", outcome.result)
        assertEquals(null, outage.age(MonotonicTime.Zero + 9.seconds))
    }

    /** A request without effects has not run in any sense that its caller could notice. */
    @Test
    fun aLostAttemptOfARequestWithoutEffectsIsHeldThroughTheOutage() {
        val outcome = forward(hasEffects = false) { now ->
            if (now == Duration.ZERO) Attempt.Reply(null, 100.milliseconds) else Attempt.NotConnected
        }

        assertEquals("no_leader", outcome.result)
        assertTrue(outcome.at <= 1_650.milliseconds, "given up at ${outcome.at}")
    }

    private fun assertWaited(elapsed: Duration, tolerance: Duration = checkInterval + roundTrip) =
        assertTrue(elapsed >= leaderWait - tolerance && elapsed <= leaderWait + tolerance, "given up after $elapsed")

    private fun served(delay: Duration) = Attempt.Reply(ForwardedReply(HttpResponse(200)), delay)

    /** Runs a request in virtual time, in which [attemptAt] tells what happens to an attempt at the given time. */
    private fun forward(
        timeout: Duration = 3.seconds,
        isRepeatable: Boolean = true,
        hasEffects: Boolean = true,
        outage: LeaderOutage = LeaderOutage(),
        attemptAt: (Duration) -> Attempt,
    ): Outcome {
        val start = MonotonicTime.Zero + 7.seconds
        var now = start
        var current: Attempt = Attempt.NotConnected
        val results = ArrayList<Outcome>()
        val timers = PriorityQueue<Timer>(compareBy { it.at })
        val forwarding = Forwarding(
            since = start,
            timeout = timeout,
            isRepeatable = isRepeatable,
            clock = { now },
            schedule = { delay, block -> timers.add(Timer(now + delay, block)) },
            isClosed = { false },
            connectedLeader = {
                current = attemptAt(now - start)
                DaemonId("leader").takeIf { current != Attempt.NotConnected }
            },
            call = { _, limit, done ->
                val (bytes, delay) = when (val attempt = current) {
                    is Attempt.Reply -> attempt.reply?.let { Messages.encode(it) } to attempt.delay
                    Attempt.Unreadable -> byteArrayOf(1) to roundTrip
                    else -> null to null
                }
                if (delay != null) {
                    timers.add(Timer(now + minOf(delay, limit)) { done(bytes.takeIf { delay <= limit }) })
                }
                delay != null
            },
            onAnswer = { results.add(Outcome(it.status.toString(), now - start)) },
            onGiveUp = { results.add(Outcome(it.label, now - start)) },
            hasEffects = hasEffects,
            outage = outage,
        )
        forwarding.attempt()
        while (true) {
            val next = timers.poll() ?: break
            now = next.at
            next.block()
        }
        return results.single()
    }

    private class Timer(val at: MonotonicTime, val block: () -> Unit)

    private class Outcome(val result: String, val at: Duration)

    private sealed interface Attempt {
        data object NotConnected : Attempt

        data object NotSent : Attempt

        data object Unreadable : Attempt

        class Reply(val reply: ForwardedReply?, val delay: Duration) : Attempt
    }
}
