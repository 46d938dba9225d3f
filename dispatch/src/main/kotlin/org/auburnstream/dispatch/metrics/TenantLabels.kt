package org.auburnstream.dispatch.metrics

import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.TenantName
import kotlin.time.Duration.Companion.seconds

/** Refused calls of one [tenant] label, HTTP [status] and [cause]. */
internal data class RefusalKey(val tenant: String, val status: Int, val cause: String)

/**
 * Labels of the tenants [named], in the metrics: the first [MAX_NAMED] by name, and [OTHER] for all further ones.
 *
 * Answers catalogs with any number of tenants that come and go: the number of time series stays bounded.
 */
internal class TenantLabels(named: Collection<TenantName>) {
    private val shown = named.sorted().take(MAX_NAMED).mapTo(HashSet()) { it.value }

    /** Returns the label of the tenant [name]. */
    fun labelOf(name: String): String = if (name == NONE || name in shown) name else OTHER

    /** Returns [values] added up by label, in the order of the labels. */
    fun <T> sum(values: Map<TenantName, T>, value: (T) -> Long): Map<String, Long> =
        values.entries.groupBy({ labelOf(it.key.value) }) { value(it.value) }.mapValues { it.value.sum() }.toSortedMap()

    companion object {
        const val MAX_NAMED = 32

        /** Label of all tenants that are not named. */
        const val OTHER = "other"

        /** Label of calls without a tenant. */
        const val NONE = ""
    }
}

/**
 * Counts refused calls by tenant, status and cause.
 *
 * Counts of a tenant that is no longer named move to [TenantLabels.OTHER], so that no call is lost from the total.
 */
internal class RefusalCounts {
    private val counts = HashMap<RefusalKey, Long>()

    /** Refusals by label, status and cause since the process began. */
    val totals: Map<RefusalKey, Long>
        get() = counts

    /** Counts a refusal with [status] for [cause] of a call of [tenant], or of no tenant if that is null. */
    fun count(labels: TenantLabels, tenant: TenantName?, status: Int, cause: String) {
        val key = RefusalKey(labels.labelOf(tenant?.value ?: TenantLabels.NONE), status, cause)
        counts.merge(key, 1, Long::plus)
    }

    /** Moves the counts of tenants without a label of their own in [labels]. */
    fun relabel(labels: TenantLabels) {
        for (key in counts.keys.filter { labels.labelOf(it.tenant) != it.tenant && it.tenant != TenantLabels.OTHER }) {
            val count = counts.remove(key) ?: continue
            counts.merge(key.copy(tenant = TenantLabels.OTHER), count, Long::plus)
        }
    }
}

/**
 * Decides which refusals get a log line: one a second for each status, with the number since the line before.
 *
 * Answers a flood of calls with a wrong key: the log stays readable, and no call is left out of the count.
 */
internal class DenialLines {
    private val lastLine = HashMap<Int, MonotonicTime>()
    private val unlogged = HashMap<Int, Long>()

    /** Returns the number of refusals with [status] that the line of this one stands for, or null for no line. */
    fun next(status: Int, now: MonotonicTime): Long? {
        val count = (unlogged[status] ?: 0) + 1
        val isDue = lastLine[status]?.let { now - it >= INTERVAL } ?: true
        unlogged[status] = if (isDue) 0 else count
        if (isDue) lastLine[status] = now
        return count.takeIf { isDue }
    }

    private companion object {
        val INTERVAL = 1.seconds
    }
}
