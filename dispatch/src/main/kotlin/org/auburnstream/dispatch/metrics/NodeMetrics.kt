package org.auburnstream.dispatch.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.auburnstream.dispatch.CommitOutcome
import org.auburnstream.scheduling.Action
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Prometheus metrics of one dispatch process; counters and histograms register at their first value. */
public class NodeMetrics {
    private val registry = PrometheusRegistry()
    private val requests by lazy {
        Counter.builder().name("auburnstream_requests_total").help("Requests answered, by listener and status.")
            .labelNames("listener", "status").register(registry)
    }
    private val requestTime by lazy {
        Histogram.builder().name("auburnstream_request_seconds").help("Time from request to answer.")
            .labelNames("listener").classicOnly().classicUpperBounds(*BUCKET_BOUNDS_SECONDS).register(registry)
    }
    private val notForwarded by lazy {
        Counter.builder().name("auburnstream_requests_not_forwarded_total")
            .help("Requests given up without an answer of the leader, by cause.")
            .labelNames("cause").register(registry)
    }
    private val orders by lazy {
        Counter.builder().name("auburnstream_orders_total").help("Orders sent to workers and the platform, by kind.")
            .labelNames("kind").register(registry)
    }
    private val events by lazy {
        Counter.builder().name("auburnstream_events_total").help("Decisions and changes of belief, by log event.")
            .labelNames("event").register(registry)
    }
    private val commitTime by lazy {
        Histogram.builder().name("auburnstream_commit_seconds").help("Time from proposal to commitment of a batch.")
            .classicOnly().classicUpperBounds(*BUCKET_BOUNDS_SECONDS).register(registry)
    }
    private val batches by lazy {
        Counter.builder().name("auburnstream_batches_total").help("Batches proposed, by outcome.")
            .labelNames("outcome").register(registry)
    }
    private val records by lazy {
        Counter.builder().name("auburnstream_records_total").help("Records committed.").register(registry)
    }

    /** Records a response with [status] and the time that the request took. */
    public fun recordResponse(listener: String, status: Int, elapsed: Duration) {
        requests.labelValues(listener, status.toString()).inc()
        requestTime.labelValues(listener).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a request that was given up for [cause] without an answer of the leader. */
    public fun countNotForwarded(cause: String) {
        notForwarded.labelValues(cause).inc()
    }

    /** Counts an order that is sent to a worker, the advice service or the platform. */
    public fun countOrder(action: Action) {
        orders.labelValues(action.javaClass.simpleName.lowercase()).inc()
    }

    /** Counts a log event, also one whose line the log dropped. */
    public fun countEvent(event: String) {
        events.labelValues(event).inc()
    }

    /** Records the [outcome] of a batch of [count] records whose proposal took [elapsed] to complete. */
    public fun recordCommit(outcome: CommitOutcome, elapsed: Duration, count: Int) {
        batches.labelValues(outcome.label).inc()
        commitTime.observe(elapsed.toDouble(DurationUnit.SECONDS))
        records.inc(count.toDouble())
    }

    /** Registers the gauge [name], whose value is read with [read] at each scrape. */
    public fun gauge(name: String, help: String, read: () -> Number) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read().toDouble()) }.register(registry)
    }

    /** Registers the gauge [name], whose values by [label] are read with [read] at each scrape. */
    internal fun gauges(name: String, help: String, label: String, read: () -> Map<String, Number>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { gauge -> read().forEach { (key, value) -> gauge.call(value.toDouble(), key) } }
            .register(registry)
    }

    /** Registers the counter [name], whose values by [labels] are read with [read] at each scrape. */
    internal fun counters(
        name: String,
        help: String,
        labels: List<String>,
        read: () -> List<Pair<List<String>, Long>>,
    ) {
        CounterWithCallback.builder().name(name).help(help).labelNames(*labels.toTypedArray())
            .callback { counter ->
                read().forEach { (keys, value) -> counter.call(value.toDouble(), *keys.toTypedArray()) }
            }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        val BUCKET_BOUNDS_SECONDS =
            doubleArrayOf(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
    }
}
