package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against leases that end later on the worker's clock than the leader assumes.
 *
 * This happens if the estimate runs ahead of a slow clock, or if the margin for the worker's timer is missing.
 */
class WorkerClockTest {
    private val lease = 6.seconds

    @Test
    fun leasesOnASlowClockGrowWithTheAgeOfALeadership() {
        val worker = Clock(rate = 1 - SLOWNESS)
        val clock = WorkerClock(SLOWNESS)
        while (worker.now < MonotonicTime.Zero + 1.hours) {
            worker.advance(1_500.milliseconds)
            clock.observe(worker.readingMs, worker.now)
        }
        val until = clock.grant(worker.now, lease)

        assertTrue(until <= worker.readingMs + lease.inWholeMilliseconds, "$until at ${worker.readingMs}")
    }

    @Test
    fun theEstimateIsNeverAheadOfTheClockAndFollowsItClosely() {
        repeat(200) { seed ->
            val random = Random(seed)
            val worker = Clock(rate = random.nextDouble(1 - SLOWNESS, 1.0))
            val clock = WorkerClock(SLOWNESS)
            repeat(500) {
                val readingMs = worker.readingMs
                // A report may be delayed, and later reports may overtake it.
                worker.advance(random.nextLong(1, if (it % 10 == 9) 3_000 else 5).milliseconds)
                clock.observe(readingMs, worker.now)
                worker.advance(random.nextLong(0, 2_000).milliseconds)
                val estimate = clock.earliestMs(worker.now)
                assertTrue(estimate <= worker.readingMs, "seed $seed: $estimate at ${worker.readingMs}")
                // Allows for a late reading, which is ignored, and for the drift since the last reading but one.
                assertTrue(estimate >= worker.readingMs - 200, "seed $seed: $estimate at ${worker.readingMs}")
            }
        }
    }

    @Test
    fun aLeaseCountsAsExpiredBeforeTheWorkersTimerHasRunOut() {
        val contact = WorkerContact(INCARNATION, MonotonicTime.Zero, SLOWNESS, epoch = 1)
        contact.recordContact(MonotonicTime.Zero, clockMs = 1_000)
        contact.answeredQueryAt = MonotonicTime.Zero
        val until = contact.clock.grant(MonotonicTime.Zero, lease)
        // By this time the slowest worker clock has reached the lease end plus the timer's delay of up to 250 ms.
        val expiry = MonotonicTime.Zero + ((until - 1_000 + 250) / (1 - SLOWNESS)).milliseconds

        assertFalse(contact.hasLeaseExpired(worker = null, expiry - 5.milliseconds, SchedulingSettings()))
        assertTrue(contact.hasLeaseExpired(worker = null, expiry + 5.milliseconds, SchedulingSettings()))
    }

    private class Clock(private val rate: Double) {
        var now = MonotonicTime.Zero
            private set

        /** Reading in whole milliseconds, as a worker reports it. */
        val readingMs: Long
            get() = ((now - MonotonicTime.Zero).inWholeMilliseconds * rate).toLong()

        fun advance(duration: Duration) {
            now += duration
        }
    }

    private companion object {
        const val SLOWNESS = 0.02
        val INCARNATION = WorkerIncarnation(WorkerId("w"), startedMs = 1)
    }
}
