package org.auburnstream.cli

/** Text in columns, each as wide as its widest cell. */
public class Table(private vararg val header: String) {
    private val rows = mutableListOf<List<String>>()

    /** Adds a row with one cell for each column of the header. */
    public fun row(vararg cells: Any?): Table {
        require(cells.size == header.size) { "Row has ${cells.size} cells, but the table ${header.size} columns." }
        rows += cells.map { it?.toString().orEmpty() }
        return this
    }

    override fun toString(): String {
        val lines = listOf(header.toList()) + rows
        val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { line ->
            line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
