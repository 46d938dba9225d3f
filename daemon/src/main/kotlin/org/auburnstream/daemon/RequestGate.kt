package org.auburnstream.daemon

import org.auburnstream.control.SettingKeys
import org.auburnstream.daemon.caller.CallerRequest
import org.auburnstream.daemon.caller.RequestHandler
import org.auburnstream.daemon.observability.DaemonMetrics
import org.auburnstream.daemon.state.StateView
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Passes a request to [next] only while the settings lease is live and if the body does not exceed the size limit.
 *
 * The lease is checked for each request against the current time, because a process that resumes after a freeze still
 * holds the state from before it.
 *
 * @param isLeaseLive returns whether the settings lease is live now.
 */
internal class RequestGate(
    private val view: () -> StateView,
    private val isLeaseLive: () -> Boolean,
    private val policies: ServicePolicies,
    private val metrics: DaemonMetrics,
    private val clock: () -> MonotonicTime,
    private val next: RequestHandler,
) {
    /** See [RequestHandler]. */
    suspend fun handle(request: CallerRequest, stream: suspend (TargetAnswer) -> Unit): Outcome<TargetAnswer> {
        val outcome = refusal(request) ?: next(request, stream)
        metrics.recordRequest(request.service.takeIf { outcome.isKnownService() }, outcome, clock() - request.arrived)
        return outcome
    }

    private fun refusal(request: CallerRequest): Outcome.NotRun? {
        if (!isLeaseLive()) return Outcome.NotRun(NotRunReason.SETTINGS_LEASE_EXPIRED, LEASE_RETRY_AFTER)
        val limit = policies.settings(view(), request.service)[SettingKeys.RequestBodyMaxBytes]
        return Outcome.NotRun(NotRunReason.REQUEST_TOO_LARGE, Duration.ZERO).takeIf { request.body.size > limit }
    }

    private fun Outcome<*>.isKnownService(): Boolean =
        !(this is Outcome.NotRun && reason in setOf(NotRunReason.UNKNOWN_SERVICE, NotRunReason.NO_TARGET))

    private companion object {
        val LEASE_RETRY_AFTER = 1.seconds
    }
}
