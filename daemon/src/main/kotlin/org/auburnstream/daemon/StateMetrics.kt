package org.auburnstream.daemon

import org.auburnstream.daemon.observability.DaemonMetricDefinitions
import org.auburnstream.daemon.observability.DaemonMetrics
import org.auburnstream.daemon.observability.MetricSample
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.routing.TargetLoad
import kotlin.time.DurationUnit

/** Registers the metrics whose values are read from the control group and the request path on each scrape. */
internal fun registerStateMetrics(metrics: DaemonMetrics, control: ControlPlane, requests: RequestPath) {
    metrics.gauge(DaemonMetricDefinitions.GroupTerm) { control.status.term }
    metrics.gauge(DaemonMetricDefinitions.GroupCommitIndex) { control.status.commitIndex.value }
    metrics.gauge(DaemonMetricDefinitions.GroupAppliedIndex) { control.status.appliedIndex.value }
    metrics.gauge(DaemonMetricDefinitions.SettingsVersion) { control.view.control.version.value }
    metrics.gauge(DaemonMetricDefinitions.SettingsLeaseRemaining) {
        control.leaseRemaining.toDouble(DurationUnit.SECONDS)
    }
    metrics.labelledGauge(DaemonMetricDefinitions.GroupRole) {
        ReplicaRole.entries.map { role ->
            MetricSample(listOf(role.name.lowercase()), if (control.status.role == role) 1.0 else 0.0)
        }
    }
    metrics.gauge(DaemonMetricDefinitions.RequestsInProgress) { requests.inProgress }
    metrics.labelledGauge(DaemonMetricDefinitions.QueuedRequests) {
        requests.load().map { MetricSample(listOf(it.service.value), it.queued.toDouble()) }
    }
    metrics.labelledGauge(DaemonMetricDefinitions.Targets) { requests.targetLoads().countByState() }
}

private fun List<TargetLoad>.countByState(): List<MetricSample> = groupingBy { listOf(it.service.value, it.state()) }
    .eachCount()
    .map { (labels, count) -> MetricSample(labels, count.toDouble()) }

private fun TargetLoad.state(): String = when {
    ejected -> "ejected"
    serving -> "available"
    else -> "withheld"
}

/** Registers the metrics of the links between daemons. */
internal fun registerLinkMetrics(metrics: DaemonMetrics, links: LinkEventLog) {
    metrics.labelledCounter(DaemonMetricDefinitions.PeerMessages) {
        val traffic = links.traffic
        listOf(
            sample("sent", traffic.sentMessages),
            sample("received", traffic.receivedMessages),
            sample("dropped", traffic.droppedMessages),
        )
    }
    metrics.labelledCounter(DaemonMetricDefinitions.PeerBytes) {
        val traffic = links.traffic
        listOf(sample("sent", traffic.sentBytes), sample("received", traffic.receivedBytes))
    }
}

private fun sample(direction: String, count: Long): MetricSample = MetricSample(listOf(direction), count.toDouble())
