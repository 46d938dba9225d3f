package org.auburnstream.dispatch

import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against a leader that sends orders after a suspension, during which another process may have become leader.
 *
 * The monotonic clock need not show a suspension, so the detector also compares it with the time of day.
 */
class SuspensionDetectorTest {
    private val start = MonotonicTime.Zero

    @Test
    fun agreeingClocksIndicateNoSuspension() {
        val detector = SuspensionDetector()
        val isDetected = (0..20).any { detector.check(start + (it * 100).milliseconds, nowMs = it * 100L + it % 3) }

        assertFalse(isDetected)
        assertEquals(null, detector.resumedAt)
    }

    @Test
    fun timeOfDayAheadOfMonotonicClockIndicatesSuspension() {
        val detector = SuspensionDetector()
        detector.check(start, nowMs = 0)

        assertTrue(detector.check(start + 10.milliseconds, nowMs = 3_000))
        assertEquals(start + 10.milliseconds, detector.resumedAt)
    }

    @Test
    fun overdueCheckIndicatesSuspension() {
        val detector = SuspensionDetector()
        detector.check(start, nowMs = 0)

        assertTrue(detector.check(start + 3_000.milliseconds, nowMs = 3_000))
    }
}
