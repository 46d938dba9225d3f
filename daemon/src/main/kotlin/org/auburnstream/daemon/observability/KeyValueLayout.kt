package org.auburnstream.daemon.observability

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.IThrowableProxy
import ch.qos.logback.core.LayoutBase
import kotlin.time.Duration

/**
 * Renders a logging event as one line of key=value pairs.
 *
 * The line starts with `time` in UTC, `level`, `daemon` and `data_centre`, followed by `event` and its fields. A
 * message of a library has no event name and is written as `event=message` with its text as `detail`. A message that
 * starts with `event=` is treated as already formatted pairs.
 *
 * A value that contains a space, quote, `=`, backslash or control character is quoted. Line breaks and control
 * characters are escaped, so that a value cannot start a new log line.
 */
public class KeyValueLayout : LayoutBase<ILoggingEvent>() {
    override fun doLayout(event: ILoggingEvent): String = buildString {
        appendPair("time", event.instant)
        appendPair("level", event.level.levelStr.lowercase())
        context?.getProperty(DAEMON_PROPERTY)?.let { appendPair("daemon", it) }
        context?.getProperty(DATA_CENTRE_PROPERTY)?.let { appendPair("data_centre", it) }
        when {
            event.message.startsWith(EVENT_PREFIX) -> append(event.formattedMessage.toSingleLine()).append(' ')
            isEventName(event.message) -> appendEvent(event)
            else -> appendText(event)
        }
        event.throwableProxy?.let { appendCause(it) }
        setLength(length - 1)
        append('\n')
    }

    private fun StringBuilder.appendEvent(event: ILoggingEvent) {
        appendPair("event", event.message)
        event.keyValuePairs.orEmpty().forEach { appendPair(it.key, it.value) }
    }

    private fun StringBuilder.appendText(event: ILoggingEvent) {
        appendPair("event", "message")
        appendPair("logger", event.loggerName)
        appendPair("detail", event.formattedMessage)
    }

    private fun StringBuilder.appendCause(cause: IThrowableProxy) {
        appendPair("cause", cause.className)
        cause.message?.let { appendPair("cause_detail", it) }
        cause.stackTraceElementProxyArray
            .take(MAX_STACK_FRAMES)
            .joinToString(" < ") { it.stackTraceElement.run { "$fileName:$lineNumber" } }
            .takeIf { it.isNotEmpty() }
            ?.let { appendPair("cause_at", it) }
    }

    public companion object {
        internal const val DAEMON_PROPERTY = "daemon"
        internal const val DATA_CENTRE_PROPERTY = "data_centre"

        /**
         * Appends [text] to [line] as the value of a pair.
         *
         * The text is quoted and escaped where needed, so that it cannot end the pair or the line. It is truncated
         * after 1024 characters.
         */
        public fun appendValue(line: StringBuilder, text: String) {
            line.appendValue(text)
        }
    }
}

private const val EVENT_PREFIX = "event="
private const val MAX_VALUE_CHARS = 1024
private const val MAX_STACK_FRAMES = 6

private fun String.toSingleLine(): String = map { if (isControlOrLineBreak(it)) ' ' else it }.joinToString("")

private fun isEventName(message: String): Boolean =
    message.isNotEmpty() && message.all { it in 'a'..'z' || it in '0'..'9' || it == '_' }

private fun StringBuilder.appendPair(key: String, value: Any?) {
    append(key).append('=')
    appendValue(render(value))
    append(' ')
}

private fun render(value: Any?): String = when (value) {
    is Enum<*> -> value.name.lowercase()
    is Duration -> "${value.inWholeMicroseconds}us"
    else -> value.toString()
}

private fun StringBuilder.appendValue(text: String) {
    val truncated = if (text.length > MAX_VALUE_CHARS) text.take(MAX_VALUE_CHARS) + "..." else text
    val needsNoQuotes =
        truncated.isNotEmpty() &&
            truncated.none { it == ' ' || it == '"' || it == '=' || it == '\\' || isControlOrLineBreak(it) }
    if (needsNoQuotes) {
        append(truncated)
        return
    }
    append('"')
    truncated.forEach { appendEscaped(it) }
    append('"')
}

private fun StringBuilder.appendEscaped(char: Char) {
    when {
        char == '\n' -> append("\\n")
        char == '"' || char == '\\' -> append('\\').append(char)
        isControlOrLineBreak(char) -> append("\\u").append(char.code.toString(radix = 16).padStart(length = 4, '0'))
        else -> append(char)
    }
}

private fun isControlOrLineBreak(char: Char): Boolean = char.isISOControl() || char == '\u2028' || char == '\u2029'
