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

/** What happened outside, as seen by a [Router]. */
public sealed interface RoutingInput {
    /**
     * A caller's request, read whole.
     *
     * @property deadline time by which the whole answer must have arrived.
     * @property idempotent true if running it twice does no harm.
     * @property bytes memory that the request takes while it waits.
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

    /** The exchange of one [attempt] is over and its connection is closed or free again. */
    public data class ExchangeEnded(val ticket: Ticket, val attempt: Attempt, val result: ExchangeResult) :
        RoutingInput

    /** The caller closed its connection or was cancelled. */
    public data class CallerDisconnected(val ticket: Ticket) : RoutingInput

    /** A target announced itself. */
    public data class TargetAnnounced(val announcement: Announcement) : RoutingInput

    /** The fleet's placement is now [placement]; null accepts what targets announce. */
    public data class PlacementChanged(val placement: Placement?) : RoutingInput

    /** The [policy] of [service] changed; null restores the default. */
    public data class PolicyChanged(val service: ServiceId, val policy: ServicePolicy?) : RoutingInput

    /** The daemon holds a settings lease until [until]; after that it sends nothing until it is renewed. */
    public data class SettingsLeaseRenewed(val until: MonotonicTime) : RoutingInput

    /** The set of daemons with a live lease changed. */
    public data class DaemonViewChanged(val view: DaemonView) : RoutingInput

    /** Another daemon sent a message about credits. */
    public data class CreditMessageReceived(val from: DaemonId, val message: CreditMessage) : RoutingInput

    /** The daemon takes no new requests from now on; those queued and running finish. */
    public data object Stopping : RoutingInput

    /** Time passed; sent at least every [RoutingSettings.tick]. */
    public data object Tick : RoutingInput

    public companion object {
        /** Team of callers that name none. */
        public val DefaultTeam: TeamId = TeamId("default")
    }
}

/** How an exchange with a target ended. */
public sealed interface ExchangeResult {
    /**
     * The whole answer arrived.
     *
     * @property failed true if the answer says that the target failed, such as a status of 500.
     */
    public data class Answered(val failed: Boolean = false) : ExchangeResult

    /**
     * No byte of the request left the daemon.
     *
     * @property unreachable true if the target is to blame.
     */
    public data class NotSent(val unreachable: Boolean = true) : ExchangeResult

    /** The target answered that it did not run the request. */
    public data class Refused(val retryAfter: Duration? = null) : ExchangeResult

    /** At least one byte may have left, and no whole answer arrived. */
    public data class Lost(val reason: UnknownReason) : ExchangeResult
}

/** What a daemon must do next, as decided by a [Router]. */
public sealed interface RoutingEffect {
    /**
     * Send the request to the target at [address] on a connection that carries no other exchange.
     *
     * @property connections connections that this daemon may have open to the target, this one included.
     * @property startBy time after which the request may not be written any more, as the grounds may have changed.
     */
    public data class Send(
        val ticket: Ticket,
        val attempt: Attempt,
        val vm: VmId,
        val address: TargetAddress,
        val connections: Int,
        val startBy: MonotonicTime,
    ) : RoutingEffect

    /** Give the caller its final answer; [result] of an answered request is the answer of its last attempt. */
    public data class Complete(val ticket: Ticket, val result: RequestResult) : RoutingEffect

    /** Close the connection of the exchange; its end is still reported. */
    public data class Abort(val ticket: Ticket, val attempt: Attempt) : RoutingEffect

    /** Close the idle connections to a target that left. */
    public data class CloseIdleConnections(val vm: VmId, val address: TargetAddress) : RoutingEffect

    /** Refuse the announcement of [vm], since a later incarnation, [newest], is known. */
    public data class RefuseAnnouncement(val vm: VmId, val newest: Long) : RoutingEffect

    /** Send a message about credits to the daemon [to]; it may be lost. */
    public data class SendCreditMessage(val to: DaemonId, val message: CreditMessage) : RoutingEffect
}

/** Final result of a request as decided by a [Router]; the answer itself stays with the exchange. */
public sealed interface RequestResult {
    /** The answer of the last exchange goes to the caller. */
    public data object Answered : RequestResult

    /** The request was not run and may be sent again after [retryAfter]. */
    public data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : RequestResult

    /** The request may have run. */
    public data class Unknown(val reason: UnknownReason) : RequestResult
}

/** Where a target listens: an IP number and a TCP port. */
public data class TargetAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
