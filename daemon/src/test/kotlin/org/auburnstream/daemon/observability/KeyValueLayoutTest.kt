package org.auburnstream.daemon.observability

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.RequestId
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Guards against log lines that cannot be parsed, for example because a value contains quotes or line breaks. */
class KeyValueLayoutTest {
    private val context = LoggerContext().apply {
        putProperty("daemon", "d1")
        putProperty("data_centre", "dc1")
    }
    private val layout = KeyValueLayout().also { it.context = context }
    private val lines = mutableListOf<String>()
    private val logger: Logger = context.getLogger("test").also { logger ->
        logger.level = Level.INFO
        logger.addAppender(
            object : AppenderBase<ILoggingEvent>() {
                override fun append(event: ILoggingEvent) {
                    lines += layout.doLayout(event)
                }
            }.also { it.start() },
        )
    }
    private val log = EventLog(logger)

    @Test
    fun eventIsOneLineOfPairs() {
        log.warn(
            "request_refused",
            LogKeys.RequestId of RequestId("r-1"),
            LogKeys.Vm of VmId("vm-1"),
            LogKeys.Reason of NotRunReason.OVERLOADED,
            LogKeys.Elapsed of 2.milliseconds,
        )

        val expected = "level=warn daemon=d1 data_centre=dc1 event=request_refused request_id=r-1 vm=vm-1 " +
            "reason=overloaded elapsed=2000us\n"
        assertEquals(expected, lines.single().substringAfter(' '))
    }

    @Test
    fun valueWithQuotesAndLineBreaksIsEscaped() {
        log.info("seen", LogKeys.Detail of "a b=\"c\"\nlevel=error \u2028\\")

        assertTrue(
            lines.single().endsWith("event=seen detail=\"a b=\\\"c\\\"\\nlevel=error \\u2028\\\\\"\n"),
            lines.single(),
        )
        assertEquals(1, lines.single().trimEnd('\n').lines().size)
    }

    @Test
    fun longValueIsTruncated() {
        log.info("seen", LogKeys.Detail of "x".repeat(100_000))

        assertTrue(lines.single().length < 2000)
    }

    @Test
    fun libraryMessageIsLoggedAsDetail() {
        logger.info("Responding at {}", "http://localhost")

        assertTrue(lines.single().endsWith("event=message logger=test detail=\"Responding at http://localhost\"\n"))
    }

    @Test
    fun formattedPairsAreLoggedOnOneLine() {
        logger.info("event=members_changed voters={}", "a\nlevel=error")

        assertTrue(
            lines.single().endsWith("data_centre=dc1 event=members_changed voters=a level=error\n"),
            lines.single(),
        )
    }

    @Test
    fun causeIsAddedToTheLine() {
        log.error("write_failed", cause = IllegalStateException("disk full"))

        assertTrue("cause=java.lang.IllegalStateException cause_detail=\"disk full\"" in lines.single())
    }

    @Test
    fun eventBelowTheLevelIsDropped() {
        log.debug("seen")

        assertEquals(emptyList(), lines)
    }
}
