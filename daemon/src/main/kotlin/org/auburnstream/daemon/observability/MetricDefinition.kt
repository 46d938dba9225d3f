package org.auburnstream.daemon.observability

/**
 * One metric of the daemon.
 *
 * @property name name as exposed, with the unit as suffix.
 * @property labels names of the labels, in the order of their values.
 * @property help one sentence on what is measured.
 * @property alarm condition on which an operator should be told and what to do, or null for none.
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
    /** Only grows while the daemon runs. */
    COUNTER,

    /** Goes up and down. */
    GAUGE,

    /** Counts observations by their size. */
    HISTOGRAM,
}
