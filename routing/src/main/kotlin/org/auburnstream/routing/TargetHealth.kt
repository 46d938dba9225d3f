package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Health of one target as seen by one daemon.
 *
 * Consecutive failures eject it for a time that doubles with each ejection. After that time a single request at a
 * time probes it, and the first success returns it with a slow start.
 */
internal class TargetHealth(private val settings: HealthSettings, since: MonotonicTime) {
    private var failures = 0
    private var ejections = 0
    private var ejectedUntil: MonotonicTime? = null
    private var inServiceSince = since

    /** Whether the target gets no work, or only probes. */
    val ejected: Boolean get() = ejectedUntil != null

    /** Whether enough failures followed each other to eject the target. */
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

    /** Forgives earlier ejections after a long time in service. */
    fun resetEjectionsIfStable(now: MonotonicTime) {
        if (!ejected && now - inServiceSince > settings.maxEjection) ejections = 0
    }

    /** Returns whether a probe may be sent; the caller makes sure that only one is in progress. */
    fun probeDue(now: MonotonicTime): Boolean = ejectedUntil.let { it != null && now >= it }

    /** Returns whether any request may be the probe, since none that can be repeated came in a long time. */
    fun probeOverdue(now: MonotonicTime): Boolean = ejectedUntil.let { it != null && now >= it + settings.maxEjection }

    /** Part of its slots that the target may be given, 0.0 to 1.0. */
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
