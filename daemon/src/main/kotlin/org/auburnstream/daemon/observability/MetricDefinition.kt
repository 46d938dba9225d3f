package org.auburnstream.daemon.observability

/**
 * Definition of one metric of the daemon.
 *
 * @property name name as exposed, with the unit as suffix where the metric has one.
 * @property labels names of the labels, in the order of their values.
 * @property help one sentence that describes the measured value.
 * @property alarm condition that should alert an operator and how to respond, or null for none.
 */
public class MetricDefinition internal constructor(
    public val name: String,
    public val kind: MetricKind,
    public val labels: List<String> = emptyList(),
    public val help: String,
    public val alarm: String? = null,
)

/** Kind of a metric. */
public enum class MetricKind {
    /** Never decreases while the daemon runs. */
    COUNTER,

    /** May increase and decrease. */
    GAUGE,

    /** Counts observations in buckets by value. */
    HISTOGRAM,
}
