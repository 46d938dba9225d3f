package org.auburnstream.daemon.observability

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Stops a daemon after its requests in progress have finished, up to a timeout.
 *
 * The steps run in this order: fail the readiness check, wait for the load balancer to react, refuse new requests, wait
 * for the requests in progress, close.
 *
 * @param markUnready makes the readiness check fail, so that the load balancer selects other daemons.
 * @param unreadyPeriod time for the load balancer to react; new requests are still accepted during it.
 * @param refuseNewWork makes every later request end as not run.
 * @param awaitIdle returns once no request is in progress.
 * @param drainTimeout maximum wait for [awaitIdle].
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
    /** Runs all steps of the stop and returns whether every request finished. */
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

/** Result of a graceful stop. */
public enum class StopResult {
    /** Every request in progress finished. */
    DRAINED,

    /** Requests were still in progress when the drain timeout elapsed. */
    TIMED_OUT,
}
