package org.auburnstream.dispatch.metrics

import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.Tenant
import org.auburnstream.scheduling.TenantName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Guards against metrics and log lines that grow with the number of tenants or calls, and against lost counts. */
class TenantMetricsTest {
    private val nodeMetrics = NodeMetrics()
    private val metrics = TenantMetrics(nodeMetrics, clock = { MonotonicTime.Zero })

    @Test
    fun tenantsThatComeAndGoAddSeries() {
        repeat(20) { round ->
            val catalog = catalog(List(50) { "t-${round * 25 + it}" })
            catalog.tenants.forEach { metrics.refused(catalog, "/q/1", "q", it.name, 503, "overloaded") }
        }
        val refusals = series()
        assertTrue(refusals.size <= TenantLabels.MAX_NAMED + 1, "${refusals.size} series")
        assertEquals(1_000.0, refusals.values.sum())
    }

    @Test
    fun furtherTenantsAreAddedUp() {
        val catalog = catalog(List(40) { "t-${100 + it}" })
        catalog.tenants.forEach { metrics.refused(catalog, "/q/1", "q", it.name, 403, "other_tenant") }
        metrics.refused(catalog, "/q/1", "q", tenant = null, 401, "unknown_key")
        assertEquals(1.0, series().getValue("""cause="other_tenant",status="403",tenant="t-131""""))
        assertEquals(8.0, series().getValue("""cause="other_tenant",status="403",tenant="other""""))
        assertEquals(1.0, series().getValue("""cause="unknown_key",status="401",tenant="""""))
    }

    @Test
    fun aCatalogWithoutTenantsRecordsNothing() {
        metrics.refused(catalog(emptyList()), "/q/1", "q", tenant = null, 503, "overloaded")
        metrics.refused(null, "/q/1", queue = null, tenant = null, 503, "not_confirmed")
        assertEquals(emptyMap(), series())
    }

    @Test
    fun aFloodWritesALineForEachCall() {
        val lines = DenialLines()
        val counts = (0 until 3_500).mapNotNull { lines.next(401, MonotonicTime.Zero + it.milliseconds) }
        assertEquals(listOf(1L, 1_000, 1_000, 1_000), counts)
        assertEquals(1, lines.next(403, MonotonicTime.Zero + 3_500.milliseconds), "the other status has its own lines")
        assertEquals(500, lines.next(401, MonotonicTime.Zero + 9_000.milliseconds))
    }

    private fun catalog(names: List<String>) = Catalog(
        version = 1,
        queues = emptyList(),
        services = emptyList(),
        tenants = names.map { Tenant(TenantName(it), keys = emptyList(), weight = 1.0) },
    )

    private fun series(): Map<String, Double> = nodeMetrics.scrape().decodeToString().lines()
        .filter { it.startsWith("auburnstream_tenant_refusals_total{") }
        .associate { it.substringAfter('{').substringBefore('}') to it.substringAfter("} ").toDouble() }
}
