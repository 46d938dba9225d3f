package org.auburnstream.daemon

import org.auburnstream.daemon.observability.DaemonMetricDefinitions
import org.auburnstream.daemon.observability.DaemonMetrics
import org.auburnstream.daemon.observability.MetricSample
import org.auburnstream.daemon.replication.ReplicaRole

/** Registers the metrics that are read from the control group and the links at each scrape. */
internal fun registerStateMetrics(metrics: DaemonMetrics, control: ControlPlane, links: LinkEventLog) {
    metrics.gauge(DaemonMetricDefinitions.GroupTerm) { control.status.term }
    metrics.gauge(DaemonMetricDefinitions.GroupCommitIndex) { control.status.commitIndex.value }
    metrics.gauge(DaemonMetricDefinitions.GroupAppliedIndex) { control.status.appliedIndex.value }
    metrics.gauge(DaemonMetricDefinitions.SettingsVersion) { control.view.control.version.value }
    metrics.labelledGauge(DaemonMetricDefinitions.GroupRole) {
        ReplicaRole.entries.map { role ->
            MetricSample(listOf(role.name.lowercase()), if (control.status.role == role) 1.0 else 0.0)
        }
    }
}
