package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that [DemandTrend] extrapolates a steady rise, but not single jobs or demand that stays or falls. */
class DemandTrendTest {
    private val trend = DemandTrend()
    private var now = MonotonicTime.Zero

    private fun observe(demand: Long) {
        now += 100.milliseconds
        trend.observe(demand, now)
    }

    @Test
    fun aSteadyRiseIsExtrapolated() {
        repeat(40) { observe(it * 5_000L) }

        assertTrue(trend.growth(2.seconds) in 90_000..100_000, "${trend.growth(2.seconds)}")
    }

    @Test
    fun steadyOrFallingDemandHasNoGrowth() {
        repeat(40) { observe(50_000) }
        assertEquals(0, trend.growth(2.seconds))
        repeat(40) { observe(50_000L - it * 1_000) }
        assertEquals(0, trend.growth(2.seconds))
    }

    @Test
    fun aSingleJobHasLittleEffectOnTheTrend() {
        repeat(20) { observe(0) }
        observe(15_000)
        assertTrue(trend.growth(2.seconds) <= 2 * 15_000)
        repeat(20) { observe(15_000) }
        assertTrue(trend.growth(2.seconds) < 5_000, "${trend.growth(2.seconds)}")
    }

    @Test
    fun twoObservationsAtTheSameTimeAreSafe() {
        observe(1_000)
        trend.observe(5_000, now)

        assertEquals(0, trend.growth(1.seconds))
    }
}
