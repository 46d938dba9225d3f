package org.auburnstream.dispatch

import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class SuspensionWatchTest {
    private val start = MonotonicTime.Zero

    @Test
    fun clocksThatAgreeShowNoSuspension() {
        val watch = SuspensionWatch()
        val found = (0..20).any { watch.check(start + (it * 100).milliseconds, nowMs = it * 100L + it % 3) }

        assertFalse(found)
        assertEquals(null, watch.resumedAt)
    }

    @Test
    fun aTimeOfDayThatRanAheadShowsASuspension() {
        val watch = SuspensionWatch()
        watch.check(start, nowMs = 0)

        assertTrue(watch.check(start + 10.milliseconds, nowMs = 3_000))
        assertEquals(start + 10.milliseconds, watch.resumedAt)
    }

    @Test
    fun aTurnThatCameMuchTooLateShowsAFreeze() {
        val watch = SuspensionWatch()
        watch.check(start, nowMs = 0)

        assertTrue(watch.check(start + 3_000.milliseconds, nowMs = 3_000))
    }
}
