package org.auburnstream.daemon.observability

import org.auburnstream.daemon.observability.MetricKind.COUNTER
import org.auburnstream.daemon.observability.MetricKind.GAUGE
import org.auburnstream.daemon.observability.MetricKind.HISTOGRAM

/** Definitions of all metrics of the daemon, in the order of the operators' documentation. */
public object DaemonMetricDefinitions {
    public val Requests: MetricDefinition = MetricDefinition(
        name = "auburnstream_requests_total",
        kind = COUNTER,
        labels = listOf("service", "result"),
        help = "Requests by their final result: answered, unknown, or not_run_ with the reason.",
        alarm = "Rate of result=unknown above zero for 5 minutes: find the failing targets in the log.",
    )

    public val RequestDuration: MetricDefinition = MetricDefinition(
        name = "auburnstream_request_duration_seconds",
        kind = HISTOGRAM,
        labels = listOf("service"),
        help = "Time from the request's first byte to the end of its answer.",
    )

    public val RequestsInProgress: MetricDefinition = MetricDefinition(
        name = "auburnstream_requests_in_progress",
        kind = GAUGE,
        help = "Requests that were taken in and have no final result yet.",
    )

    public val QueuedRequests: MetricDefinition = MetricDefinition(
        name = "auburnstream_queued_requests",
        kind = GAUGE,
        labels = listOf("service"),
        help = "Requests that wait for a slot of a target.",
        alarm = "Above zero for 5 minutes: the service lacks slots; add VMs to its pool or lower the load.",
    )

    public val Targets: MetricDefinition = MetricDefinition(
        name = "auburnstream_targets",
        kind = GAUGE,
        labels = listOf("service", "state"),
        help = "Targets that announce themselves to this daemon, by service and state.",
        alarm = "No target with state=available for a service: its requests are not run.",
    )

    public val SettingsVersion: MetricDefinition = MetricDefinition(
        name = "auburnstream_settings_version",
        kind = GAUGE,
        help = "Version of the settings that are in force on this daemon.",
        alarm = "Differs between daemons for more than 6 seconds: a daemon is cut off or overloaded.",
    )

    public val SettingsLeaseRemaining: MetricDefinition = MetricDefinition(
        name = "auburnstream_settings_lease_remaining_seconds",
        kind = GAUGE,
        help = "Time until the settings lease runs out; zero or less means that new requests are not run.",
        alarm = "Zero or less: the daemon cannot reach a quorum; check the links and the other daemons.",
    )

    public val GroupTerm: MetricDefinition = MetricDefinition(
        name = "auburnstream_group_term",
        kind = GAUGE,
        help = "Term of the control group as known here.",
        alarm = "Grows by more than 3 in a minute: elections do not settle; check links and disks.",
    )

    public val GroupRole: MetricDefinition = MetricDefinition(
        name = "auburnstream_group_role",
        kind = GAUGE,
        labels = listOf("role"),
        help = "1 for the role of this replica in the control group, 0 for the others.",
        alarm = "No daemon with role=leader for 10 seconds: the quorum is lost.",
    )

    public val GroupCommitIndex: MetricDefinition = MetricDefinition(
        name = "auburnstream_group_commit_index",
        kind = GAUGE,
        help = "Index of the last committed entry known here.",
    )

    public val GroupAppliedIndex: MetricDefinition = MetricDefinition(
        name = "auburnstream_group_applied_index",
        kind = GAUGE,
        help = "Index of the last entry applied here.",
        alarm = "Behind the commit index by more than 1000 for a minute: the daemon is overloaded.",
    )

    public val PeerMessages: MetricDefinition = MetricDefinition(
        name = "auburnstream_peer_messages_total",
        kind = COUNTER,
        labels = listOf("direction"),
        help = "Messages on the links between daemons, by direction: sent, received or dropped.",
        alarm = "Rate of direction=dropped above zero for a minute: a link is slower than its traffic.",
    )

    public val PeerBytes: MetricDefinition = MetricDefinition(
        name = "auburnstream_peer_bytes_total",
        kind = COUNTER,
        labels = listOf("direction"),
        help = "Bytes of frames on the links between daemons, by direction: sent or received.",
    )

    public val CpuSeconds: MetricDefinition = MetricDefinition(
        name = "process_cpu_seconds_total",
        kind = COUNTER,
        help = "Processor time of the process.",
    )

    public val ResidentMemory: MetricDefinition = MetricDefinition(
        name = "process_resident_memory_bytes",
        kind = GAUGE,
        help = "Resident memory of the process.",
        alarm = "Above 80% of the VM's memory: lower --max-connections or give a larger VM.",
    )

    public val HeapUsed: MetricDefinition = MetricDefinition(
        name = "jvm_heap_used_bytes",
        kind = GAUGE,
        help = "Heap in use, with garbage.",
    )

    public val HeapLive: MetricDefinition = MetricDefinition(
        name = "jvm_heap_live_bytes",
        kind = GAUGE,
        help = "Heap in use after the last full collection; 0 before the first one.",
        alarm = "Above 70% of the largest heap: the daemon holds more than it was sized for.",
    )

    public val Threads: MetricDefinition = MetricDefinition(
        name = "jvm_threads",
        kind = GAUGE,
        help = "Live threads of the process.",
    )

    /** All definitions, in the order of the operators' documentation. */
    public val all: List<MetricDefinition> = listOf(
        Requests, RequestDuration, RequestsInProgress, QueuedRequests, Targets,
        SettingsVersion, SettingsLeaseRemaining,
        GroupTerm, GroupRole, GroupCommitIndex, GroupAppliedIndex, PeerMessages, PeerBytes,
        CpuSeconds, ResidentMemory, HeapUsed, HeapLive, Threads,
    )
}
