package org.auburnstream.dispatch

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks, for a whole process, since when no leader serves, and decides what becomes of requests meanwhile.
 *
 * Load pattern: the control group loses its quorum for longer than an election takes, and every caller asks again. A
 * request waits only while an election may still end; from then on it is refused as not run at once, and callers are
 * told to return at times that spread them out and grow with the age of the outage, because an outage that has lasted
 * long is likely to last about as long again.
 *
 * Reads no clock and starts no timer. Not thread-safe.
 */
internal class LeaderOutage {
    private var suspectedAt: MonotonicTime? = null
    private var connectedSince: MonotonicTime? = null
    private var since: MonotonicTime? = null

    /** Time since which a process that leads is connected and does not serve yet, or null. */
    private var idleSince: MonotonicTime? = null

    /** Records an attempt, sent at [sentAt], that got no answer; if no leader is found then, the outage began here. */
    fun unanswered(sentAt: MonotonicTime) {
        suspectedAt = suspectedAt?.let { minOf(it, sentAt) } ?: sentAt
    }

    /** Records that no leader takes requests at [now]. */
    fun missing(now: MonotonicTime) {
        begin(now)
        connectedSince = null
        idleSince = null
    }

    /** Records that a process leads at [now] and does not serve yet. */
    fun idle(now: MonotonicTime) {
        begin(now)
        if (idleSince == null) idleSince = now
    }

    /** Records that the leader has answered a request. */
    fun served() {
        suspectedAt = null
        since = null
        idleSince = null
    }

    /** Records that a leader is connected at [now]; one that stays so for [ELECTION_TIME] ends the outage. */
    fun connected(now: MonotonicTime) {
        val since = connectedSince ?: now.also { connectedSince = it }
        if (idleSince == null && now - since >= ELECTION_TIME) served()
    }

    /** Returns the time for which no leader has served at [now], or null if one serves as far as is known. */
    fun age(now: MonotonicTime): Duration? = since?.let { now - it }

    /** Whether a leader is likely to serve soon, so that a request is worth holding at [now]. */
    fun mayEndSoon(now: MonotonicTime): Boolean {
        val start = idleSince ?: since ?: return true
        return now - start < ELECTION_TIME
    }

    /**
     * Returns the time from [now] after which a caller should ask again, in whole seconds.
     *
     * @param key identifies the request; callers with different keys return at different times.
     */
    fun returnAfter(now: MonotonicTime, key: Int): Duration {
        val age = age(now) ?: return MIN_RETURN
        if (idleSince != null && mayEndSoon(now)) return MIN_RETURN
        val estimate = age.coerceIn(MIN_RETURN, MAX_RETURN)
        val latest = wholeSeconds(estimate)
        val earliest = wholeSeconds(estimate / 2)
        // The hash of similar texts differs in few bits, which the multiplication carries to the upper ones.
        val spread = (key * HASH_FACTOR ushr HASH_SHIFT) % (latest - earliest + 1)
        return (earliest + spread).seconds
    }

    private fun begin(now: MonotonicTime) {
        if (since == null) since = suspectedAt ?: now
    }

    private fun wholeSeconds(duration: Duration): Int = (duration + ROUND_UP).inWholeSeconds.toInt()

    private companion object {
        /** Longest usual time from the loss of a leader until the next one serves, with one vote repeated. */
        val ELECTION_TIME: Duration = 2_500.milliseconds
        val MIN_RETURN: Duration = 1.seconds

        /** Bounds what a caller loses when the group returns just after it was told to wait. */
        val MAX_RETURN: Duration = 8.seconds
        val ROUND_UP: Duration = 999.milliseconds
        const val HASH_FACTOR = -1_640_531_527
        const val HASH_SHIFT = 16
    }
}
