package org.auburnstream.daemon.observability

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against a stop that cuts off requests in progress or waits for them longer than the drain timeout. */
class GracefulStopTest {
    private val steps = mutableListOf<String>()

    @Test
    fun requestsInProgressFinishBeforeClose() = runTest {
        val result = stop(longestRequest = 10.seconds).run()

        assertEquals(StopResult.DRAINED, result)
        assertEquals(listOf("unready at 0", "refuse at 5000", "idle at 15000", "close at 15000"), steps)
    }

    @Test
    fun stopEndsAtDrainTimeout() = runTest {
        val result = stop(longestRequest = 10.minutes).run()

        assertEquals(StopResult.TIMED_OUT, result)
        assertEquals(listOf("unready at 0", "refuse at 5000", "close at 35000"), steps)
    }

    @Test
    fun laterSignalsCallOnSecond() {
        val signals = StopSignals(onFirst = { steps += "first" }, onSecond = { steps += "second" })

        repeat(3) { signals.receive() }

        assertEquals(listOf("first", "second", "second"), steps)
    }

    private fun TestScope.stop(longestRequest: Duration) = GracefulStop(
        markUnready = { step("unready") },
        unreadyPeriod = 5.seconds,
        refuseNewWork = { step("refuse") },
        awaitIdle = {
            delay(longestRequest)
            step("idle")
        },
        drainTimeout = 30.seconds,
        close = { step("close") },
    )

    private fun TestScope.step(name: String) {
        steps += "$name at $currentTime"
    }
}
