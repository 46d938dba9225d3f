package org.auburnstream.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against orders that count as unanswered too early or too late. */
class AnswerTimeoutTest {
    private val timeout = AnswerTimeout(shortest = 250.milliseconds, longest = 1.seconds)

    @Test
    fun anOrderCountsAsUnansweredBeforeAnyAnswerTimeIsKnown() {
        assertEquals(1.seconds, timeout.after(failures = 0))
    }

    @Test
    fun anUnansweredOrderWaitsForTheLongestTimeThoughAnswersAreFast() {
        repeat(20) { timeout.observe(5.milliseconds) }

        assertEquals(250.milliseconds, timeout.after(failures = 0))
    }

    @Test
    fun answersThatTakeLongAreNotAwaited() {
        repeat(20) { timeout.observe(if (it % 4 == 0) 400.milliseconds else 5.milliseconds) }

        assertTrue(timeout.after(failures = 0) > 400.milliseconds)
    }

    @Test
    fun ordersToASilentWorkerAreRepeatedWithoutBackoff() {
        repeat(20) { timeout.observe(5.milliseconds) }

        assertEquals(listOf(250, 250, 500, 1_000, 1_000), List(5) { timeout.after(it).inWholeMilliseconds.toInt() })
    }
}
