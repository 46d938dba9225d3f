package org.auburnstream.dispatch.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import ch.qos.logback.core.spi.ContextAwareBase
import org.auburnstream.daemon.observability.KeyValueLayout
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Logback's configuration of the dispatching programs, found as a service.
 *
 * It takes the place of a file, whose parser would take a good part of a small VM's start.
 */
public class LineLogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val appender = LineAppender()
        appender.context = context
        appender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(appender)
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}

/**
 * Writes lines to [out] on a thread of its own, several at a time.
 *
 * Each write holds whole lines and at most [MAX_WRITE_BYTES]; a longer line is cut ([cutLine]). A line that finds the
 * queue full, comes after [close] or is part of a write that failed is dropped and counted, so that no decision ever
 * waits for the log. Of a write that failed, some lines may have arrived besides; the next write then begins on a new
 * line.
 */
internal class LineAppender(private val out: OutputStream = FileOutputStream(FileDescriptor.out)) :
    AppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<String>(CAPACITY)
    private val queued = Semaphore(0)
    private val dropped = AtomicLong()
    private val layout = KeyValueLayout()

    /** Guards the output; the appender's own lock is taken by each caller. */
    private val output = ReentrantLock()
    private val chunk = ByteArrayOutputStream(MAX_WRITE_BYTES)
    private var linesOfChunk = 0
    private var reported = 0L

    @Volatile
    private var isClosed = false

    /** Lines that were dropped since the start. */
    val droppedLines: Long
        get() = dropped.get()

    override fun start() {
        layout.context = context
        layout.start()
        val writer = Thread(::write, "log")
        writer.isDaemon = true
        writer.start()
        current = this
        super.start()
    }

    override fun append(event: ILoggingEvent) {
        if (!isClosed && queue.offer(cutLine(layout.doLayout(event), MAX_LINE_BYTES))) {
            queued.release()
        } else {
            dropped.incrementAndGet()
        }
    }

    /** Writes what is queued, and how many lines were dropped since the last report; nothing after [close]. */
    fun flush(): Unit = output.withLock {
        if (!isClosed) writeQueued()
    }

    /** Writes what is queued and takes no further line, so that a halt after it tears none. */
    fun close() {
        synchronized(this) { isClosed = true }
        output.withLock { writeQueued() }
    }

    private fun writeQueued() {
        for (text in generateSequence { queue.poll() }.take(CAPACITY)) {
            val line = text.toByteArray()
            if (chunk.size() + line.size > MAX_WRITE_BYTES) writeChunk()
            chunk.write(line)
            linesOfChunk += 1
        }
        writeChunk()
        report()
    }

    private fun report() {
        val lost = dropped.get()
        if (lost == reported) return
        chunk.write("level=warn event=log_lines_dropped count=${lost - reported}\n".toByteArray())
        if (writeChunk()) reported = lost
    }

    /** Returns whether the output took the chunk; if not, the next one begins with a line break. */
    private fun writeChunk(): Boolean {
        if (chunk.size() == 0) return true
        val bytes = chunk.toByteArray()
        chunk.reset()
        val lines = linesOfChunk
        linesOfChunk = 0
        try {
            out.write(bytes, 0, bytes.size)
            return true
        } catch (_: IOException) {
            dropped.addAndGet(lines.toLong())
            chunk.write('\n'.code)
            return false
        }
    }

    private fun write() {
        while (true) {
            try {
                queued.acquire()
                Thread.sleep(GATHER_MS)
            } catch (_: InterruptedException) {
                return
            }
            queued.drainPermits()
            flush()
        }
    }

    companion object {
        /** Lines that may wait; a process under the worst load writes about this many in four seconds. */
        private const val CAPACITY = 8_192

        /** Readers of a pipe commonly take this much at once. */
        private const val MAX_WRITE_BYTES = 8_192

        /** Leaves room for the line break that follows a failed write. */
        private const val MAX_LINE_BYTES = MAX_WRITE_BYTES - 1

        /** Time over which lines are gathered, since each write costs a system call. */
        private const val GATHER_MS = 50L

        @Volatile
        var current: LineAppender? = null
    }
}

/** Log of what a process decides: one line of key=value pairs each. */
public class LineLog(name: String) {
    private val logger = LoggerFactory.getLogger(name)

    /**
     * Writes [event] with [fields].
     *
     * A value that holds a blank, quote, `=`, backslash or control character, or nothing, is quoted and escaped; a
     * longer one than 1024 characters is cut.
     */
    public fun note(event: String, fields: List<Pair<String, Any?>>) {
        logger.info(line(event, fields))
    }

    /** Writes [event] with [fields]. */
    public fun note(event: String, vararg fields: Pair<String, Any?>): Unit = note(event, fields.asList())

    private fun line(event: String, fields: List<Pair<String, Any?>>): String = buildString {
        append("event=").append(event)
        for ((key, value) in fields) {
            append(' ').append(key).append('=')
            KeyValueLayout.appendValue(this, value.toString())
        }
    }

    public companion object {
        /** Lines that were dropped since the start. */
        public val droppedLines: Long
            get() = LineAppender.current?.droppedLines ?: 0

        /** Names this process in every line. */
        public fun identify(process: String, dataCentre: String) {
            val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
            context.putProperty("daemon", process)
            context.putProperty("data_centre", dataCentre)
        }

        /**
         * Writes what is queued, before the process ends.
         *
         * Later lines are dropped and counted, so that the end tears none. It waits for a reader of standard output.
         */
        public fun close() {
            LineAppender.current?.close()
        }
    }
}
