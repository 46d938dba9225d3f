package org.auburnstream.dispatch.metrics

import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.TenantName
import org.auburnstream.scheduling.TenantUsage
import org.auburnstream.scheduling.tenantUsage

/**
 * Metrics by tenant, and log lines of refused calls; neither contains a key or its digest.
 *
 * At most 32 tenants have series of their own, see [TenantLabels]. Without tenants in the catalog nothing is recorded.
 *
 * @property clock returns the reading of the process's monotonic clock.
 */
public class TenantMetrics(private val metrics: NodeMetrics, private val clock: () -> MonotonicTime) {
    private val log = LineLog("tenants")
    private val refusals = RefusalCounts()
    private val lines = DenialLines()
    private var catalog: Catalog? = null
    private var labels = TenantLabels(emptyList())

    init {
        metrics.counters(
            "auburnstream_tenant_refusals",
            "Calls refused at the leader, by tenant (empty for none), status and cause.",
            listOf("tenant", "status", "cause"),
        ) {
            refusals.totals.map { (key, count) -> listOf(key.tenant, key.status.toString(), key.cause) to count }
        }
    }

    /** Shows processor time in use and waiting jobs by tenant, as of the state that [state] returns at each scrape. */
    public fun show(state: () -> SchedulerState) {
        fun gauge(name: String, help: String, value: (TenantUsage) -> Long) = metrics.gauges(name, help, "tenant") {
            update(state().catalog)
            labels.sum(state().tenantUsage(), value)
        }
        gauge("auburnstream_tenant_running_millicores", "Processor time of runs that may be in progress, by tenant.") {
            it.running.millicores
        }
        gauge("auburnstream_tenant_jobs_waiting", "Accepted jobs that have not started, by tenant.") {
            it.waiting.toLong()
        }
    }

    /**
     * Records that a call with [path] was refused.
     *
     * @param catalog catalog by which the call was judged.
     * @param queue name of the call's queue, or null if there is none.
     * @param tenant tenant of the call's key, or null if it has none.
     * @param cause one of a fixed set of causes.
     */
    public fun refused(
        catalog: Catalog?,
        path: String,
        queue: String?,
        tenant: TenantName?,
        status: Int,
        cause: String,
    ) {
        if (catalog == null || catalog.tenants.isEmpty()) return
        update(catalog)
        refusals.count(labels, tenant, status, cause)
        if (status != UNAUTHORIZED && status != FORBIDDEN) return
        val count = lines.next(status, clock()) ?: return
        log.note(
            "call_denied",
            "path" to path,
            "status" to status,
            "cause" to cause,
            "queue" to queue,
            "tenant" to tenant,
            "catalog" to catalog.version,
            "count" to count,
        )
    }

    private fun update(current: Catalog?) {
        if (current === catalog) return
        catalog = current
        labels = TenantLabels(current?.tenants.orEmpty().map { it.name })
        refusals.relabel(labels)
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
    }
}
