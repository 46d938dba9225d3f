package org.auburnstream.bench

import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.XYSeries
import java.nio.file.Files
import java.nio.file.Path

/** Plots the column [y] of this table over [x] with the fitted line, as `<name>.svg` in [directory]. */
public fun Table.writePlot(directory: Path, x: String, y: String): Path {
    Files.createDirectories(directory)
    val chart =
        XYChartBuilder()
            .width(PLOT_WIDTH)
            .height(PLOT_HEIGHT)
            .title(name)
            .xAxisTitle(x)
            .yAxisTitle(y)
            .build()
    val points = chart.addSeries("measured", numbers(x), numbers(y))
    points.xySeriesRenderStyle = XYSeries.XYSeriesRenderStyle.Scatter
    if (rows.size >= MIN_POINTS) {
        val fit = fitLine(numbers(x), numbers(y))
        val ends = listOf(numbers(x).min(), numbers(x).max())
        chart.addSeries("fit", ends, ends.map(fit::at)).xySeriesRenderStyle = XYSeries.XYSeriesRenderStyle.Line
    }
    val file = directory.resolve("$name.svg")
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG)
    return file
}

private const val PLOT_WIDTH = 640
private const val PLOT_HEIGHT = 400
