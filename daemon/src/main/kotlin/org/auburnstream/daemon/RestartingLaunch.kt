package org.auburnstream.daemon

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Launches [block], and runs it again after [RESTART_DELAY] whenever it ends by an exception, which is logged as the
 * failure of [name].
 *
 * Intended for loops and collectors that a daemon cannot do without: a coroutine that ends unnoticed leaves a daemon
 * that seems sound and no longer does a part of its work.
 */
internal fun CoroutineScope.launchRestarting(name: String, block: suspend CoroutineScope.() -> Unit): Job = launch {
    while (true) {
        try {
            return@launch supervisorScope { block() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.error("event=loop_failed loop={} cause=\"{}\"", name, e.toString(), e)
            delay(RESTART_DELAY)
        }
    }
}

private val logger = LoggerFactory.getLogger("org.auburnstream.daemon.RestartingLaunch")

/** Bounds the log of a loop that fails at once each time, and is short against the leases that the loops renew. */
private val RESTART_DELAY: Duration = 200.milliseconds
