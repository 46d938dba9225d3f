package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which tenants use far more than their weighted share.
 *
 * Handles a tenant whose jobs are within its weight but large, so that they take most of a pool in its peak. The share
 * of a tenant is that of its dominant resource among all workers, and counts with a memory of [HALF_LIFE]: otherwise a
 * tenant would count as small at each moment at which its runs have just ended.
 */
internal class TenantShares {
    private val remembered = HashMap<TenantName, Double>()
    private var updatedAt: MonotonicTime? = null

    /**
     * Returns the tenants among [weights], those that run or wait now, that use more than [FAR_ABOVE] times their share
     * of what is in use.
     *
     * @param usage what each tenant has running.
     * @param capacity capacity of all workers.
     */
    fun update(
        usage: Map<TenantName, Resources>,
        weights: Map<TenantName, Double>,
        capacity: Resources,
        now: MonotonicTime,
    ): Set<TenantName> {
        val keep = 0.5.pow((updatedAt?.let { now - it } ?: Duration.INFINITE) / HALF_LIFE)
        updatedAt = now
        for (tenant in remembered.keys + usage.keys) {
            val current = usage[tenant]?.dominantShare(capacity) ?: 0.0
            remembered[tenant] = keep * (remembered[tenant] ?: 0.0) + (1 - keep) * current
        }
        remembered.values.removeAll { it < FORGOTTEN }
        val used = weights.keys.sumOf { remembered[it] ?: 0.0 }
        val weight = weights.values.sum()
        return weights.filter { (tenant, own) ->
            (remembered[tenant] ?: 0.0) * weight > FAR_ABOVE * own * used
        }.keys
    }

    private fun Resources.dominantShare(capacity: Resources): Double {
        fun share(own: Number, all: Number) = if (all.toLong() <= 0) 0.0 else own.toDouble() / all.toDouble()
        return maxOf(
            share(millicores, capacity.millicores),
            share(memoryMegabytes, capacity.memoryMegabytes),
            share(accelerators, capacity.accelerators),
        )
    }

    private companion object {
        /** A usual objective: usage matters to the jobs that wait beside it. */
        val HALF_LIFE: Duration = 5.seconds

        /** Twice the share is what one tenant may use while others begin or end their turns. */
        const val FAR_ABOVE = 2.0
        const val FORGOTTEN = 1e-6
    }
}
