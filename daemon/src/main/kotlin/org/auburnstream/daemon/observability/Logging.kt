package org.auburnstream.daemon.observability

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.config.LogLevel
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Sets the log level and the fields that appear in every log line of this daemon. */
public fun configureLogging(settings: DaemonSettings) {
    val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
    context.putProperty(KeyValueLayout.DAEMON_PROPERTY, settings.id.value)
    context.putProperty(KeyValueLayout.DATA_CENTRE_PROPERTY, settings.dataCentre.value)
    context.getLogger(Logger.ROOT_LOGGER_NAME).level = settings.logLevel.toLogback()
}

private fun LogLevel.toLogback(): Level = when (this) {
    LogLevel.ERROR -> Level.ERROR
    LogLevel.WARN -> Level.WARN
    LogLevel.INFO -> Level.INFO
    LogLevel.DEBUG -> Level.DEBUG
}
