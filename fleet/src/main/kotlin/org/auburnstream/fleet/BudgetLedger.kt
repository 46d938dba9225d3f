package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Records how much VM-time of shortfall one service has spent from its availability budget, split into planned and
 * unplanned shortfall.
 *
 * The window is divided into [BUCKETS_PER_WINDOW] equal buckets, which bounds the size of the ledger. A bucket is
 * removed only once all of it lies outside the window, so the sum never understates the shortfall in the window.
 *
 * @property live true once the service has reached its target for the first time; no shortfall is counted earlier.
 * @property since time up to which shortfall has been counted.
 */
@Serializable
internal data class BudgetLedger(
    val spec: ServiceSpec,
    val live: Boolean = false,
    val since: Instant,
    val capacity: ServiceCapacity = ServiceCapacity(),
    val buckets: List<SpentBucket> = emptyList(),
) {
    /** Returns the ledger with all shortfall up to [at] counted and [capacity] as the capacity from [at] on. */
    fun record(capacity: ServiceCapacity, at: Instant): BudgetLedger {
        val accrued = accrueUntil(at)
        return accrued.copy(live = live || capacity.available >= spec.target, capacity = capacity)
    }

    /** Returns the ledger with [spec] in force from [at] on. */
    fun withSpec(spec: ServiceSpec, at: Instant): BudgetLedger = accrueUntil(at).copy(spec = spec)

    /** Returns the shortfall spent inside the window that ends at [at]. */
    fun spent(at: Instant): BudgetSpent {
        val inWindow = accrueUntil(at).buckets
        return BudgetSpent(
            planned = inWindow.fold(Duration.ZERO) { sum, bucket -> sum + bucket.planned },
            unplanned = inWindow.fold(Duration.ZERO) { sum, bucket -> sum + bucket.unplanned },
        )
    }

    /** Returns the budget limit that a drop to [available] VMs could exceed at [at], or null if there is none. */
    fun exceededLimit(available: Int, at: Instant): BudgetLimit? {
        val budget = spec.budget
        val shortfall = (spec.target - available).coerceAtLeast(0)
        if (shortfall > budget.maxShortfall) return BudgetLimit.SHORTFALL
        if (shortfall == 0) return null
        val projected = spent(at).total + budget.maxOutage * shortfall
        return if (projected > budget.allowance) BudgetLimit.ALLOWANCE else null
    }

    private fun accrueUntil(at: Instant): BudgetLedger {
        if (at <= since) return this
        if (!live) return copy(since = at)
        val builder = SpentBuilder(spec.budget.window / BUCKETS_PER_WINDOW, buckets)
        var from = since
        val outageLimits =
            capacity.plannedSince.map { it + spec.budget.maxOutage }.filter { it > since && it < at }.sorted()
        for (until in outageLimits + at) {
            val planned = capacity.plannedSince.count { it + spec.budget.maxOutage > from }
            builder.add(from, until, shortfallOf(planned))
            from = until
        }
        return copy(since = at, buckets = builder.build(at - spec.budget.window))
    }

    /** Splits the shortfall; it is attributed to planned outages first, the rest is unplanned. */
    private fun shortfallOf(planned: Int): Shortfall {
        val missing = (spec.target - capacity.available).coerceAtLeast(0)
        val plannedPart = missing.coerceAtMost(planned)
        return Shortfall(planned = plannedPart, unplanned = missing - plannedPart)
    }
}

/** Number of equal buckets that the window of a budget is divided into. */
internal const val BUCKETS_PER_WINDOW: Int = 64

/**
 * Capacity of a service at one time.
 *
 * @property available VMs that take work for the service.
 * @property plannedSince start times of the planned outages in progress.
 */
@Serializable
internal data class ServiceCapacity(val available: Int = 0, val plannedSince: List<Instant> = emptyList())

/** Shortfall in VM-time between [start] and the start of the next bucket. */
@Serializable
internal data class SpentBucket(val start: Instant, val planned: Duration, val unplanned: Duration)

/** VM-time of shortfall that a service has spent inside its window. */
@Serializable
public data class BudgetSpent(val planned: Duration, val unplanned: Duration) {
    /** Sum of planned and unplanned shortfall. */
    public val total: Duration get() = planned + unplanned
}

private class Shortfall(val planned: Int, val unplanned: Int)

private class SpentBuilder(private val width: Duration, buckets: List<SpentBucket>) {
    private val buckets = buckets.toMutableList()

    fun add(from: Instant, until: Instant, shortfall: Shortfall) {
        if (shortfall.planned == 0 && shortfall.unplanned == 0) return
        var start = from
        while (start < until) {
            val bucket = startOfBucket(start)
            val end = minOf(until, bucket + width)
            addToBucket(bucket, end - start, shortfall)
            start = end
        }
    }

    fun build(oldest: Instant): List<SpentBucket> = buckets.filter { it.start + width > oldest }

    private fun addToBucket(start: Instant, time: Duration, shortfall: Shortfall) {
        val last = buckets.lastOrNull()?.takeIf { it.start == start }
        val old = last ?: SpentBucket(start, Duration.ZERO, Duration.ZERO)
        val new = SpentBucket(start, old.planned + time * shortfall.planned, old.unplanned + time * shortfall.unplanned)
        if (last == null) buckets += new else buckets[buckets.lastIndex] = new
    }

    private fun startOfBucket(at: Instant): Instant {
        val widthMillis = width.inWholeMilliseconds.coerceAtLeast(1)
        return Instant.fromEpochMilliseconds(at.toEpochMilliseconds().floorDiv(widthMillis) * widthMillis)
    }
}
