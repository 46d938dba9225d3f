package org.auburnstream.daemon.observability

import org.auburnstream.model.NotRunReason
import org.auburnstream.model.Outcome
import org.auburnstream.model.ServiceId
import org.auburnstream.model.UnknownReason
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against metrics with wrong labels, outdated values or incomplete definitions. */
class DaemonMetricsTest {
    private val metrics = DaemonMetrics()

    @Test
    fun countsRequestsByServiceAndResult() {
        metrics.recordRequest(ServiceId("print"), Outcome.Answered("whole"), 3.milliseconds)
        metrics.recordRequest(ServiceId("print"), Outcome.NotRun(NotRunReason.DISPLACED, 1.seconds), 3.milliseconds)
        metrics.recordRequest(null, Outcome.Unknown(UnknownReason.CONNECTION_LOST), 3.milliseconds)

        val text = scrape()
        assertContains(text, "auburnstream_requests_total{result=\"answered\",service=\"print\"} 1.0")
        assertContains(text, "auburnstream_requests_total{result=\"not_run_displaced\",service=\"print\"} 1.0")
        assertContains(text, "auburnstream_requests_total{result=\"unknown\",service=\"unknown\"} 1.0")
        assertContains(text, "auburnstream_request_duration_seconds_bucket{service=\"print\",le=\"0.005\"} 2")
    }

    @Test
    fun gaugesAreReadAtEachScrape() {
        var version = 1
        metrics.gauge(DaemonMetricDefinitions.SettingsVersion) { version }
        metrics.labelledGauge(DaemonMetricDefinitions.GroupRole) { listOf(MetricSample(listOf("leader"), 1.0)) }

        assertContains(scrape(), "auburnstream_settings_version 1.0")
        version = 2
        assertContains(scrape(), "auburnstream_settings_version 2.0")
        assertContains(scrape(), "auburnstream_group_role{role=\"leader\"} 1.0")
    }

    @Test
    fun processMetricsAreExposed() {
        val text = scrape()

        listOf("process_cpu_seconds_total", "process_resident_memory_bytes", "jvm_heap_used_bytes").forEach { name ->
            val value = text.lines().single { it.startsWith("$name ") }.substringAfter(' ').toDouble()
            assertTrue(value > 0, "$name is $value")
        }
    }

    @Test
    fun definitionsAreCompleteAndDistinct() {
        val names = DaemonMetricDefinitions.all.map { it.name }

        assertEquals(names.distinct(), names)
        assertTrue(DaemonMetricDefinitions.all.all { it.help.endsWith(".") })
    }

    private fun scrape(): String = metrics.scrape().decodeToString()
}
