package org.auburnstream.bench

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TableTest {
    private val table = Table("slope", listOf("x", "y"), listOf(listOf(1, 3.0), listOf(2, 5.0), listOf(3, 7.0)))

    @Test
    fun writesCsv(@TempDir directory: Path) {
        assertEquals("x,y\n1,3.000\n2,5.000\n3,7.000\n", table.writeCsv(directory).readText())
    }

    @Test
    fun writesPlot(@TempDir directory: Path) {
        assertTrue(table.writePlot(directory, "x", "y").readText().contains("<svg"))
    }

    @Test
    fun fitsLine() {
        val fit = fitLine(table.numbers("x"), table.numbers("y"))

        assertEquals(2.0, fit.slope, 1e-9)
        assertEquals(1.0, fit.intercept, 1e-9)
    }
}
