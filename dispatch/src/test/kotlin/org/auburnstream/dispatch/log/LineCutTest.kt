package org.auburnstream.dispatch.log

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LineCutTest {
    @Test
    fun aLineThatFitsStaysAsItIs() {
        val line = "x".repeat(99) + "\n"

        assertEquals(line, cutLine(line, maxBytes = 100))
    }

    @Test
    fun aLongLineEndsWithAMark() {
        val cut = cutLine("x".repeat(100) + "\n", maxBytes = 100)

        assertEquals("x".repeat(68) + " cut_chars=32\n", cut)
    }

    @Test
    fun theMarkIsNotPartOfAQuotedValue() {
        val cut = cutLine("a=\"" + "x ".repeat(100) + "\"\n", maxBytes = 100)

        assertTrue(cut.endsWith("\" cut_chars=136\n"), cut)
    }

    @Test
    fun noEscapeOrCharacterIsCutInTwo() {
        for (unit in listOf("\\\"", "\\\\", "\\u2028", "\u20ac", "\ud83d\ude00")) {
            for (shift in 0..6) {
                val cut = cutLine("y".repeat(shift) + "\"" + unit.repeat(100) + "\"\n", maxBytes = 100)
                val value = cut.substringAfter('"').substringBeforeLast("\" cut_chars=")

                assertTrue(cut.toByteArray().size <= 100, cut)
                assertEquals("", value.replace(unit, ""), cut)
            }
        }
    }
}
