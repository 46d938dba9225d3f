package org.auburnstream.dispatch

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that the process was suspended.
 *
 * The monotonic clock may stand still during a suspension, so its advance is compared with that of the time of day.
 */
internal class SuspensionDetector {
    private var lastCheckAt: MonotonicTime? = null
    private var lastTimeOfDayMs = 0L

    /** Time at which the latest suspension was detected, or null if there was none. */
    var resumedAt: MonotonicTime? = null
        private set

    /**
     * Compares both clocks with their values at the last call.
     *
     * @return true if the time of day ran ahead of the monotonic clock, or if the last call is too long ago.
     */
    fun check(now: MonotonicTime, nowMs: Long): Boolean {
        val last = lastCheckAt
        val gap = if (last == null) 0 else (nowMs - lastTimeOfDayMs) - (now - last).inWholeMilliseconds
        val isOverdue = last != null && now - last > MAX_CHECK_INTERVAL
        lastCheckAt = now
        lastTimeOfDayMs = nowMs
        val isSuspended = gap > GAP_MS || isOverdue
        if (isSuspended) resumedAt = now
        return isSuspended
    }

    private companion object {
        /** Longer than a clock correction between two iterations of the event loop, shorter than an election. */
        const val GAP_MS = 200L

        /** The event loop iterates at least ten times a second, so a longer pause is a suspension. */
        val MAX_CHECK_INTERVAL: Duration = 500.milliseconds
    }
}
