package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Bounds a worker's own clock from below, and remembers how far the leases that were granted there reach.
 *
 * A reading is never ahead of the worker's clock at the time it arrives, and the clock is slow by a bounded share.
 * The estimate is the highest that both allow, so it never runs ahead of the worker, however long a leadership lasts.
 *
 * @property slowness share by which the clock may be slow.
 */
internal class WorkerClock(private val slowness: Double) {
    private var readingMs = 0L
    private var readAt: MonotonicTime? = null

    /** Latest time on the worker's clock that any lease may reach, or null if none is known. */
    var grantedUntilMs: Long? = null
        private set

    val isKnown: Boolean
        get() = readAt != null

    fun observe(clockMs: Long, now: MonotonicTime) {
        if (isKnown && clockMs < earliestMs(now)) return
        readingMs = clockMs
        readAt = now
    }

    /** The earliest that the clock may show. */
    fun earliestMs(now: MonotonicTime): Long =
        readingMs + ((readingAge(now) ?: Duration.ZERO) * (1 - slowness)).inWholeMilliseconds

    /** Age of the reading that the estimate rests on, or null before the first. */
    fun readingAge(now: MonotonicTime): Duration? = readAt?.let { now - it }

    /** Returns the end of a lease of [duration] from now on, and remembers it. */
    fun grant(now: MonotonicTime, duration: Duration): Long {
        val until = earliestMs(now) + duration.inWholeMilliseconds
        recordGrant(until)
        return until
    }

    /** Notes that an earlier leader may have granted [duration] until the clock showed [clockMs]. */
    fun assumeGranted(clockMs: Long, duration: Duration) = recordGrant(clockMs + duration.inWholeMilliseconds)

    private fun recordGrant(untilMs: Long) {
        grantedUntilMs = maxOf(grantedUntilMs ?: untilMs, untilMs)
    }
}
