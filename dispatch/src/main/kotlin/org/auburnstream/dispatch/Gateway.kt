package org.auburnstream.dispatch

import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.scheduling.Action
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import kotlin.time.Duration

/** Sends the actions of the coordinator to workers, the advice service and the platform, and reports the answers. */
public fun interface Gateway {
    /**
     * Executes [action] for the leader of [term], which is part of the fencing tokens of its orders.
     *
     * @param isConfirmed whether the leadership that decided the action is still confirmed; an order to a receiver that
     *   does not check fencing tokens must not be sent once it is not, however long the order was queued.
     * @param answered called exactly once, asynchronously, with the answer or with the event for a missing answer.
     */
    public fun carryOut(action: Action, term: Long, isConfirmed: () -> Boolean, answered: (Event) -> Unit)
}

/** Serves requests of callers, workers and operators on the leader. */
public interface RequestHandler {
    /**
     * Serves [request], which arrived at [listener], through [leader].
     *
     * @param respond called once with the answer, or with null if the leadership ended before the outcome was known.
     */
    public fun handle(
        listener: ListenerKind,
        request: HttpRequest,
        leader: LeaderAccess,
        respond: (HttpResponse?) -> Unit,
    )

    /** Returns the answer to a request that was certainly not run because no leader is known. */
    public fun noLeader(listener: ListenerKind, request: HttpRequest): HttpResponse

    /** Returns the same answer; it tells the caller to send the request again after [retryAfter], in whole seconds. */
    public fun noLeader(listener: ListenerKind, request: HttpRequest, retryAfter: Duration): HttpResponse =
        noLeader(listener, request)

    /** Returns the answer to a request that may or may not have been run. */
    public fun unknown(listener: ListenerKind, request: HttpRequest): HttpResponse

    /** Whether [request] is idempotent, so that sending it again has no further effect. */
    public fun isRepeatable(listener: ListenerKind, request: HttpRequest): Boolean

    /** Returns how long the caller of [request] waits for the answer, or null if the request does not state it. */
    public fun clientTimeoutMs(request: HttpRequest): Long?
}

/** Kind of the listener at which a request arrived. */
public enum class ListenerKind {
    /** Listener for callers, who submit jobs. */
    CALLERS,

    /** Listener for workers and operators. */
    CONTROL,

    /** Listener for the product's own operator interface. */
    OPERATORS,
}

/** Access of a [RequestHandler] to the leader: reads its state and passes events to its coordinator. */
public interface LeaderAccess {
    /** Address of the leader's listener for workers and operators, as `host:port`. */
    public val controlAddress: String

    /** Latest state that this process has applied; possibly stale, but sufficient to look up a queue. */
    public val state: SchedulerState

    /** Passes the event that [event] creates to the coordinator; calls [reply] with the reply to its call id. */
    public fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit)

    /** Calls [use] with the state once a quorum has confirmed that it is current, or with null if none confirms it. */
    public fun read(use: (SchedulerState?) -> Unit)
}
