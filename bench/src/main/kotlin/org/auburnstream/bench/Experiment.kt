package org.auburnstream.bench

/**
 * One experiment of the command line.
 *
 * @property name name on the command line.
 * @property description one line for the listing.
 * @property plots pairs of columns to plot, by table name.
 * @property run measures with the given seed and returns the tables.
 */
public class Experiment(
    public val name: String,
    public val description: String,
    public val plots: List<PlotRequest> = emptyList(),
    public val run: (seed: Long) -> List<Table>,
)

/** Columns of the table [table] that one plot shows. */
public data class PlotRequest(val table: String, val x: String, val y: String)
