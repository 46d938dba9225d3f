package org.auburnstream.daemon.observability

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Stops a daemon without cutting off a request in progress.
 *
 * @param markUnready makes the health check fail, so that the balancer looks elsewhere.
 * @param unreadyPeriod time that the balancer gets to notice; requests are still taken in meanwhile.
 * @param refuseNewWork makes every later request end as not run.
 * @param awaitIdle returns once no request is in progress.
 * @param drainTimeout longest wait for [awaitIdle].
 * @param close closes listeners, links and files.
 */
public class GracefulStop(
    private val markUnready: () -> Unit,
    private val unreadyPeriod: Duration,
    private val refuseNewWork: suspend () -> Unit,
    private val awaitIdle: suspend () -> Unit,
    private val drainTimeout: Duration,
    private val close: suspend () -> Unit,
) {
    /** Runs the stop to its end and returns whether every request finished. */
    public suspend fun run(): StopResult {
        markUnready()
        delay(unreadyPeriod)
        refuseNewWork()
        val idle = withTimeoutOrNull(drainTimeout) {
            awaitIdle()
            true
        }
        close()
        return if (idle == true) StopResult.DRAINED else StopResult.TIMED_OUT
    }
}

/** How a graceful stop ended. */
public enum class StopResult {
    /** Every request in progress finished. */
    DRAINED,

    /** Requests were still in progress when the drain timeout passed. */
    TIMED_OUT,
}
