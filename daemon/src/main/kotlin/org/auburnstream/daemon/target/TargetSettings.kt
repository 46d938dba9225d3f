package org.auburnstream.daemon.target

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the exchange with targets.
 *
 * @property connectTimeout longest time to open a connection.
 * @property idleTimeout time after which an unused connection is closed.
 * @property headBytes largest head of an answer, in bytes.
 * @property heldBytes largest body that is held until it is whole; larger ones are streamed.
 * @property answerBytes largest body of an answer, in bytes.
 */
public data class TargetSettings(
    val connectTimeout: Duration = 1.seconds,
    val idleTimeout: Duration = 5.seconds,
    val headBytes: Int = DEFAULT_HEAD_BYTES,
    val heldBytes: Int = DEFAULT_HELD_BYTES,
    val answerBytes: Long = DEFAULT_ANSWER_BYTES,
)

private const val DEFAULT_HEAD_BYTES = 16 * 1024
private const val DEFAULT_HELD_BYTES = 256 * 1024
private const val DEFAULT_ANSWER_BYTES = 256L * 1024 * 1024
