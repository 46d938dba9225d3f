package org.auburnstream.daemon.observability

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.auburnstream.model.Outcome
import org.auburnstream.model.ServiceId
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Registry of the metrics of one daemon.
 *
 * Request metrics are updated by [recordRequest]. All other metrics are read by a callback at each scrape, so they cost
 * nothing between scrapes.
 */
public class DaemonMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = Counter.builder()
        .name(DaemonMetricDefinitions.Requests.name)
        .help(DaemonMetricDefinitions.Requests.help)
        .labelNames(*DaemonMetricDefinitions.Requests.labels.toTypedArray())
        .register(registry)

    private val requestDuration = Histogram.builder()
        .name(DaemonMetricDefinitions.RequestDuration.name)
        .help(DaemonMetricDefinitions.RequestDuration.help)
        .labelNames(*DaemonMetricDefinitions.RequestDuration.labels.toTypedArray())
        .classicOnly()
        .classicUpperBounds(*REQUEST_SECONDS)
        .register(registry)

    init {
        registerProcessMetrics(this)
    }

    /**
     * Counts a request of [service] that ended with [outcome] after [elapsed].
     *
     * Pass null as [service] if the settings do not contain it; otherwise callers could create any number of label
     * values.
     */
    public fun recordRequest(service: ServiceId?, outcome: Outcome<*>, elapsed: Duration) {
        val label = service?.value ?: UNKNOWN_SERVICE
        requests.labelValues(label, resultLabel(outcome)).inc()
        requestDuration.labelValues(label).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Registers a gauge without labels whose value [read] returns at each scrape. */
    public fun gauge(definition: MetricDefinition, read: () -> Number) {
        GaugeWithCallback.builder()
            .name(definition.name)
            .help(definition.help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    /** Registers a gauge with labels whose samples [read] returns at each scrape. */
    public fun labelledGauge(definition: MetricDefinition, read: () -> List<MetricSample>) {
        GaugeWithCallback.builder()
            .name(definition.name)
            .help(definition.help)
            .labelNames(*definition.labels.toTypedArray())
            .callback { callback -> read().forEach { callback.call(it.value, *it.labels.toTypedArray()) } }
            .register(registry)
    }

    /** Registers a counter without labels whose total [read] returns at each scrape; the total must never decrease. */
    public fun counter(definition: MetricDefinition, read: () -> Number) {
        CounterWithCallback.builder()
            .name(definition.name)
            .help(definition.help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    /** Registers a counter with labels whose totals [read] returns at each scrape; a total must never decrease. */
    public fun labelledCounter(definition: MetricDefinition, read: () -> List<MetricSample>) {
        CounterWithCallback.builder()
            .name(definition.name)
            .help(definition.help)
            .labelNames(*definition.labels.toTypedArray())
            .callback { callback -> read().forEach { callback.call(it.value, *it.labels.toTypedArray()) } }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): ByteArray {
        val out = ByteArrayOutputStream()
        textWriter.write(out, registry.scrape())
        return out.toByteArray()
    }

    public companion object {
        /** Media type of the text that [scrape] returns. */
        public const val CONTENT_TYPE: String = "text/plain; version=0.0.4; charset=utf-8"
    }
}

/** Value of a metric with labels at one scrape; [labels] holds the label values in the order of the definition. */
public class MetricSample(public val labels: List<String>, public val value: Double)

private const val UNKNOWN_SERVICE = "unknown"

private val REQUEST_SECONDS =
    doubleArrayOf(0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)

private val textWriter = PrometheusTextFormatWriter.create()

private fun resultLabel(outcome: Outcome<*>): String = when (outcome) {
    is Outcome.Answered -> "answered"
    is Outcome.NotRun -> "not_run_" + outcome.reason.name.lowercase()
    is Outcome.Unknown -> "unknown"
}
