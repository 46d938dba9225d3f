package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks the health of one target on one daemon and ejects it after consecutive failures.
 *
 * The ejection time doubles with each ejection. After that time, the target is probed with one request at a time,
 * and the first success reinstates it with a slow start.
 */
internal class TargetHealth(private val settings: HealthSettings, since: MonotonicTime) {
    private var failures = 0
    private var ejections = 0
    private var ejectedUntil: MonotonicTime? = null
    private var inServiceSince = since

    /** Whether the target is ejected and receives no requests other than probes. */
    val ejected: Boolean get() = ejectedUntil != null

    /** Whether the consecutive failures have reached the threshold for an ejection. */
    val shouldEject: Boolean get() = !ejected && failures >= settings.failureThreshold

    fun recordSuccess(now: MonotonicTime) {
        failures = 0
        if (!ejected) return
        ejectedUntil = null
        inServiceSince = now
    }

    fun recordFailure(now: MonotonicTime) {
        failures++
        if (ejected) eject(now)
    }

    fun eject(now: MonotonicTime) {
        val doublings = ejections.coerceAtMost(MAX_DOUBLINGS)
        val time = minOf(settings.baseEjection * (1 shl doublings), settings.maxEjection)
        ejectedUntil = now + time
        ejections++
    }

    /** Resets the ejection backoff after the target was in service for [HealthSettings.maxEjection]. */
    fun resetEjectionsIfStable(now: MonotonicTime) {
        if (!ejected && now - inServiceSince > settings.maxEjection) ejections = 0
    }

    /** Returns whether a probe may be sent; the caller must ensure that only one is in progress. */
    fun probeDue(now: MonotonicTime): Boolean = ejectedUntil.let { it != null && now >= it }

    /** Returns whether any request may be used as the probe, since no idempotent one arrived for a long time. */
    fun probeOverdue(now: MonotonicTime): Boolean = ejectedUntil.let { it != null && now >= it + settings.maxEjection }

    /** Returns the ratio of its slots that the target may use, 0.0 to 1.0; grows during slow start. */
    fun slotRatio(now: MonotonicTime): Double {
        if (ejected) return 0.0
        val elapsed = now - inServiceSince
        if (elapsed >= settings.slowStart || settings.slowStart == Duration.ZERO) return 1.0
        return (elapsed / settings.slowStart).coerceAtLeast(INITIAL_SLOT_RATIO)
    }

    private companion object {
        const val INITIAL_SLOT_RATIO = 0.2
        const val MAX_DOUBLINGS = 10
    }
}
