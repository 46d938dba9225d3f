package org.auburnstream.bench

import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVPrinter
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.bufferedWriter

/**
 * Measured points of one experiment.
 *
 * @property name file name without extension.
 * @property columns column names with their units.
 * @property rows one list of values for each point, as long as [columns].
 */
public data class Table(val name: String, val columns: List<String>, val rows: List<List<Any>>) {
    init {
        for (row in rows) require(row.size == columns.size) { "table $name: row $row has not ${columns.size} values" }
    }

    /** Values of the numeric column [column], in row order. */
    public fun numbers(column: String): List<Double> {
        val position = columns.indexOf(column)
        require(position >= 0) { "table $name has no column $column, only $columns" }
        return rows.map { (it[position] as Number).toDouble() }
    }
}

/** Writes this table as `<name>.csv` into [directory]. */
public fun Table.writeCsv(directory: Path): Path {
    Files.createDirectories(directory)
    val file = directory.resolve("$name.csv")
    file.bufferedWriter().use { writer ->
        CSVPrinter(writer, CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get()).use { printer ->
            printer.printRecord(columns)
            for (row in rows) printer.printRecord(row.map(::formatCell))
        }
    }
    return file
}

/** Renders this table as Markdown. */
public fun Table.toMarkdown(): String {
    val header = columns.joinToString(" | ", "| ", " |")
    val rule = columns.joinToString(" | ", "| ", " |") { "---" }
    val body = rows.map { row -> row.joinToString(" | ", "| ", " |") { formatCell(it) } }
    return (listOf(header, rule) + body).joinToString("\n")
}

private fun formatCell(value: Any): String = when (value) {
    is Double -> "%.4g".format(value).let { if ('e' in it) "%.1f".format(value) else it }
    else -> value.toString()
}
