package org.auburnstream.routing

import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.CreditTracker
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Selects the target of a request among the targets that may serve it and have a free slot. */
internal class TargetSelector(
    private val dataCentre: DataCentreId,
    private val settings: RoutingSettings,
    private val targets: TargetTable,
    private val credits: CreditTracker,
) {
    var placement: Placement? = null

    /** Returns whether [target] may receive new requests, regardless of its slots and health. */
    fun mayServe(target: Target, now: MonotonicTime): Boolean = !target.announcement.leaving &&
        !targets.isExpired(target, now) &&
        placement?.mayServe(target.vm, target.service) != false

    /**
     * Returns the target with the lowest expected response time for [request], or null if none has a free slot.
     *
     * Targets in [triedVms] are excluded.
     */
    fun select(request: PendingRequest, now: MonotonicTime, triedVms: Set<VmId> = request.triedVms): Target? {
        val serving = targets.of(request.service).filter { mayServe(it, now) }
        val untried = if (triedVms.isEmpty()) serving else serving.filter { it.vm !in triedVms }
        val typical = typicalTime(serving)
        return untried
            .filter { hasSlot(it, request, now) }
            .minByOrNull { expectedTime(it, typical, now) }
    }

    /** Returns the number of slots that this daemon may use at [target]: its credits, reduced during slow start. */
    fun slots(target: Target, now: MonotonicTime): Int {
        val creditLimit = minOf(credits.limit(target.vm, now), connections(target))
        val ratio = target.health.slotRatio(now)
        if (ratio >= 1.0) return creditLimit
        return ceil(creditLimit * ratio).toInt()
    }

    /**
     * Returns the maximum number of connections of this daemon to [target].
     *
     * The share is static, so that the total of all daemons is never exceeded while slots move between daemons.
     */
    fun connections(target: Target): Int = credits.staticShare(target.announcement.connections)

    private fun hasSlot(target: Target, request: PendingRequest, now: MonotonicTime): Boolean {
        val health = target.health
        if (!health.ejected) return credits.inUse(target.vm) < slots(target, now)
        val mayReceiveProbe = health.probeDue(now) && request.mayProbe || health.probeOverdue(now)
        return mayReceiveProbe && credits.inUse(target.vm) == 0 && credits.limit(target.vm, now) > 0
    }

    private fun expectedTime(target: Target, typical: Duration, now: MonotonicTime): Duration {
        if (target.health.ejected) return Duration.ZERO
        val time = if (target.runTime.hasSamples) target.runTime.typical else typical
        val load = (credits.inUse(target.vm) + 1).toDouble() / slots(target, now).coerceAtLeast(1)
        val isLocal = target.announcement.dataCentre == dataCentre
        val distancePenalty = if (isLocal) Duration.ZERO else settings.crossDataCentrePenalty
        return time * (1.0 + load) + distancePenalty
    }

    private fun typicalTime(serving: List<Target>): Duration {
        val known = serving.filter { it.runTime.hasSamples }
        if (known.isEmpty()) return DEFAULT_RUN_TIME
        return known.fold(Duration.ZERO) { sum, target -> sum + target.runTime.typical } / known.size
    }

    private companion object {
        val DEFAULT_RUN_TIME = 1_000_000.nanoseconds
    }
}
