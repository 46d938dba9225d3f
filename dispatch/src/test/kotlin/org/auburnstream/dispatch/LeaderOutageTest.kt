package org.auburnstream.dispatch

import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards callers against waiting through a known outage, and against using up their tries before it ends. */
class LeaderOutageTest {
    private val outage = LeaderOutage()

    @Test
    fun requestsWaitOnceTheOutageIsLongerThanAnElection() {
        outage.missing(at(0.seconds))

        assertTrue(outage.mayEndSoon(at(2.seconds)))
        assertFalse(outage.mayEndSoon(at(2_500.milliseconds)))
    }

    /** The link to a process that lost power stays open for a while, in which requests get no answer. */
    @Test
    fun theOutageBeginsOnlyWhenTheLinkIsClosed() {
        outage.unanswered(at(200.milliseconds))
        outage.unanswered(at(900.milliseconds))
        assertNull(outage.age(at(1.seconds)))
        outage.missing(at(1_700.milliseconds))

        assertEquals(1_800.milliseconds, outage.age(at(2.seconds)))
    }

    @Test
    fun aSingleLostAnswerCountsAsAnOutage() {
        outage.unanswered(at(0.seconds))
        outage.served()
        outage.missing(at(9.seconds))

        assertEquals(1.seconds, outage.age(at(10.seconds)))
    }

    /** The group has a quorum again, so the time that the outage has lasted tells nothing about the rest of it. */
    @Test
    fun callersAreSentAwayForLongThoughALeaderIsAboutToServe() {
        outage.missing(at(0.seconds))
        outage.idle(at(6.seconds))

        assertTrue(outage.mayEndSoon(at(7.seconds)))
        assertTrue((0..100).all { outage.returnAfter(at(7.seconds), it) == 1.seconds })
        assertFalse(outage.mayEndSoon(at(9.seconds)))
    }

    @Test
    fun aCallerWithFourRetriesUsesThemUpInADarkGroup() {
        for (key in keys) {
            for (startMs in 0L..9_500L step 100) {
                assertTrue(retriesUntilServed(key, startMs.milliseconds) <= 4, "key $key from $startMs ms")
            }
        }
    }

    private fun retriesUntilServed(key: Int, start: Duration): Int {
        val dark = LeaderOutage().apply { missing(at(0.seconds)) }
        var now = start
        var retries = 0
        while (now < 9_500.milliseconds && retries < MAX_RETRIES) {
            // The request itself waits for an election before it is refused.
            val held = if (dark.mayEndSoon(at(now))) minOf(now + 1_500.milliseconds, 2_500.milliseconds) else now
            now = maxOf(now, held)
            now += dark.returnAfter(at(now), key)
            retries += 1
        }
        return retries
    }

    /** A leader that stays connected without a request from callers ends the outage. */
    @Test
    fun anEndedOutageIsHeldAgainstTheNextOne() {
        outage.missing(at(0.seconds))
        outage.connected(at(3.seconds))
        assertEquals(3.seconds, outage.age(at(3.seconds)))
        outage.connected(at(6.seconds))
        assertEquals(null, outage.age(at(6.seconds)))

        outage.missing(at(20.seconds))
        assertTrue(outage.mayEndSoon(at(21.seconds)))
    }

    @Test
    fun callersReturnInOneWaveOrAfterTheirBound() {
        outage.missing(at(0.seconds))
        val returns = keys.groupingBy { outage.returnAfter(at(8.seconds), it) }.eachCount()

        assertEquals((4..8).map { it.seconds }.toSet(), returns.keys)
        assertTrue(returns.values.all { it < keys.size / 3 }, "$returns")
        assertTrue(keys.all { outage.returnAfter(at(1.seconds * 3_600), it) <= 8.seconds })
    }

    private val keys = (0 until 500).map { "/queue/%016x".format(it * 77L).hashCode() }

    private fun at(time: Duration): MonotonicTime = MonotonicTime.Zero + 5.seconds + time

    private companion object {
        /** Ends the loop of a test whose outage never ends. */
        const val MAX_RETRIES = 20
    }
}
