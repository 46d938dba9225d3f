package org.auburnstream.daemon.observability

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * Writes one line of key=value pairs for each event.
 *
 * The event is a name in snake case without spaces, such as `target_expired`; everything that varies is a field.
 */
public class EventLog(private val logger: Logger) {
    /** Logs a fault that needs an operator. */
    public fun error(event: String, vararg fields: LogField, cause: Throwable? = null): Unit =
        write(Level.ERROR, event, fields, cause)

    /** Logs a fault that the daemon has dealt with. */
    public fun warn(event: String, vararg fields: LogField, cause: Throwable? = null): Unit =
        write(Level.WARN, event, fields, cause)

    /** Logs a change of state. */
    public fun info(event: String, vararg fields: LogField): Unit = write(Level.INFO, event, fields, null)

    /** Logs a detail, such as each request. */
    public fun debug(event: String, vararg fields: LogField): Unit = write(Level.DEBUG, event, fields, null)

    /** Whether [debug] writes anything; asked before costly fields are put together. */
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
        /** Returns the log of the component [name]. */
        public fun of(name: String): EventLog = EventLog(LoggerFactory.getLogger(name))
    }
}

/** One key=value pair of a log line. */
public class LogField internal constructor(internal val key: String, internal val value: Any?)

/**
 * Key of a log field whose values are of type [T].
 *
 * @property name name in snake case.
 */
public class LogKey<T>(public val name: String) {
    /** Pairs this key with [value]. */
    public infix fun of(value: T): LogField = LogField(name, value)
}
