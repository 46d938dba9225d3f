package org.auburnstream.daemon.caller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the callers' listener.
 *
 * @property port TCP port, or 0 for any free one.
 * @property connections largest number of open connections.
 * @property headBytes largest head of a request, in bytes.
 * @property bodyBytes largest body of a request, in bytes.
 * @property defaultDeadline time that a request without a deadline may take.
 * @property longestDeadline longest time that a request may take; a longer deadline is cut to it.
 * @property readTimeout longest time to read a request once it has begun.
 * @property idleTimeout time after which a connection without a request is closed.
 */
public data class CallerSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val connections: Int = 4096,
    val headBytes: Int = DEFAULT_HEAD_BYTES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val defaultDeadline: Duration = 10.seconds,
    val longestDeadline: Duration = 30.seconds,
    val readTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 60.seconds,
)

private const val DEFAULT_HEAD_BYTES = 16 * 1024
private const val DEFAULT_BODY_BYTES = 1024 * 1024
