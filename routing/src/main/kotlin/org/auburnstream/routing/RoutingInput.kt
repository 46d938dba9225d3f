package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import org.auburnstream.routing.credit.CreditMessage
import org.auburnstream.routing.credit.DaemonView
import kotlin.time.Duration

/** Event that a [Router] processes. */
public sealed interface RoutingInput {
    /**
     * A request of a caller was read completely.
     *
     * @property deadline time by which the complete answer must have arrived.
     * @property idempotent whether the request can safely be run more than once.
     * @property bytes memory that the request uses while it is queued.
     */
    public data class RequestArrived(
        val ticket: Ticket,
        val service: ServiceId,
        val deadline: MonotonicTime,
        val team: TeamId = DefaultTeam,
        val urgency: Urgency = Urgency.NORMAL,
        val idempotent: Boolean = false,
        val bytes: Int = 0,
    ) : RoutingInput

    /** The exchange of one [attempt] ended, and its connection is closed or idle again. */
    public data class ExchangeEnded(val ticket: Ticket, val attempt: Attempt, val result: ExchangeResult) :
        RoutingInput

    /** The caller closed its connection or its request was cancelled. */
    public data class CallerDisconnected(val ticket: Ticket) : RoutingInput

    /** A target announced itself. */
    public data class TargetAnnounced(val announcement: Announcement) : RoutingInput

    /** The fleet controller published [placement]; null routes by the announcements alone. */
    public data class PlacementChanged(val placement: Placement?) : RoutingInput

    /** The [policy] of [service] changed; null restores the default. */
    public data class PolicyChanged(val service: ServiceId, val policy: ServicePolicy?) : RoutingInput

    /** The settings lease was renewed until [until]; once expired, no request is sent until the next renewal. */
    public data class SettingsLeaseRenewed(val until: MonotonicTime) : RoutingInput

    /** The set of daemons with a live lease changed. */
    public data class DaemonViewChanged(val view: DaemonView) : RoutingInput

    /** A credit message arrived from another daemon. */
    public data class CreditMessageReceived(val from: DaemonId, val message: CreditMessage) : RoutingInput

    /** The daemon shuts down: new requests are rejected, queued and running ones finish. */
    public data object Stopping : RoutingInput

    /** Periodic timer event, at least every [RoutingSettings.tick]. */
    public data object Tick : RoutingInput

    public companion object {
        /** Team of requests that specify no team. */
        public val DefaultTeam: TeamId = TeamId("default")
    }
}

/** Result of an exchange with a target. */
public sealed interface ExchangeResult {
    /**
     * The complete answer arrived.
     *
     * @property failed whether the answer reports a failure of the target, such as status 500.
     */
    public data class Answered(val failed: Boolean = false) : ExchangeResult

    /**
     * No byte of the request was sent.
     *
     * @property unreachable whether the target caused the failure, as opposed to this daemon.
     */
    public data class NotSent(val unreachable: Boolean = true) : ExchangeResult

    /** The target answered that it did not run the request. */
    public data class Refused(val retryAfter: Duration? = null) : ExchangeResult

    /** At least one byte of the request may have been sent, but no complete answer arrived. */
    public data class Lost(val reason: UnknownReason) : ExchangeResult
}

/** Action that a [Router] requests from its daemon. */
public sealed interface RoutingEffect {
    /**
     * Sends the request to the target at [address] on a connection without another exchange.
     *
     * @property connections maximum number of open connections of this daemon to the target, including this one.
     * @property startBy time after which the request must not be written, since the routing state may have changed.
     */
    public data class Send(
        val ticket: Ticket,
        val attempt: Attempt,
        val vm: VmId,
        val address: TargetAddress,
        val connections: Int,
        val startBy: MonotonicTime,
    ) : RoutingEffect

    /** Returns the final [result] to the caller; the answer of an answered request is that of its last attempt. */
    public data class Complete(val ticket: Ticket, val result: RequestResult) : RoutingEffect

    /** Closes the connection of the exchange; [RoutingInput.ExchangeEnded] must still follow. */
    public data class Abort(val ticket: Ticket, val attempt: Attempt) : RoutingEffect

    /** Closes the idle connections to a target that was removed. */
    public data class CloseIdleConnections(val vm: VmId, val address: TargetAddress) : RoutingEffect

    /** Rejects the announcement of [vm], since the later incarnation [newest] is already known. */
    public data class RefuseAnnouncement(val vm: VmId, val newest: Long) : RoutingEffect

    /** Sends a credit message to the daemon [to], without guaranteed delivery. */
    public data class SendCreditMessage(val to: DaemonId, val message: CreditMessage) : RoutingEffect
}

/** Final result of a request; the answer itself is held by the component that ran the exchange. */
public sealed interface RequestResult {
    /** The answer of the last exchange is returned to the caller. */
    public data object Answered : RequestResult

    /** The request was not run and may be retried after [retryAfter]. */
    public data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : RequestResult

    /** The request may have run. */
    public data class Unknown(val reason: UnknownReason) : RequestResult
}

/** Address that a target listens on: an IP address and a TCP port. */
public data class TargetAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
