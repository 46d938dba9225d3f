package org.auburnstream.dispatch.log

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.auburnstream.daemon.observability.KeyValueLayout
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against log lines that cannot be split into pairs again: a value that is empty or contains quotes, line breaks
 * or control characters must not end its pair or its line early.
 */
class LineLogTest {
    private val lines = mutableListOf<String>()
    private val log = LineLog("LineLogTest")

    init {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        val layout = KeyValueLayout().also { it.context = context }
        val logger = context.getLogger("LineLogTest")
        logger.detachAndStopAllAppenders()
        logger.isAdditive = false
        logger.addAppender(
            object : AppenderBase<ILoggingEvent>() {
                override fun append(event: ILoggingEvent) {
                    lines += layout.doLayout(event)
                }
            }.also { it.start() },
        )
    }

    @Test
    fun plainValuesAreNotEscaped() {
        log.note("e", "path" to "/a/b", "status" to 503, "leader" to null, "cause" to "lease ran out")

        assertEquals("event=e path=/a/b status=503 leader=null cause=\"lease ran out\"\n", fields())
    }

    @Test
    fun lineBreakInAValueStartsNoNewLineOrPair() {
        log.note("e", "path" to "/a\nlevel=error", "next" to 1)
        assertEquals("event=e path=\"/a\\nlevel=error\" next=1\n", fields())

        log.note("e", "path" to "/a\nb", "next" to 1)
        assertEquals("event=e path=\"/a\\nb\" next=1\n", fields())
    }

    @Test
    fun controlCharactersInAValueAreEscaped() {
        log.note("e", "path" to "/a\rb\u0000c\u001b[2Kd\u0085e\u2028f\tg")

        assertEquals("event=e path=\"/a\\u000db\\u0000c\\u001b[2Kd\\u0085e\\u2028f\\u0009g\"\n", fields())
    }

    @Test
    fun quoteOrBackslashInAValueDoesNotEndIt() {
        log.note("e", "detail" to "a\" event=x \\", "next" to 1)

        assertEquals("event=e detail=\"a\\\" event=x \\\\\" next=1\n", fields())
    }

    @Test
    fun emptyValueIsQuoted() {
        log.note("e", "detail" to "", "next" to 1)

        assertEquals("event=e detail=\"\" next=1\n", fields())
    }

    @Test
    fun longValueIsTruncated() {
        log.note("e", "detail" to "x".repeat(100_000), "next" to 1)

        assertTrue(lines.last().length < 2_000)
        assertTrue(fields().endsWith("... next=1\n"))
    }

    /** Returns the last line from its event on, without time and level. */
    private fun fields(): String = lines.last().let { it.substring(it.indexOf("event=")) }
}
