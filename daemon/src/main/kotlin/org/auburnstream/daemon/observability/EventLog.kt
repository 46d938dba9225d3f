package org.auburnstream.daemon.observability

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * Structured logger that writes one line of key=value pairs for each event.
 *
 * An event has a constant name in snake case, such as `target_expired`; all variable data goes into its fields.
 */
public class EventLog(private val logger: Logger) {
    /** Logs a fault that needs the attention of an operator. */
    public fun error(event: String, vararg fields: LogField, cause: Throwable? = null): Unit =
        write(Level.ERROR, event, fields, cause)

    /** Logs a fault that the daemon has handled. */
    public fun warn(event: String, vararg fields: LogField, cause: Throwable? = null): Unit =
        write(Level.WARN, event, fields, cause)

    /** Logs a change of state. */
    public fun info(event: String, vararg fields: LogField): Unit = write(Level.INFO, event, fields, null)

    /** Logs a detail, such as each request. */
    public fun debug(event: String, vararg fields: LogField): Unit = write(Level.DEBUG, event, fields, null)

    /** Whether [debug] writes anything; check it before computing expensive fields. */
    public val isDebugEnabled: Boolean
        get() = logger.isDebugEnabled

    private fun write(level: Level, event: String, fields: Array<out LogField>, cause: Throwable?) {
        if (!logger.isEnabledForLevel(level)) return
        var builder = logger.makeLoggingEventBuilder(level)
        fields.forEach { builder = builder.addKeyValue(it.key, it.value) }
        if (cause != null) builder = builder.setCause(cause)
        builder.log(event)
    }

    public companion object {
        /** Returns the event log of the component [name]. */
        public fun of(name: String): EventLog = EventLog(LoggerFactory.getLogger(name))
    }
}

/** One key=value pair of a log line. */
public class LogField internal constructor(internal val key: String, internal val value: Any?)

/**
 * Key of a log field whose values are of type [T].
 *
 * @property name key as written to the log, in snake case.
 */
public class LogKey<T>(public val name: String) {
    /** Pairs this key with [value]. */
    public infix fun of(value: T): LogField = LogField(name, value)
}
