package org.auburnstream.daemon.caller

import org.auburnstream.model.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the callers' listener.
 *
 * @property port TCP port, or 0 for any free one.
 * @property connections largest number of open connections.
 * @property headBytes largest head of a request, in bytes.
 * @property bodyBytes largest body of a request, in bytes.
 * @property deadlines returns the times that requests of a service may take.
 * @property readTimeout longest time to read a request once it has begun.
 * @property idleTimeout time after which a connection without a request is closed.
 */
public data class CallerSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val connections: Int = 4096,
    val headBytes: Int = DEFAULT_HEAD_BYTES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val deadlines: (ServiceId) -> DeadlineLimits = { DeadlineLimits() },
    val readTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 60.seconds,
)

/**
 * Times that requests of a service may take.
 *
 * @property default time of a request that names no deadline.
 * @property longest longest time; a longer deadline is cut to it.
 */
public data class DeadlineLimits(val default: Duration = 5.seconds, val longest: Duration = 30.seconds)

private const val DEFAULT_HEAD_BYTES = 16 * 1024
private const val DEFAULT_BODY_BYTES = 1024 * 1024
