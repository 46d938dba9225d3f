package org.auburnstream.dispatch.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import org.junit.jupiter.api.Timeout
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.nio.channels.Channels
import java.nio.channels.Pipe
import java.util.Collections
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against log lines that are split, or lost without being counted, when the output is slow, blocked or failing,
 * and against logging calls that block on such an output.
 */
@Timeout(60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LineAppenderTest {
    private val context = LoggerContext()
    private val logger = context.getLogger("test")

    @Test
    fun slowPipeReaderGetsWholeLinesAndEveryLossIsCounted() {
        val pipe = Pipe.open()
        val appender = startAppender(Channels.newOutputStream(pipe.sink()))
        var text = ""
        val reader = thread { text = readInRandomPieces(Channels.newInputStream(pipe.source())) }

        val threads = (0 until THREADS).map { name -> thread { appendNumbered(appender, name) } }
        threads.forEach { it.join() }
        appender.close()
        pipe.sink().close()
        reader.join()

        val lines = linesOf(text)
        val numbered = lines.mapNotNull { NUMBERED.matchEntire(it) }
        val reports = lines.mapNotNull { REPORT.matchEntire(it) }
        assertEquals(lines.size, numbered.size + reports.size, "a line does not have the format of any line written")
        for ((name, ownLines) in numbered.groupBy { it.groupValues[1] }) {
            val numbers = ownLines.map { it.groupValues[2].toInt() }
            assertEquals(numbers.sorted().distinct(), numbers, "thread $name")
        }
        assertEquals(THREADS * LINES_PER_THREAD, numbered.size + appender.droppedLines.toInt())
        assertEquals(appender.droppedLines, reports.sumOf { it.groupValues[1].toLong() })
    }

    @Test
    fun writesAreBoundedAndEndWithALineBreak() {
        val out = RecordingOutput()
        val appender = startAppender(out)
        repeat(1_000) { append(appender, "event=e n=$it text=${"x".repeat(it % 300)}") }
        append(appender, "event=e text=${"y".repeat(20_000)}")
        append(appender, "event=e text=${"\u20ac".repeat(8_000)}")
        append(appender, "event=last")
        appender.close()

        assertEquals(emptyList(), out.writes.map { it.size }.filter { it > MAX_WRITE_BYTES })
        assertTrue(out.writes.all { it.last() == '\n'.code.toByte() })
        assertEquals(1_003, linesOf(out.text()).size)
        assertEquals(0, appender.droppedLines)
    }

    @Test
    fun loggingDoesNotBlockOnABlockedOutput() {
        val out = BlockingOutput()
        val appender = startAppender(out)
        append(appender, "event=first")
        out.isBlocked.await()

        repeat(QUEUE_CAPACITY + 5) { append(appender, "event=e n=$it") }

        assertEquals(5, appender.droppedLines)
        out.release.countDown()
        appender.close()
        val lines = linesOf(out.text())
        assertEquals(QUEUE_CAPACITY, lines.count { "event=e n=" in it })
        assertEquals(listOf("level=warn event=log_lines_dropped count=5"), lines.filter { "dropped" in it })
    }

    @Test
    fun closeWritesAllQueuedLines() {
        repeat(20) {
            val out = RecordingOutput()
            val appender = startAppender(out)
            repeat(it * 200 + 1) { n -> append(appender, "event=e n=$n") }

            appender.close()

            val numbers = linesOf(out.text()).map { line -> line.substringAfter(" n=").toInt() }
            assertEquals((0..it * 200).toList(), numbers)
        }
    }

    @Test
    fun linesAfterCloseAreDropped() {
        val out = RecordingOutput()
        val appender = startAppender(out)
        appender.close()

        append(appender, "event=late")
        appender.flush()

        assertEquals("", out.text())
        assertEquals(1, appender.droppedLines)
    }

    @Test
    fun loggingContinuesAfterAFailedWrite() {
        val out = FailingOutput(failures = 1)
        val appender = startAppender(out)
        append(appender, "event=first")
        out.hasFailed.await()
        append(appender, "event=second")
        appender.close()

        val lines = linesOf(out.text())
        assertEquals(3, lines.size, out.text())
        assertEquals(10, lines[0].length, "the partial output of the failed write is not followed by a line break")
        assertTrue(lines[1].endsWith("event=log_lines_dropped count=1"), lines[1])
        assertTrue(LINE.matches(lines[2]) && lines[2].endsWith("event=second"), lines[2])
        assertEquals(1, appender.droppedLines)
    }

    /** The writer ended, the queue filled, and the process went on without a log. */
    @Test
    fun anExceptionOfTheOutputEndsTheLog() {
        val out = FailingOutput(failures = 1) { IllegalStateException("output closed") }
        val appender = startAppender(out)
        append(appender, "event=first")
        out.hasFailed.await()
        append(appender, "event=second")

        assertTrue(out.hasWritten.await(20, TimeUnit.SECONDS), "the line after the failed write did not arrive")
        appender.close()
        val lines = linesOf(out.text())
        assertTrue(lines[1].endsWith("event=log_lines_dropped count=1"), lines[1])
        assertTrue(lines[2].endsWith("event=second"), lines[2])
        assertEquals(1, appender.droppedLines)
    }

    /** A writer that ends must end the process, which would otherwise go on without a log. */
    @Test
    fun anErrorOfTheOutputLeavesTheProcessWithoutALog() {
        val failed = CompletableFuture<Throwable>()
        val out = FailingOutput(failures = 1) { StackOverflowError("too deep") }
        val appender = startAppender(out, onWriterFailed = { failed.complete(it) })
        append(appender, "event=first")

        assertEquals("too deep", failed.get(20, TimeUnit.SECONDS).message)
    }

    @Test
    fun linesOfFailedWritesAreCountedAsDropped() {
        val out = FailingOutput(failures = Int.MAX_VALUE)
        val appender = startAppender(out)
        repeat(QUEUE_CAPACITY + 100) { append(appender, "event=e n=$it") }
        appender.close()

        assertEquals(QUEUE_CAPACITY + 100L, appender.droppedLines)
    }

    private fun startAppender(out: OutputStream, onWriterFailed: (Throwable) -> Unit = { }): LineAppender =
        LineAppender(out, onWriterFailed).also {
            it.context = context
            it.start()
        }

    private fun append(appender: LineAppender, text: String) {
        appender.doAppend(LoggingEvent("test", logger, Level.INFO, text, null, null))
    }

    private fun appendNumbered(appender: LineAppender, name: Int) {
        repeat(LINES_PER_THREAD) {
            append(appender, "event=e thread=$name n=$it text=${"x".repeat(it % 97)}")
        }
    }

    private fun readInRandomPieces(from: InputStream): String {
        val received = ByteArrayOutputStream()
        val random = Random(seed = 17)
        while (true) {
            val piece = from.readNBytes(random.nextInt(1, 1_500))
            if (piece.isEmpty()) return received.toString(Charsets.UTF_8)
            received.write(piece)
        }
    }

    private fun linesOf(text: String): List<String> {
        if (text.isEmpty()) return emptyList()
        assertTrue(text.endsWith('\n'), "the last line is incomplete")
        return text.dropLast(1).split('\n')
    }

    /** Records each write. */
    private open class RecordingOutput : OutputStream() {
        val writes: MutableList<ByteArray> = Collections.synchronizedList(mutableListOf<ByteArray>())

        override fun write(b: Int) = write(byteArrayOf(b.toByte()), 0, 1)

        override fun write(b: ByteArray, off: Int, len: Int) {
            writes += b.copyOfRange(off, off + len)
        }

        fun text(): String = synchronized(writes) {
            writes.fold(ByteArray(0)) { all, next -> all + next }
        }.decodeToString()
    }

    /** Blocks each write until [release]. */
    private class BlockingOutput : RecordingOutput() {
        val isBlocked = CountDownLatch(1)
        val release = CountDownLatch(1)

        override fun write(b: ByteArray, off: Int, len: Int) {
            isBlocked.countDown()
            release.await()
            super.write(b, off, len)
        }
    }

    /** Fails the first [failures] writes with [failure] after ten bytes of each. */
    private class FailingOutput(
        private var failures: Int,
        private val failure: () -> Throwable = { IOException("no space left") },
    ) : RecordingOutput() {
        val hasFailed = CountDownLatch(1)

        /** Released once the line `event=second` is written. */
        val hasWritten = CountDownLatch(1)

        override fun write(b: ByteArray, off: Int, len: Int) {
            if (failures-- > 0) {
                super.write(b, off, minOf(len, 10))
                hasFailed.countDown()
                throw failure()
            }
            super.write(b, off, len)
            if ("event=second" in b.decodeToString(off, off + len)) hasWritten.countDown()
        }
    }

    private companion object {
        const val THREADS = 4
        const val LINES_PER_THREAD = 6_000
        const val QUEUE_CAPACITY = 8_192
        const val MAX_WRITE_BYTES = 8_192
        val LINE = Regex("""time=\S+ level=\S+ event=.*""")
        val NUMBERED = Regex("""time=\S+ level=info event=e thread=(\d) n=(\d+) text=x*""")
        val REPORT = Regex("""(?:time=\S+ )?level=warn event=log_lines_dropped count=(\d+)""")
    }
}
