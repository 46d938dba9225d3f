package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which jobs a tenant submits within its [Tenant.weight], by a token bucket for each tenant.
 *
 * Handles a tenant that sends many times its usual: its jobs beyond the weight are marked, so that they wait behind and
 * are refused before those of all tenants that keep within theirs. The buckets are the leader's own; those of a new
 * leader are full, which favours callers.
 */
internal class TenantRates {
    private val buckets = HashMap<TenantName, Bucket>()

    /** Counts a job of [tenant], and returns whether it is within the tenant's weight. */
    fun take(tenant: Tenant, now: MonotonicTime): Boolean = bucketOf(tenant, now).take()

    /** Counts a job of the tenant as not submitted, because it was not accepted. */
    fun giveBack(tenant: TenantName) {
        buckets[tenant]?.let { it.tokens += 1 }
    }

    /**
     * Returns the time after which a refused caller of [tenant] should come again, at most [LONGEST_PAUSE].
     *
     * Callers that are refused one after the other get times at which the tenant may send one job each.
     */
    fun pause(tenant: Tenant, now: MonotonicTime): Duration {
        val bucket = bucketOf(tenant, now)
        val each = (1 / tenant.weight).coerceAtMost(LONGEST_PAUSE.inWholeSeconds.toDouble()).seconds
        val next = maxOf(now + each * (1 - bucket.tokens).coerceAtLeast(0.0), bucket.invitedUntil + each)
        val pause = minOf(next - now, LONGEST_PAUSE)
        bucket.invitedUntil = now + pause
        return pause
    }

    private fun bucketOf(tenant: Tenant, now: MonotonicTime): Bucket {
        val size = maxOf(1.0, tenant.weight * BURST.inWholeSeconds)
        val bucket = buckets.getOrPut(tenant.name) { Bucket(size, now) }
        val refilled = bucket.tokens + tenant.weight * (now - bucket.filledAt).inWholeMilliseconds / MS_PER_SECOND
        bucket.tokens = minOf(size, refilled)
        bucket.filledAt = now
        return bucket
    }

    /** @property invitedUntil when the caller that was refused last should come again. */
    private class Bucket(var tokens: Double, var filledAt: MonotonicTime, var invitedUntil: MonotonicTime = filledAt) {
        fun take(): Boolean {
            if (tokens < 1) return false
            tokens -= 1
            return true
        }
    }

    internal companion object {
        /**
         * Time whose jobs a full bucket holds: a few seconds at several times the weight, so that a tenant whose mean
         * is within its weight is so in its peaks as well.
         */
        val BURST: Duration = 20.seconds

        /** A few objectives; a caller that is told to wait longer has given up. */
        val LONGEST_PAUSE: Duration = 10.seconds
        private const val MS_PER_SECOND = 1_000.0
    }
}
