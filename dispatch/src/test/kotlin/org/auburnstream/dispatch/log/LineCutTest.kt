package org.auburnstream.dispatch.log

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against truncated log lines that exceed the byte limit or cannot be parsed, because an escape sequence, a
 * character or a quoted value was split.
 */
class LineCutTest {
    @Test
    fun lineWithinTheLimitIsUnchanged() {
        val line = "x".repeat(99) + "\n"

        assertEquals(line, truncateLine(line, maxBytes = 100))
    }

    @Test
    fun longLineEndsWithTheNumberOfRemovedCharacters() {
        val cut = truncateLine("x".repeat(100) + "\n", maxBytes = 100)

        assertEquals("x".repeat(68) + " cut_chars=32\n", cut)
    }

    @Test
    fun openQuoteIsClosedBeforeTheSuffix() {
        val cut = truncateLine("a=\"" + "x ".repeat(100) + "\"\n", maxBytes = 100)

        assertTrue(cut.endsWith("\" cut_chars=136\n"), cut)
    }

    @Test
    fun escapesAndCharactersAreNeverSplit() {
        for (unit in listOf("\\\"", "\\\\", "\\u2028", "\u20ac", "\ud83d\ude00")) {
            for (shift in 0..6) {
                val cut = truncateLine("y".repeat(shift) + "\"" + unit.repeat(100) + "\"\n", maxBytes = 100)
                val value = cut.substringAfter('"').substringBeforeLast("\" cut_chars=")

                assertTrue(cut.toByteArray().size <= 100, cut)
                assertEquals("", value.replace(unit, ""), cut)
            }
        }
    }
}
