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
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Configures Logback for the dispatch processes; Logback finds this class through the service loader.
 *
 * It replaces an XML configuration file, because parsing one takes a large part of the startup time on a small VM.
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
 * Appends log lines to a bounded queue and writes them to [out] in batches on a separate thread.
 *
 * Each write consists of whole lines and at most [MAX_WRITE_BYTES] bytes; longer lines are truncated ([truncateLine]).
 * Logging never blocks its caller: a line is dropped and counted if the queue is full, if it is logged after [close],
 * or if its write fails. A failed write may still have written some of its lines, so the next write starts with a line
 * break.
 *
 * @property onWriterFailed called with an [Error] that ends the writer; it should end the process, which would
 *   otherwise go on without a log.
 */
internal class LineAppender(
    private val out: OutputStream = FileOutputStream(FileDescriptor.out),
    private val onWriterFailed: (Throwable) -> Unit = ::haltWithoutLog,
) : AppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<String>(QUEUE_CAPACITY)
    private val queuedLines = Semaphore(0)
    private val dropped = AtomicLong()
    private val layout = KeyValueLayout()

    /** Guards [out] and the buffer. The appender's monitor cannot be used, because each logging call holds it. */
    private val outputLock = ReentrantLock()
    private val buffer = ByteArrayOutputStream(MAX_WRITE_BYTES)
    private var bufferedLines = 0
    private var reportedDropped = 0L

    @Volatile
    private var isClosed = false

    /** Number of lines dropped since the start of the process. */
    val droppedLines: Long
        get() = dropped.get()

    override fun start() {
        layout.context = context
        layout.start()
        val writer = Thread(::runWriter, "log")
        writer.isDaemon = true
        writer.start()
        current = this
        super.start()
    }

    override fun append(event: ILoggingEvent) {
        if (!isClosed && queue.offer(truncateLine(layout.doLayout(event), MAX_LINE_BYTES))) {
            queuedLines.release()
        } else {
            dropped.incrementAndGet()
        }
    }

    /** Writes the queued lines and the number of lines dropped since the last report; does nothing after [close]. */
    fun flush(): Unit = outputLock.withLock {
        if (!isClosed) writeQueued()
    }

    /** Writes the queued lines and drops all later ones, so that a process halt afterwards cannot truncate a line. */
    fun close() {
        synchronized(this) { isClosed = true }
        outputLock.withLock { writeQueued() }
    }

    private fun writeQueued() {
        for (text in generateSequence { queue.poll() }.take(QUEUE_CAPACITY)) {
            val line = text.toByteArray()
            if (buffer.size() + line.size > MAX_WRITE_BYTES) writeBuffer()
            buffer.write(line)
            bufferedLines += 1
        }
        writeBuffer()
        reportDropped()
    }

    private fun reportDropped() {
        val total = dropped.get()
        if (total == reportedDropped) return
        buffer.write("level=warn event=log_lines_dropped count=${total - reportedDropped}\n".toByteArray())
        if (writeBuffer()) reportedDropped = total
    }

    /** Writes the buffer and returns whether that succeeded; if not, the next write starts with a line break. */
    private fun writeBuffer(): Boolean {
        if (buffer.size() == 0) return true
        val bytes = buffer.toByteArray()
        buffer.reset()
        val lines = bufferedLines
        bufferedLines = 0
        try {
            out.write(bytes, 0, bytes.size)
            return true
        } catch (_: Exception) {
            dropped.addAndGet(lines.toLong())
            buffer.write('\n'.code)
            return false
        }
    }

    private fun runWriter() {
        try {
            while (true) {
                queuedLines.acquire()
                Thread.sleep(BATCH_DELAY_MS)
                queuedLines.drainPermits()
                flush()
            }
        } catch (_: InterruptedException) {
            return
        } catch (e: Throwable) {
            onWriterFailed(e)
        }
    }

    companion object {
        /** Maximum number of queued lines; a process under the highest load logs about this many in four seconds. */
        private const val QUEUE_CAPACITY = 8_192

        /** Maximum size of a write; readers of a pipe commonly read this much at once. */
        private const val MAX_WRITE_BYTES = 8_192

        /** Maximum length of a line; one byte is reserved for the line break that follows a failed write. */
        private const val MAX_LINE_BYTES = MAX_WRITE_BYTES - 1

        /** Time to collect lines before a write, because each write costs a system call. */
        private const val BATCH_DELAY_MS = 50L

        /** The appender that was started last, or null. */
        @Volatile
        var current: LineAppender? = null
    }
}

/** Ends the process with a line on standard error, because the log can take none. */
private fun haltWithoutLog(cause: Throwable) {
    try {
        System.err.println("event=fatal reason=\"log: $cause\"")
    } finally {
        Runtime.getRuntime().halt(EXIT_FATAL)
    }
}

/** Exit code of a process that cannot go on. */
private const val EXIT_FATAL = 4

/** Logs the decisions of a process, each as one line of `key=value` pairs. */
public class LineLog(name: String) {
    private val logger = LoggerFactory.getLogger(name)

    /**
     * Writes [event] with [fields].
     *
     * A value that is empty or contains a blank, quote, `=`, backslash or control character is quoted and escaped. A
     * value longer than 1024 characters is truncated.
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
        /** Number of lines dropped since the start of the process. */
        public val droppedLines: Long
            get() = LineAppender.current?.droppedLines ?: 0

        /** Adds the name of this process and its data centre to every line. */
        public fun identify(process: String, dataCentre: String) {
            val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
            context.putProperty("daemon", process)
            context.putProperty("data_centre", dataCentre)
        }

        /**
         * Writes the queued lines before the process exits.
         *
         * Later lines are dropped and counted, so that the exit cannot truncate a line. Blocks until standard output
         * has accepted the queued lines.
         */
        public fun close() {
            LineAppender.current?.close()
        }
    }
}
